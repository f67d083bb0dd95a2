#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/DispatchedReplica.h>
#include <LibDispatch/LoadForecast.h>
#include <LibDispatch/PlacementTypes.h>
#include <LibDispatch/ReplicaIndex.h>
#include <LibDispatch/ReplicaUpdate.h>
#include <LibDispatch/RetrySchedule.h>
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
 * Decides for one service, over all nodes, which request goes to which replica, and when.
 *
 * One queue and one count a replica: no slot stands idle while a request waits anywhere, and no request waits in a
 * replica's own queue, where its order could no longer be chosen. Batch items fill what online requests leave, and are
 * stopped for them at once: a replica reads the item's tokens again in some milliseconds when it goes on.
 *
 * Its state is soft. Nodes report what they run, which corrects what lost datagrams left wrong, and tells a new dispatcher
 * what there is. Nothing that must hold depends on it: a replica that gets one request too many queues or rejects it.
 */
class Dispatcher
{
public:
    /** Who hears of decisions. Told after each call, when all that the call changes is changed: a hook may call back. */
    struct Hooks
    {
        std::function<void(TicketId, const EndpointName &)> place;
        /** A batch item has to give up its place. */
        std::function<void(TicketId)> stop;
        /** It can't be served in time. */
        std::function<void(TicketId, std::chrono::milliseconds retryAfter)> refuse;
    };

    /** What there is, for metrics and status. */
    struct Load
    {
        std::size_t slots = 0;
        std::size_t onlineRunning = 0;
        std::size_t batchRunning = 0;
        std::size_t onlineWaiting = 0;
        std::size_t batchWaiting = 0;
    };

    Dispatcher(const Clock &clock, Hooks hooks);

    /** The replicas there are now. */
    void setReplicas(const std::vector<DispatchReplica> &replicas);

    /** What changed among the replicas. */
    void update(const ReplicaUpdate &update);

    /** A request wants a place; asked again, it gets the same answer. @return whether it has one now */
    bool submit(const PlacementRequest &request);

    /** A request is over, or wants no place any more. */
    void end(TicketId id, PlacementVerdict verdict);

    /** A replica told with an answer how much it has. */
    void recordLoad(const EndpointName &instance, const ReportedLoad &load);

    /**
     * All that a node runs.
     * @param lastTicket tickets of the node above it are not covered
     */
    void reconcile(SessionNumber node, std::uint64_t lastTicket, const std::vector<RunningPlacement> &running);

    /** A node is gone, and with it all its requests. */
    void dropNode(SessionNumber node);

    /** Look after what time brings: waits that are over, replicas that may be tried again, orders that were lost. */
    void tick();

    Load load() const;

private:
    struct Placement
    {
        TicketId id;
        WorkClass work = WorkClass::Online;
        EndpointName replica;
        SteadyTime placed{};
        /** When its node was last heard of it. */
        SteadyTime confirmed{};
        /**
         * Of a batch item: how long it may wait in all without being late. It stays the same while the item runs. An item that
         * is late anyway has any time.
         */
        std::chrono::nanoseconds slack{0};
        /** When it was told to stop, if it was. */
        std::optional<SteadyTime> stopped;
    };

    /** What is still to be told. */
    struct Decision
    {
        PlacementDecision kind = PlacementDecision::Placed;
        TicketId id;
        /** With Placed. */
        EndpointName replica;
        /** With Refused. */
        std::chrono::milliseconds retryAfter{0};
    };
    using Placements = std::map<TicketId, Placement>;

    void deliverDecisions();
    void putReplica(const DispatchReplica &traits);
    void countVersion(const DispatchReplica &replica, int change);
    void drainReplicas();
    void removeExpiredWork();
    void repeatStops();
    void assign();
    void assignFrom(WorkClass work, bool (Dispatcher::*place)(const PlacementRequest &));
    bool placeOnline(const PlacementRequest &request);
    bool placeInFreeSlot(const PlacementRequest &request);
    DispatchedReplica *replicaOf(const Placement &placement);
    Placement *victimFor(const PlacementRequest &request);
    void place(const PlacementRequest &request, DispatchedReplica &replica);
    /** @return whether a replica that takes requests has the version that it needs, if it needs one. */
    bool isVersionServed(const PlacementRequest &request) const;
    void refuseUnserved();
    void recognizeRetry(PlacementRequest &request);
    void refuseIfLate(const PlacementRequest &request);
    void refuseUnplaceable();
    void refuseRequest(const PlacementRequest &request, std::chrono::nanoseconds retryAfter);
    void stop(Placement &placement);
    void endPlacement(Placements::iterator placement, PlacementVerdict verdict);
    void erasePlacement(Placements::iterator placement);
    bool isUsable(const DispatchedReplica &replica, const PlacementRequest &request) const;
    static std::size_t slotsOf(const DispatchedReplica &replica);

    const Clock &clock;
    Hooks hooks;
    std::unordered_map<EndpointName, DispatchedReplica> replicas;
    std::uint64_t lastReplica = 0;
    /** Replicas of each version that do not leave. */
    std::map<SoftwareVersion, std::ptrdiff_t> openVersions;
    /** Of the replicas that do not leave. */
    std::size_t slotCount = 0;
    ReplicaIndex index;
    Placements placements;
    WaitingQueue waiting;
    std::vector<Decision> decisions;
    /** Batch items that run and were not told to stop, by their slack. */
    std::set<std::pair<std::chrono::nanoseconds, TicketId>> stoppable;
    /** Batch items that were told to stop and are not over. */
    std::set<TicketId> stopping;
    SteadyTime nextCleanup{};
    LoadForecast forecast;
    RetrySchedule retries;
};

} // namespace Dogwoodkeel
