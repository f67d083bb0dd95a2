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
 * Requests that wait for a place at the replicas of one model or service: earliest deadline first, bounded, and without
 * those that cannot make it any more.
 *
 * Without shedding, an overloaded earliest-deadline queue serves only requests that are about to miss, and finishes none
 * in time. So a request is refused as soon as the measured drain rate and service time say that it would be late: at its
 * arrival, or when the queue turns out slower than it was.
 */
class DeadlineQueue
{
public:
    using Ticket = std::uint64_t;

    /** Sizes and times. */
    struct Options
    {
        /** Requests that wait at most. */
        std::size_t maxSize = 256;
        /** How fast the measured rates forget. */
        std::chrono::milliseconds memory{2000};
    };

    /** What became of an offered request. */
    struct Offer
    {
        bool isQueued = false;
        /** A request that had to give way to it, having more time. */
        std::optional<Ticket> displaced;
    };

    DeadlineQueue(const Clock &clock, Options options);

    /** @param ticket names the request, never used before */
    Offer offer(Ticket ticket, SteadyTime deadline);

    /** @return the most urgent request, taken out; nothing if none waits. */
    std::optional<Ticket> take();

    /** Take out a request that no longer waits. */
    void remove(Ticket ticket);

    /** @return the requests that cannot make their deadlines any more, taken out. */
    std::vector<Ticket> removeInfeasible();

    /** A request got a place. */
    void recordPlacement();

    /** A request left its place. @param service how long it had it */
    void recordServiceTime(std::chrono::microseconds service);

    /** @return how long a request that comes now would wait; zero if no rate is known yet. */
    std::chrono::milliseconds expectedWait() const;

    std::size_t size() const;

private:
    using Place = std::pair<SteadyTime, Ticket>;

    double ratePerSecond() const;
    std::chrono::milliseconds waitBehind(std::size_t others) const;
    bool isHopeless(SteadyTime deadline, std::size_t others) const;

    const Clock &clock;
    Options options;
    std::set<Place> places;
    std::unordered_map<Ticket, SteadyTime> deadlines;
    /** Decaying number of places given in the memory time. */
    double given = 0;
    SteadyTime givenAt{};
    SteadyTime busySince{};
    /** Decaying mean of the service time, in seconds. */
    double service = 0;
    /** Decaying mean of how far service times are from it, in seconds. */
    double deviation = 0;
};

} // namespace Dogwoodkeel
