#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/Dispatcher.h>
#include <LibDispatch/LocalPlacement.h>
#include <LibGateway/ServingConfiguration.h>
#include <LibTask/EventLoop.h>
#include <LibWire/DatagramSocket.h>
#include <Services/Gateway/DutyKeeper.h>
#include <Services/Gateway/PeerNetwork.h>
#include <Services/Gateway/PlacementServer.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Dogwoodkeel
{

/** Where a request was placed, or why not. */
struct Placement
{
    PlacementDecision decision = PlacementDecision::Placed;
    /** With Placed. */
    EndpointName replica;
    /** With Placed, where a dispatcher gave the place: of that replica, which this node may not know. */
    EndpointName registeredName{};
    Address address{};
    SoftwareVersion version{};
    /** With Refused. */
    std::chrono::milliseconds retryAfter{0};
    /** Whether this node chose by its own counts, because it heard of no dispatcher. */
    bool isOwnChoice = false;
};

/** A request that wants a place, as its node knows it. */
struct PlacementQuery : PlacementTraits
{
    ServiceName service;
    /**
     * Of a stream whose version nobody knows: it may have begun so long ago. It goes on only if the service has had one version
     * since. Else 0.
     */
    std::chrono::milliseconds soleVersionFor{0};
    /** Whether this node knows all replicas, and so their versions, also without a dispatcher. */
    bool knowsAllReplicas = false;
};

/**
 * Gets places at replicas for the requests of this node.
 *
 * A node that gets no answer from a service's dispatcher in some tens of milliseconds places its online requests by its own
 * counts: a dispatcher that is lost, paused or cut off delays callers by no more than that. Batch items wait.
 */
class PlacementClient
{
public:
    using Ticket = std::uint64_t;
    /** Told Placed or Refused once; and Stopped after Placed if a batch item has to make room. */
    using Decided = std::function<void(const Placement &)>;

    /** @param describe see PlacementServer::Hooks */
    PlacementClient(EventLoop &loop,
                    const Clock &clock,
                    PeerNetwork &peers,
                    DutyKeeper &duties,
                    FailureDomain own,
                    PlacementServer::Describe describe);
    ~PlacementClient();
    PlacementClient(const PlacementClient &) = delete;
    PlacementClient &operator=(const PlacementClient &) = delete;

    /** The replicas of a service, and whether places are given by a dispatcher or by each node itself. */
    void setService(const ServiceName &service, const std::vector<DispatchReplica> &replicas, bool isDispatched);

    /** What changed among the replicas of a service that was set. */
    void updateService(const ServiceName &service, const ReplicaUpdate &update);

    /** Ask for a place. The answer never comes from inside this call. */
    Ticket requestSlot(const PlacementQuery &query, Decided decided);

    /** The request is over, or wants no place any more. */
    void end(Ticket ticket, PlacementVerdict verdict);

    /** A placed request's replica has begun to answer, and said how much it has. */
    void reportStarted(Ticket ticket, const ReportedLoad &load);

    /** The members changed. */
    void setView(const MemberViewPointer &view);

    /** Look after what time brings, several times in the time that a dispatcher has to answer. */
    void tick();

    /** A datagram about placements. */
    void receive(const Datagram &datagram);

    /** @return what this node's dispatcher for a service has, or nothing if there is none. */
    std::optional<Dispatcher::Load> dispatcherLoad(const ServiceName &service) const;

    /** @return who dispatches a service, or null if nobody does. */
    const Member *dispatcherOf(const ServiceName &service) const;

    /** @return requests that this node placed by itself because the dispatcher did not answer. */
    std::uint64_t fallbacks() const;

private:
    struct Asked
    {
        PlacementQuery query;
        Decided decided;
        SteadyTime sent{};
        SteadyTime firstSent{};
        /** When the dispatcher last said that it waits. */
        std::optional<SteadyTime> received;
        std::optional<EndpointName> replica;
        /** Placed by this node alone. */
        bool isLocal = false;
    };

    struct ServiceState
    {
        bool isDispatched = false;
        LocalPlacement local;
        /** Until then the dispatcher is taken to be away. */
        SteadyTime suspectedUntil{};
        SteadyTime lastReport{};
        bool hadRunning = false;
    };

    ServiceState &stateOf(const ServiceName &service);
    void sendAsk(Ticket ticket, Asked &asked);
    /** Tell whoever dispatches the service; this node itself if there is no other. */
    template <typename Message>
    void tellDispatcher(const ServiceName &service, const Message &message);
    void sendEnd(Ticket ticket, const ServiceName &service, PlacementVerdict verdict);
    void placeLocally(Ticket ticket, Asked &asked);
    void decide(Ticket ticket, const Placement &placement);
    void decideLater(Ticket ticket, const Placement &placement);
    void refuseLater(Ticket ticket, const PlacementQuery &query);
    void tickTicket(Ticket ticket, Asked &asked);
    void report(const ServiceName &service, ServiceState &state);
    void takeAnswer(const PlacementAnswer &answer);
    void takeDispatcher(const ServiceName &service);

    EventLoop &loop;
    const Clock &clock;
    PeerNetwork &peers;
    FailureDomain own;
    std::map<ServiceName, ServiceState> services;
    std::map<Ticket, Asked> tickets;
    Ticket lastTicket = 0;
    std::uint64_t fallbackCount = 0;
    PlacementServer server;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
