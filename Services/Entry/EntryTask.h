#pragma once

#include <LibBase/Clock.h>
#include <LibHttp/HttpServer.h>
#include <LibMembership/MemberView.h>
#include <LibMetrics/NodeMetrics.h>
#include <LibPlatform/Platform.h>
#include <LibPlatform/VmWatch.h>
#include <LibSettings/SettingsHandle.h>
#include <LibTask/EventLoop.h>
#include <LibWire/PeerClient.h>
#include <Services/Entry/EntryContext.h>
#include <Services/Entry/EntryService.h>
#include <Services/Entry/FleetWatch.h>

#include <functional>
#include <list>
#include <map>
#include <memory>

namespace Dogwoodkeel
{

/** What the task that serves callers owns: its sockets, and all that the entry service uses. */
class EntryTask
{
public:
    using PlatformFactory = std::function<std::unique_ptr<Platform>(EventLoop &)>;

    /**
     * @param ownOwner reaches the owner of this node without a socket, if there is one
     * @throws std::runtime_error if it cannot listen
     */
    EntryTask(EventLoop &loop,
              const Clock &clock,
              const SettingsPointer &settings,
              SessionNumber self,
              const PeerSecurity &security,
              const std::optional<LocalPeer> &ownOwner,
              const PlatformFactory &makePlatform,
              NodeMetrics &metrics,
              OperatorGateway operators);

    /** @return where callers connect. */
    const Address &address() const;

    void setView(const MemberViewPointer &view);
    /** @param waitingFor what the node waits for before it takes callers; empty when it is ready */
    void setWaitingFor(std::string waitingFor);

    /** A datagram of another node came. */
    void receive(const Datagram &datagram);

    /** @return requests held to crash endpoints, that run nowhere for now. */
    std::size_t quarantinedRequests() const;

    /** This node goes on as another session; requests in progress are not touched. */
    void setSession(SessionNumber self);

    /** Put a new configuration into force; requests that run go on with what they have. */
    void putInForce(const SettingsPointer &settings);

    /** The platform's VM list changed: endpoints on leaving VMs get no new work. */
    void setVms(const ListedVmsPointer &vms);

    /** Ask callers to leave: each connection is closed after its next answer, new ones are taken as before. */
    void sendCallersAway();

    /** How many batch items this node's lanes run on each replica. */
    void setItems(const std::map<EndpointName, std::uint32_t> &items);

    /** @return where load reports go. */
    const Address &fleetAddress() const;

    /** Read load reports from now on. @param leaving told of each endpoint that leaves or is back, on this task */
    void watchFleet(FleetWatch::LeavingChanged leaving);

    /** Take no new connections. */
    void drain();

    /** @return the endpoints as this node has them. */
    const std::list<Replica> &endpoints();

    /** @return requests not yet answered. */
    std::size_t openRequests() const;

private:
    void repeatNotices();

    EventLoop &loop;
    SettingsHandle settings;
    std::unique_ptr<Platform> platform;
    PeerClient peers;
    OwnerClient owners;
    HttpClient http;
    ReplicaTable replicas;
    DatagramSocket datagrams;
    LoadNotices notices;
    std::mt19937_64 random;
    RetryBudget retries;
    SuspectNotices suspects;
    Admission admission;
    LimitSharing limits;
    FleetState fleet;
    FleetWatch watch;
    ReplicaSelector chooser;
    EntryContext context;
    EntryService service;
    HttpServer server;
};

} // namespace Dogwoodkeel
