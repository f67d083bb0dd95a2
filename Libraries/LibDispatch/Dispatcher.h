#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/CapacityLearner.h>
#include <LibDispatch/DispatchedReplica.h>
#include <LibDispatch/DispatcherOptions.h>
#include <LibDispatch/OverloadControl.h>
#include <LibDispatch/PlacementTypes.h>
#include <LibDispatch/ReplicaIndex.h>
#include <LibDispatch/ReplicaUpdate.h>
#include <LibDispatch/WaitingQueue.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Assigns the requests of all nodes for one service to replicas, and decides when each of them starts.
 *
 * There is one queue and one count of used slots per replica for all nodes, so no slot is idle while a request waits at
 * any node, and no request waits in a replica's own queue, where it could not be reordered. Batch items use the slots
 * that online requests leave free and are preempted at once for an online request; when an item resumes, the replica
 * needs some milliseconds to prefill its tokens again.
 *
 * The state is soft. Nodes report their running requests regularly, which corrects the effect of lost datagrams and
 * informs a new dispatcher. No guarantee depends on this state: a replica that receives more requests than it has slots
 * queues or rejects them.
 */
class Dispatcher
{
public:
    /**
     * Callbacks for decisions. They run at the end of each call, when the state is consistent; a callback may call the
     * dispatcher again.
     */
    struct Hooks
    {
        std::function<void(TicketId, const EndpointName &)> place;
        /** A batch item has to release its slot. */
        std::function<void(TicketId)> stop;
        /** The request is refused because it can't be served in time. */
        std::function<void(TicketId, std::chrono::milliseconds retryAfter)> refuse;
    };

    /** Counts for metrics and status. */
    struct Load
    {
        std::size_t slots = 0;
        std::size_t onlineRunning = 0;
        std::size_t batchRunning = 0;
        std::size_t onlineWaiting = 0;
        std::size_t batchWaiting = 0;
        CapacityLearner::Summary learned;
        /** Workspaces with waiting requests, counted for each priority and for online requests and items. */
        std::size_t waitingWorkspaces = 0;
        /** Requests refused so far because their workspace was over its share. */
        std::size_t shareRefusals = 0;
    };

    /** The batch item that has waited longest, and the replicas of its version, each counted once under the first that applies.
     */
    struct ItemWait
    {
        TicketId id;
        SoftwareVersion version;
        std::chrono::nanoseconds waited{0};
        std::size_t draining = 0;
        /** Those that failed the item. */
        std::size_t avoided = 0;
        /** Those that get no requests after failures. */
        std::size_t blocked = 0;
        std::size_t full = 0;
        /** Those that accept online requests only. */
        std::size_t closedToItems = 0;
        std::size_t open = 0;
    };

    Dispatcher(const Clock &clock, Hooks hooks, const DispatcherOptions &options = {});

    /** Sets the complete list of replicas. */
    void setReplicas(const std::vector<DispatchReplica> &replicas);

    /** Applies a change to the list of replicas. */
    void update(const ReplicaUpdate &update);

    /**
     * Requests a slot. May be repeated for the same ticket: for a placed request the placement is reported again, for a
     * waiting one the wait is kept alive.
     * @return whether the request is decided, that is, placed or refused
     */
    bool submit(const PlacementRequest &request);

    /** @return whether a request waits, or is placed and has not ended. */
    bool isOpen(TicketId id) const;

    /**
     * Ends a request that finished, or withdraws one that waits.
     * @param timing what the run showed of its replica's speed
     */
    void end(TicketId id, PlacementVerdict verdict, const RunTiming &timing = {});

    /**
     * Records the load that a replica reported with an answer.
     * @param pace how long work takes on its machine at this moment, in percent of usual; 0: not stated
     */
    void recordLoad(const EndpointName &instance, const ReportedLoad &load, std::uint32_t pace = 0);

    /** Adds what a node has measured of replicas before this dispatcher started. */
    void recordTimings(const std::vector<ReplicaTiming> &timings);

    /**
     * Applies a node's report of all its running requests.
     * @param lastTicket the newest ticket that the report covers
     */
    void reconcile(SessionNumber node, std::uint64_t lastTicket, const std::vector<RunningPlacement> &running);

