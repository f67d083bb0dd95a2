#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/DispatchedReplica.h>
#include <LibDispatch/DispatcherOptions.h>
#include <LibDispatch/PlacementTypes.h>
#include <LibDispatch/ReplicaIndex.h>
#include <LibDispatch/ServiceSpeed.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Learns from finished runs what the replicas of a service can do: their speeds, their concurrency limits, and which of them
 * answer errors. Counts the slots that can be used. It changes the replicas of its dispatcher and updates their position in the
 * index.
 */
class CapacityLearner
{
public:
    using Replicas = std::unordered_map<EndpointName, DispatchedReplica>;

    /** Learned values, for metrics and status. */
    struct Summary
    {
        /** Number of replicas with a concurrency limit below their slots. */
        std::size_t limited = 0;
        /** Number of replicas that are only probed because they answer errors. */
        std::size_t blocked = 0;
        /** The longest and the shortest expected time, relative to the service's median. */
        double slowest = 1;
        double fastest = 1;
        /** The same of the long-term estimates. */
        double slowestUsual = 1;
        double fastestUsual = 1;
    };

    /** @param replicas the replicas of the service; they and the index outlive this object */
    CapacityLearner(const Clock &clock, CapacityLearning mode, Replicas &replicas, ReplicaIndex &index);

    /** Updates what is counted of a replica, after it was added or its properties changed. */
    void recount(DispatchedReplica &replica);

    /** Removes a replica from what is counted. */
    void remove(DispatchedReplica &replica);

    /** @return the slots of all replicas that are not draining, as far as they may be used concurrently. */
    std::size_t slots() const;

    /** Records what a replica states of its machine, in percent of usual; 0: not stated. Does not update its position. */
    void recordPace(DispatchedReplica &replica, std::uint32_t pace);

    /**
     * Records how a request at a replica ended. Does not update its position.
     * @param concurrency number of requests that ran there when it was placed, with this one; 0: unknown
     */
    void recordEnd(
        DispatchedReplica &replica, WorkClass work, std::uint32_t concurrency, PlacementVerdict verdict, const RunTiming &timing);

    /** Adds what a node has measured of replicas before this dispatcher started. */
    void recordTimings(const std::vector<ReplicaTiming> &timings);

    /** Adjusts the service's median, once a second. */
    void tick();

    Summary summary() const;

private:
    /** Starts to use what is learned, once a replica states the pace of its machine, if that is the mode. */
    void recordStatedPace(std::uint32_t pace);
    void recordRun(DispatchedReplica &replica, WorkClass work, std::uint32_t concurrency, const RunTiming &timing);
    /** @return whether one more replica may be blocked for errors: at most half of the slots may be. */
    bool mayBlock(const DispatchedReplica &replica) const;
    void logLimit(const DispatchedReplica &replica, std::uint32_t former) const;
    void logSpeed(DispatchedReplica &replica) const;

    const Clock &clock;
    CapacityLearning mode;
    Replicas &replicas;
    ReplicaIndex &index;
    bool isUsed = false;
    ServiceSpeed service;
    std::size_t slotCount = 0;
    /** Those of replicas that are blocked for errors. */
    std::size_t blockedSlots = 0;
    /** Number of replicas that are reduced for a trial. */
    std::size_t trials = 0;
    SteadyTime nextAdjustment{};
};

} // namespace Dogwoodkeel
