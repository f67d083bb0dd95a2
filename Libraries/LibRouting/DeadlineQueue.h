#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Holds the requests that wait for a slot at the replicas of one model or service: earliest deadline first, bounded,
 * and without requests that can no longer meet their deadlines.
 *
 * Without load shedding, an overloaded earliest-deadline-first queue serves only requests that are about to miss their
 * deadlines and finishes none in time. So a request is refused as soon as the measured drain rate and service time
 * predict that it would be late: on arrival, or later if the queue drains more slowly than expected.
 */
class DeadlineQueue
{
public:
    using Ticket = std::uint64_t;

    /** Size and averaging time of the queue. */
    struct Options
    {
        /** Maximum number of waiting requests. */
        std::size_t maxSize = 256;
        /** Time constant of the exponential decay of the measured rate. */
        std::chrono::milliseconds decayTime{2000};
    };

    /** Result of offering a request to the queue. */
    struct Offer
    {
        bool isQueued = false;
        /** A request with a later deadline that was removed to make room in the full queue. */
        std::optional<Ticket> displaced;
    };

    DeadlineQueue(const Clock &clock, Options options);

    /**
     * Adds a request unless it is predicted to miss its deadline, or the queue is full of requests with earlier
     * deadlines.
     * @param ticket identifier of the request; must be unique
     */
    Offer offer(Ticket ticket, SteadyTime deadline);

    /** Removes and returns the request with the earliest deadline; nothing if the queue is empty. */
    std::optional<Ticket> pop();

    /** Removes a request that no longer waits. */
    void remove(Ticket ticket);

    /** Removes and returns the requests that can no longer meet their deadlines. */
    std::vector<Ticket> removeInfeasible();

    /** Records that a request got a slot. */
    void recordPlacement();

    /** Records that a request released its slot. @param service how long it occupied the slot */
    void recordServiceTime(std::chrono::microseconds service);

    /** @return the expected waiting time of a request that arrives now; zero if the rate is unknown */
    std::chrono::milliseconds expectedWait() const;

    std::size_t size() const;

private:
    using Entry = std::pair<SteadyTime, Ticket>;

    double ratePerSecond() const;
    std::chrono::milliseconds waitBehind(std::size_t requestsAhead) const;
    bool isInfeasible(SteadyTime deadline, std::size_t requestsAhead) const;

    const Clock &clock;
    Options options;
    std::set<Entry> entries;
    std::unordered_map<Ticket, SteadyTime> deadlines;
    /** Number of placements, decaying exponentially with the decay time. */
    double recentPlacements = 0;
    SteadyTime lastPlacement{};
    SteadyTime busySince{};
    /** Exponentially weighted mean of the service time, in seconds. */
    double service = 0;
    /** Exponentially weighted mean absolute deviation of the service time, in seconds. */
    double deviation = 0;
};

} // namespace Dogwoodkeel
