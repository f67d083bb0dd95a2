#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstddef>

namespace Dogwoodkeel
{

/**
 * Decides when a journal may write its next group.
 *
 * A write after a quiet time starts at once. While records come in fast, a write waits a little so that more of them share
 * it. Whatever comes in, writes stay under this journal's part of the platform's budget (a token bucket): records then
 * wait, and the groups grow.
 */
class WritePace
{
public:
    /** Times and rates. */
    struct Options
    {
        /** Shortest time between the starts of two writes. */
        std::chrono::milliseconds minInterval{5};
        /** Longest wait for more records to share a write. */
        std::chrono::milliseconds gatherTime{75};
        /** Records that must be expected within that time for it to be worth waiting. */
        double minGatherRecords = 4;
        /** Writes a second that this journal may make over time. */
        double writesPerSecond = 200;
        /** Writes that may follow each other faster, after a quiet time: so many seconds' worth. */
        std::chrono::milliseconds burst{1000};
    };

    explicit WritePace(Options options);

    /** Change the rate: there are other journals, or another budget. */
    void setWritesPerSecond(double rate, SteadyTime now);

    /** A record came in. */
    void recordAdded(SteadyTime now);

    /** A write starts. @param writes what it takes: a row, and an object if it is large */
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
    /** Records a second, a moving average. */
    double recordRate = 0;
    SteadyTime lastRecord{};
};

/**
 * @param writesPerSecond the platform's budget for all nodes
 * @param journals how many nodes hold a journal
 * @return writes a second that one journal may make; the rest of the budget is for checkpoints, rows and jobs' items
 */
double journalWritesPerSecond(double writesPerSecond, std::size_t journals);

/**
 * @param writesPerSecond the platform's budget for all nodes
 * @return how many nodes may hold a journal so that each can still write often enough for its callers
 */
std::size_t maxJournals(double writesPerSecond);

} // namespace Dogwoodkeel
