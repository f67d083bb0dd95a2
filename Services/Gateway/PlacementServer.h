#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/Dispatcher.h>
#include <LibDispatch/VersionHistory.h>
#include <LibGateway/ServingConfiguration.h>
#include <LibGateway/ServingReplica.h>
#include <LibTask/EventLoop.h>
#include <LibWire/DatagramSocket.h>
#include <Services/Gateway/CoordinatorElections.h>
#include <Services/Gateway/ListConfirmation.h>
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
 * Runs the dispatchers of this node, and delivers the messages of all nodes to them, including those of this node itself.
 *
 * A node that dispatches a service continues to do so as long as it can, see CoordinatorElection. For a moment, nodes may
 * disagree about which one it is: a message for another dispatcher is forwarded to it, once, and its sender is notified of the
 * claim.
 */
class PlacementServer
{
public:
    /** @return the replica of an instance, whose attributes are sent with a slot at it, or null if it is not known. */
    using FindReplica = std::function<const ServingReplica *(const EndpointName &)>;

    struct Hooks
    {
        /** Called with answers to this node itself; never from inside another call. */
        std::function<void(const PlacementAnswer &)> answerLocal;
        /** Called when another node has become the dispatcher of a service. */
        std::function<void(const ServiceName &)> dispatcherChanged;
        FindReplica findReplica;
        /** Confirms that this node's list holds all replicas and all changes up to now; see ReplicaFollower::confirm(). */
        std::function<void(ListConfirmation::Handler)> confirmReplicas;
    };

    PlacementServer(EventLoop &loop,
                    const Clock &clock,
                    PeerNetwork &peers,
                    CoordinatorElections &elections,
                    Hooks hooks,
                    const DispatcherOptions &options);
    ~PlacementServer();
    PlacementServer(const PlacementServer &) = delete;
    PlacementServer &operator=(const PlacementServer &) = delete;

    /** Sets the replicas of a service. */
    void setReplicas(const ServiceName &service, const std::vector<DispatchReplica> &replicas);

    /** Applies changes to the replicas of a service. */
    void updateReplicas(const ServiceName &service, const ReplicaUpdate &update);

    /** Lets the histories of versions begin anew: replicas may have come and gone without this node's knowledge. */
    void restartHistories();

    /** Reports that the dispatcher of a service, if it is another node, does not answer this one. */
    void suspectDispatcher(const ServiceName &service);

    /** Sets the members among which roles are assigned, after a change; see PeerNetwork. */
    void setView(const MemberViewPointer &view);

    /** @return the member that dispatches a service, or null if there is none. */
    const Member *dispatcherOf(const ServiceName &service) const;

    /** @return the member to request slots from, or null if this node is the dispatcher, or acts as one because there is none. */
    const Member *otherDispatcher(const ServiceName &service) const;

    /**
     * Handles a message of a node while this one dispatches the service.
     * @param client address of that node; not needed for this node itself
     */
    void handle(const SlotRequest &slotRequest, const Address &client = {});
    void handle(const PlacementsRunning &report, const Address &client = {});
    void handle(const PlacementEnd &end);
    void handle(const PlacementStarted &started);
    void handle(const ReplicaTimings &timings);

    /** Handles a datagram of another node. */
    void receive(const Datagram &datagram);

    /** Runs the periodic work of the dispatchers, and drops those that are no longer needed here. */
    void tick();

    /** Called once with the only version that may have begun a stream, or with nothing if this node can't show that. */
    using VersionHandler = std::function<void(const std::optional<SoftwareVersion> &)>;

    /**
     * Finds the only version that replicas of a service have had for a period until now, see VersionHistory. This node has to
     * have followed all replicas for the whole period, and its list is confirmed first: other nodes may know a version already
     * that this one has not received.
     * @param judged never called from inside this call
     */
    void judgeVersion(const ServiceName &service, std::chrono::milliseconds period, VersionHandler judged);

    /** @return the load of this node's dispatcher for a service, or nothing if this node has none. */
    std::optional<Dispatcher::Load> load(const ServiceName &service) const;

private:
    struct ServiceState
    {
        explicit ServiceState(const Clock &clock) : versions(clock)
        {
        }

        /** Given to the dispatcher when this node creates one. */
        std::unordered_map<EndpointName, DispatchReplica> replicas;
        /** Versions of these and of former replicas. */
        VersionHistory versions;
        /** Created when this node first handles a request or report for the service. */
        std::unique_ptr<Dispatcher> dispatcher;
        /** Addresses of the nodes that use this dispatcher. */
        std::map<SessionNumber, Address> clients;
        /** Requests whose version is being judged. */
        std::map<TicketId, PlacementRequest> unjudged;
        SteadyTime lastRequest{};
        SteadyTime nextLoadLog{};
        SteadyTime nextWaitLog{};
    };

    ServiceState &stateOf(const ServiceName &service);
    void dropReplica(ServiceState &state, const EndpointName &instance);
    void handleDispatcherChange(const ServiceName &service, SessionNumber former);
    std::optional<SoftwareVersion> soleVersion(const ServiceName &service, std::chrono::milliseconds period) const;
    /** Submits a request once its version is judged. */
    void judgeRequest(const ServiceName &service, const PlacementRequest &request, std::chrono::milliseconds period);
    void handleJudgement(const ServiceName &service, TicketId id, const std::optional<SoftwareVersion> &version);
    void submit(const ServiceName &service, const PlacementRequest &request);
    void dropDispatcher(ServiceState &state);
    void tickDispatcher(const ServiceName &service, ServiceState &state);
    void logLoad(const ServiceName &service, ServiceState &state);
    /** Logs at intervals which item has waited longest, and why, if that is long. */
    void logLongestWait(const ServiceName &service, ServiceState &state);
    void dropDepartedClients(ServiceState &state);
    template <typename Message>
    bool forward(const Datagram &datagram, const Message &message);
    template <typename Message>
    bool forward(const Message &message);
    Dispatcher *findDispatcher(const ServiceName &service);
    Dispatcher &dispatcherFor(const ServiceName &service);
    void answerPlaced(const ServiceName &service, TicketId id, const EndpointName &instance);
    void answerWaiting(const ServiceName &service, TicketId id);
    void answerRefused(const ServiceName &service, TicketId id, std::chrono::nanoseconds retryAfter);
    void answer(const ServiceName &service, TicketId id, const PlacementAnswer &answer);

    EventLoop &loop;
    const Clock &clock;
    PeerNetwork &peers;
    CoordinatorElections &elections;
    Hooks hooks;
    DispatcherOptions options;
    std::map<ServiceName, ServiceState> services;
    MemberViewPointer view;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
