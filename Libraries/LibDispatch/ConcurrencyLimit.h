#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Learns at how many concurrent requests a replica still works well.
 *
 * The limit is the concurrency with the best ratio of throughput to latency (Kleinrock's power) among those that reach nearly the
 * greatest throughput, because in a burst throughput counts. A replica whose latency does not depend on its load keeps all its
 * slots; one that becomes slow at a part of its slots is limited to that part.
 *
 * Concurrencies that are not measured are tried for a short time: one above the limit, and half of the slots for a replica that
 * has run more for a long time. The interval doubles each time that this changes nothing.
 */
class ConcurrencyLimit
{
public:
    /** What a replica is allowed. */
    struct Bounds
    {
        std::uint32_t slots = 1;
        /** Whether it may be reduced to half of its slots for a trial. */
        bool mayReduce = false;
    };

    /**
     * Records a run.
     * @param relativeTime its time per unit of work, relative to a constant
     * @param concurrency number of requests that ran at the replica, with this one
     */
    void recordRun(double relativeTime, std::uint32_t concurrency, const Bounds &bounds, SteadyTime now);

    /** Ends a trial that took too long, because the replica has too few requests. */
    void endTrialAfterTimeout(SteadyTime now);

    /** @return the number of requests to run concurrently, at most the number of slots. */
    std::uint32_t value(std::uint32_t slots) const;

    /** @return whether a trial of half of the slots is in progress. */
    bool isReducedForTrial() const;

    /** @return the learned limit without a trial; 0: none. */
    std::uint32_t learnedLimit() const;

    /** @return the factor by which this concurrency lengthens a run, compared with the least concurrency measured; at least 1. */
    double factor(std::uint32_t concurrency) const;

    /** @return by which share the time per unit of work grows from one request to the limit; at least 0. */
    double slowdown() const;

private:
    struct Level
    {
        double logarithm = 0;
        double count = 0;
    };

    void updateLevel(double value, std::uint32_t concurrency, SteadyTime now);
    std::uint32_t bestConcurrency() const;
    bool isMeasuredUpTo(std::uint32_t concurrency) const;
    void startTrial(std::uint32_t concurrency, const Bounds &bounds, SteadyTime now);
    void endTrial(SteadyTime now);

    /** By concurrency, from 1: logarithms of times relative to the baseline. */
    std::vector<Level> levels;
    /** Logarithm of the replica's time over some seconds, without the effect of the concurrency. */
    double baseline = 0;
    double runCount = 0;
    SteadyTime measured{};
    /** 0: none. */
    std::uint32_t limit = 0;
    /** The concurrency that is tried; 0: none. */
    std::uint32_t trial = 0;
    SteadyTime trialEnd{};
    SteadyTime nextTrial{};
    std::chrono::seconds trialInterval{0};
    /** When at most half of the slots were last in use. */
    SteadyTime lastHalfUsed{};
};

} // namespace Dogwoodkeel