    /** Removes a departed node and all its requests. */
    void dropNode(SessionNumber node);

    /** Handles timeouts: expired waits, replicas that may be probed again, and stop orders that were lost. */
    void tick();

    Load load() const;

    /** @return the batch item that has waited longest at this dispatcher, or nothing if none waits. */
    std::optional<ItemWait> longestItemWait() const;

private:
    struct Placement
    {
        TicketId id;
        WorkClass work = WorkClass::Online;
        EndpointName replica;
        SteadyTime placed{};
        /** When its node last confirmed it. */
        SteadyTime confirmed{};
        /**
         * For a batch item: how long it can still wait in total without missing its deadline. Constant while the item
         * runs; unlimited for an item that is late already.
         */
        std::chrono::nanoseconds slack{0};
        /** When the last stop order was sent, if any. */
        std::optional<SteadyTime> stopped;
        /** Number of requests at the replica when it was placed, with this one. */
        std::uint32_t concurrency = 0;
        OverloadControl::Charge charge{};
    };

    /** A decision that is not delivered to the hooks yet. */
    struct Decision
    {
        PlacementDecision kind = PlacementDecision::Placed;
        TicketId id;
        /** Set for Placed. */
        EndpointName replica;
        /** Set for Refused. */
        std::chrono::milliseconds retryAfter{0};
    };
    using Placements = std::map<TicketId, Placement>;

    void deliverDecisions();
    void putReplica(const DispatchReplica &traits);
    void countVersion(const DispatchReplica &replica, int change);
    /** Erases placements at removed replicas and stops the batch items of draining ones. */
    void drainReplicas();
    void removeExpiredWork();
    void repeatStops();
    void assign();
    void assignFrom(WorkClass work, bool (Dispatcher::*place)(const PlacementRequest &));
    bool placeOnline(const PlacementRequest &request);
    bool placeInFreeSlot(const PlacementRequest &request);
    DispatchedReplica *replicaOf(const Placement &placement);
    /** @return the batch item to stop in favour of an online request, or null. */
    Placement *victimFor(const PlacementRequest &request);
    void place(const PlacementRequest &request, DispatchedReplica &replica);
    /** @return whether a replica accepts requests, has the version that the request needs, and is not avoided by it. */
    bool isAnyReplicaPreferred(const PlacementRequest &request) const;
    /** @return whether the request needs no version, or a replica that it does not avoid has it. */
    bool isVersionServed(const PlacementRequest &request) const;
    /** @return a waiting request, without the replicas that it avoids if there is no other, or none had a free slot for long. */
    PlacementRequest placeable(const WaitingQueue::Waiting &waiting) const;
    /** Refuses waiting requests whose version no replica has. */
    void refuseUnserved();
    void refuseRequest(const PlacementRequest &request, std::chrono::nanoseconds retryAfter);
    void stop(Placement &placement);
    /** Records the outcome of a placement and erases it. */
    void endPlacement(Placements::iterator placement, PlacementVerdict verdict, const RunTiming &timing);
    void erasePlacement(Placements::iterator placement);
    bool isUsable(const DispatchedReplica &replica, const PlacementRequest &request) const;

    const Clock &clock;
    Hooks hooks;
    DispatcherOptions options;
    std::unordered_map<EndpointName, DispatchedReplica> replicas;
    std::uint64_t lastReplica = 0;
    /** Number of replicas of each version that are not draining. */
    std::map<SoftwareVersion, std::ptrdiff_t> openVersions;
    ReplicaIndex index;
    CapacityLearner capacity;
    Placements placements;
    WaitingQueue waiting;
    std::vector<Decision> decisions;
    /** Running batch items that were sent no stop order, ordered by slack. */
    std::set<std::pair<std::chrono::nanoseconds, TicketId>> stoppable;
    /** Batch items that were sent a stop order and have not ended yet. */
    std::set<TicketId> stopping;
    SteadyTime nextCleanup{};
    OverloadControl overload;
};

} // namespace Dogwoodkeel
