#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstddef>

namespace Dogwoodkeel
{

/**
 * Decides when a journal may write its next group.
 *
 * After an idle period a write starts at once. At a high record rate a write is delayed briefly, so that more records share
 * it. A token bucket keeps the writes within this journal's share of the platform's budget at any load; when it is empty,
 * records wait and the groups grow.
 */
class WritePace
{
public:
    /** Intervals and rates. */
    struct Options
    {
        /** Min interval between the starts of two writes. */
        std::chrono::milliseconds minInterval{5};
        /** Max delay of a write to gather more records. */
        std::chrono::milliseconds gatherTime{75};
        /** Min number of records expected within gatherTime for a write to be delayed. */
        double minGatherRecords = 4;
        /** Average writes per second that this journal may make. */
        double writesPerSecond = 200;
        /** Capacity of the token bucket, as the time in which it fills: max burst of writes after an idle period. */
        std::chrono::milliseconds burst{1000};
    };

    explicit WritePace(Options options);

    /** Sets the rate, after a change of the number of journals or of the budget. */
    void setWritesPerSecond(double rate, SteadyTime now);

    /** Records the arrival of a record. */
    void recordAdded(SteadyTime now);

    /** Records the start of a write. @param writes platform writes used: one for the row, one more for a large group's object */
    void writeStarted(SteadyTime now, double writes);

    /** @return the earliest time at which the next write may start. */
    SteadyTime nextStart(SteadyTime now) const;

private:
    double tokensAt(SteadyTime now) const;
    double capacity() const;

    Options options;
    SteadyTime lastStart{};
    double tokens = 0;
    SteadyTime tokensSince{};
    /** Records per second, as a moving average. */
    double recordRate = 0;
    SteadyTime lastRecord{};
};

/**
 * @param writesPerSecond the platform's budget for all nodes
 * @param journals number of nodes that hold a journal
 * @return writes per second that one journal may make; the remaining budget is for checkpoints, rows and batch items
 */
double journalWritesPerSecond(double writesPerSecond, std::size_t journals);

/**
 * @param writesPerSecond the platform's budget for all nodes
 * @return max number of nodes that may hold a journal, such that each can still write often enough for its callers
 */
std::size_t maxJournals(double writesPerSecond);

} // namespace Dogwoodkeel
