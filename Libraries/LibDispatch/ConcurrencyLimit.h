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
 * slots; one that becomes slow at a part of its slots is limited to that part. What was measured above the limit is forgotten
 * after a while, so that the replica is tried at its full concurrency again; the interval doubles each time that leads to the
 * same limit.
 */
class ConcurrencyLimit
{
public:
    /**
     * Records a run.
     * @param relativeTime its time per unit of work, relative to the replica's recent time while nothing else runs there
     * @param concurrency number of requests that ran at the replica, with this one
     */
    void recordRun(double relativeTime, std::uint32_t concurrency, SteadyTime now);

    /** @return the number of requests to run concurrently, at most the number of slots. */
    std::uint32_t value(std::uint32_t slots) const;

    /** @return the factor by which this concurrency lengthens a run, compared with the least concurrency measured; at least 1. */
    double factor(std::uint32_t concurrency) const;

    /** @return by which share the time per unit of work grows from one request to the limit; at least 0. */
    double slowdown() const;

private:
    struct Level
    {
        double logarithm = 0;
        double count = 0;
        SteadyTime measured{};
    };

    std::uint32_t bestConcurrency() const;
    void forgetOldLevels(SteadyTime now);

    /** By concurrency, from 1. */
    std::vector<Level> levels;
    /** 0: none. */
    std::uint32_t limit = 0;
    std::uint32_t formerLimit = 0;
    std::chrono::seconds retryInterval{0};
};

} // namespace Dogwoodkeel
