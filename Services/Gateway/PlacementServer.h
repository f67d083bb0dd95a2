#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/Dispatcher.h>
#include <LibDispatch/VersionHistory.h>
#include <LibGateway/ServingConfiguration.h>
#include <LibGateway/ServingReplica.h>
#include <LibTask/EventLoop.h>
#include <LibWire/DatagramSocket.h>
#include <Services/Gateway/CoordinatorElections.h>
#include <Services/Gateway/PeerNetwork.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Holds the dispatchers that this node is for all nodes, and brings to them what nodes say, its own included.
 *
 * Who dispatches a service keeps on doing so as long as it can, see ClaimedDuty. Nodes may name different ones for a moment: what
 * comes here for another dispatcher is passed on to it, once, and who sent it is told of the claim.
 */
class PlacementServer
{
public:
    /** @return the replica of an instance, which whoever gets a place there is told of, or null if it is not known. */
    using Describe = std::function<const ServingReplica *(const EndpointName &)>;

    struct Hooks
    {
        /** Told of answers to this node itself; never from inside a call. */
        std::function<void(const PlacementAnswer &)> answerOwn;
        /** Another node dispatches a service now. */
        std::function<void(const ServiceName &)> moved;
        Describe describe;
    };

    PlacementServer(EventLoop &loop, const Clock &clock, PeerNetwork &peers, CoordinatorElections &duties, Hooks hooks);
    ~PlacementServer();
    PlacementServer(const PlacementServer &) = delete;
    PlacementServer &operator=(const PlacementServer &) = delete;

    /** The replicas of a service. */
    void setReplicas(const ServiceName &service, const std::vector<DispatchReplica> &replicas);

    /** What changed among the replicas of a service. */
    void updateReplicas(const ServiceName &service, const ReplicaUpdate &update);

    /** The dispatcher of a service, if it is another node, does not answer this one. */
    void suspectDispatcher(const ServiceName &service);

    /** The members changed, see PeerNetwork::dutyView(). */
    void setView(const MemberViewPointer &view);

    /** @return who dispatches a service, or null if nobody can. */
    const Member *dispatcherOf(const ServiceName &service) const;

    /** @return the node to ask for places, or null if it is this one, or there is none and this one has to do. */
    const Member *otherDispatcher(const ServiceName &service) const;

    /**
     * What a node says while this one dispatches the service.
     * @param asker where that node is; not needed of this node itself
     */
    void take(const PlacementAsk &ask, const Address &asker = {});
    void take(const PlacementsRunning &report, const Address &asker = {});
    void take(const PlacementEnd &end);
    void take(const PlacementBegun &begun);

    /** A datagram of another node. */
    void receive(const Datagram &datagram);

    /** Look after what time brings. */
    void tick();

    /** @return the version that all replicas of a service that this node knew have had for a period, see VersionHistory. */
    std::optional<SoftwareVersion> soleVersion(const ServiceName &service, std::chrono::milliseconds period) const;

    /** @return what this node's dispatcher for a service has, or nothing if there is none. */
    std::optional<Dispatcher::Load> load(const ServiceName &service) const;

private:
    struct ServiceState
    {
        explicit ServiceState(const Clock &clock) : versions(clock)
        {
        }

        /** For the dispatcher, if this node comes to have it. */
        std::unordered_map<EndpointName, DispatchReplica> replicas;
        /** Of these replicas, and of those before them. */
        VersionHistory versions;
        /** Made when somebody asks this node. */
        std::unique_ptr<Dispatcher> dispatcher;
        /** Where the nodes that ask this dispatcher are. */
        std::map<SessionNumber, Address> askers;
        SteadyTime lastAsked{};
        SteadyTime nextLoadLine{};
    };

    ServiceState &stateOf(const ServiceName &service);
    void dropReplica(ServiceState &state, const EndpointName &instance);
    void takeMove(const ServiceName &service, SessionNumber former);
    void tickDispatcher(const ServiceName &service, ServiceState &state);
    void logLoad(const ServiceName &service, ServiceState &state);
    void dropGoneAskers(ServiceState &state);
    template <typename Message>
    bool passOn(const Datagram &datagram, const Message &message);
    template <typename Message>
    bool passOn(const Message &message);
    Dispatcher *findDispatcher(const ServiceName &service);
    Dispatcher &dispatcherFor(const ServiceName &service);
    void answerPlaced(const ServiceName &service, TicketId id, const EndpointName &instance);
    void answer(const ServiceName &service, TicketId id, const PlacementAnswer &answer);

    EventLoop &loop;
    const Clock &clock;
    PeerNetwork &peers;
    CoordinatorElections &duties;
    Hooks hooks;
    std::map<ServiceName, ServiceState> services;
    MemberViewPointer view;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
