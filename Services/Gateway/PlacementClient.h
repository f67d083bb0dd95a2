#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/Dispatcher.h>
#include <LibDispatch/LocalPlacement.h>
#include <LibDispatch/MeasuredReplicas.h>
#include <LibGateway/ServingConfiguration.h>
#include <LibTask/EventLoop.h>
#include <LibWire/DatagramSocket.h>
#include <Services/Gateway/CoordinatorElections.h>
#include <Services/Gateway/PeerNetwork.h>
#include <Services/Gateway/PlacementServer.h>
#include <Services/Gateway/SlotHandle.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Dogwoodkeel
{

/** The decision on a slot request. */
struct Placement
{
    PlacementDecision decision = PlacementDecision::Placed;
    /** Set for Placed. */
    EndpointName replica;
    /** Set for Placed if a dispatcher selected the replica: its attributes, as this node may not know it. */
    EndpointName registeredName{};
    Address address{};
    SoftwareVersion version{};
    /** Set for Refused. */
    std::chrono::milliseconds retryAfter{0};
    /** Whether this node selected the replica by its own counts, without a dispatcher. */
    bool isPlacedLocally = false;
};

/** A request that needs a slot at a replica. */
struct PlacementQuery : PlacementTraits
{
    ServiceName service;
    /**
     * For a stream whose version is unknown: how long ago it may have started. It is resumed only if the service has had a
     * single version since then. Else 0.
     */
    std::chrono::milliseconds soleVersionFor{0};
};

/**
 * Requests slots at replicas for the requests of this node.
 *
 * If a service's dispatcher does not answer within some tens of milliseconds, this node places its online requests by its own
 * counts. A dispatcher that is lost, paused or cut off thus delays callers by no more than that. Batch items wait.
 */
class PlacementClient
{
public:
    using Ticket = SlotHandle::Ticket;
    /** Called once with Placed or Refused, and after Placed with Stopped if a batch item has to release its slot. */
    using DecisionHandler = std::function<void(const Placement &)>;

    /** Looks up replicas of this node's list, see PlacementServer::Hooks. */
    struct ReplicaLookup
    {
        PlacementServer::FindReplica find;
        std::function<void(ListConfirmation::Handler)> confirm;
    };

    /** @param replicas this node's list of replicas */
    PlacementClient(EventLoop &loop,
                    const Clock &clock,
                    PeerNetwork &peers,
                    CoordinatorElections &elections,
                    FailureDomain ownDomain,
                    ReplicaLookup replicas,
                    const DispatcherOptions &options);
    ~PlacementClient();
    PlacementClient(const PlacementClient &) = delete;
    PlacementClient &operator=(const PlacementClient &) = delete;

    /** Sets the replicas of a service, and whether a dispatcher or each node itself places its requests. */
    void setService(const ServiceName &service, const std::vector<DispatchReplica> &replicas, bool isDispatched);

    /** Applies changes to the replicas of a service that was set. */
    void updateService(const ServiceName &service, const ReplicaUpdate &update);

    /** Lets the histories of versions begin anew, see PlacementServer. */
    void restartHistories();

    /**
     * Requests a slot.
     * @param decided never called from inside this call, nor after the handle has ended
     * @return the request, and the slot once it has one. It ends at the latest with this handle
     */
    [[nodiscard]] SlotHandle requestSlot(const PlacementQuery &query, DecisionHandler decided);

    /**
     * Reports to the dispatcher that the replica of a placed request has started to answer, and the load that it stated.
     * @param pace how long work takes on its machine, in percent of usual; 0: not stated
     */
    void reportStarted(Ticket ticket, const ReportedLoad &load, std::uint32_t pace = 0);

    /** The state of a request that has not ended. */
    struct RequestState
    {
        /** When it was first sent to a dispatcher; nothing if the request is not known. */
        std::optional<SteadyTime> firstSent;
        /** When a dispatcher last answered it; nothing if none has. */
        std::optional<SteadyTime> lastAnswer;
        /** Whether it has a slot. */
        bool isPlaced = false;
    };

    /** @return the state of a request, or nothing if it has ended. */
    std::optional<RequestState> requestState(Ticket ticket) const;

    /** Sets the members after a change. */
    void setView(const MemberViewPointer &view);

    /** Resends requests, handles timeouts and reports running requests. Must be called several times per answer timeout. */
    void tick();

    /** Handles a datagram about placements. */
    void receive(const Datagram &datagram);

    /** @return the load of this node's dispatcher for a service, or nothing if this node has none. */
    std::optional<Dispatcher::Load> dispatcherLoad(const ServiceName &service) const;

    /** @return the member that dispatches a service, or null if there is none. */
    const Member *dispatcherOf(const ServiceName &service) const;

    /** The requests of this node that have not ended. */
    struct RequestCounts
    {
        std::size_t waiting = 0;
        /** Those that have a slot. */
        std::size_t placed = 0;
    };

    /** @return the number of requests that have not ended. In the long run, no more are placed than calls to replicas are open.
     */
    RequestCounts requestCounts() const;

    /** @return how many requests this node placed by its own counts because the dispatcher did not answer. */
    std::uint64_t fallbacks() const;

private:
    struct OpenRequest
    {
        PlacementQuery query;
        DecisionHandler decided;
        SteadyTime lastSent{};
        SteadyTime firstSent{};
        /** When the dispatcher last answered. */
        std::optional<SteadyTime> lastAnswer;
        std::optional<EndpointName> replica;
        /** Whether this node placed it by its own counts. */
        bool isLocal = false;
        /** Whether this node judges which version began its stream. */
        bool isBeingJudged = false;
    };

    struct ServiceState
    {
        bool isDispatched = false;
        LocalPlacement local;
        MeasuredReplicas measured{};
        /** Until then the dispatcher is considered unavailable. */
        SteadyTime suspectedUntil{};
        SteadyTime lastReport{};
        bool hadRunning = false;
    };

    ServiceState &stateOf(const ServiceName &service);
    void end(Ticket ticket, PlacementVerdict verdict, const RunTiming &timing);
    void sendRequest(Ticket ticket, OpenRequest &request);
    /** Sends a message to the dispatcher of a service, or handles it on this node if no other one dispatches. */
    template <typename Message>
    void sendToDispatcher(const ServiceName &service, const Message &message);
    void sendEnd(Ticket ticket, const ServiceName &service, PlacementVerdict verdict, const RunTiming &timing = {});
    void placeLocally(Ticket ticket, OpenRequest &request);
    /** Places a request by this node's own counts once its version is judged. */
    void judgeVersion(Ticket ticket, OpenRequest &request);
    void handleJudgement(Ticket ticket, const std::optional<SoftwareVersion> &version);
    void decide(Ticket ticket, const Placement &placement);
    void decideLater(Ticket ticket, const Placement &placement);
    void refuseLater(Ticket ticket, const PlacementQuery &query);
    void tickRequest(Ticket ticket, OpenRequest &request);
    void reportRunning(const ServiceName &service, ServiceState &state);
    void reportMeasured(const ServiceName &service, const ServiceState &state);
    void handleAnswer(const PlacementAnswer &answer);
    void handleDispatcherChange(const ServiceName &service);

    EventLoop &loop;
    const Clock &clock;
    PeerNetwork &peers;
    FailureDomain ownDomain;
    std::map<ServiceName, ServiceState> services;
    std::map<Ticket, OpenRequest> requests;
    Ticket lastTicket = 0;
    std::uint64_t fallbackCount = 0;
    PlacementServer server;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
