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

/** Owns the sockets and all services of the task that serves callers. */
class EntryTask
{
public:
    using PlatformFactory = std::function<std::unique_ptr<Platform>(EventLoop &)>;

    /**
     * @param localOwner reaches the owner of this node without a socket, if there is one
     * @throws std::runtime_error if it cannot listen
     */
    EntryTask(EventLoop &loop,
              const Clock &clock,
              const SettingsPointer &settings,
              SessionNumber self,
              const PeerSecurity &security,
              const std::optional<LocalPeer> &localOwner,
              const PlatformFactory &makePlatform,
              NodeMetrics &metrics,
              OperatorGateway operators);

    /** @return the address that callers connect to. */
    const Address &address() const;

    void setView(const MemberViewPointer &view);
    /** @param waitingFor what the node waits for before it accepts callers; empty when it is ready */
    void setWaitingFor(std::string waitingFor);

    /** Handles a datagram from another node. */
    void receive(const Datagram &datagram);

    /**
     * @return the number of quarantined requests: they are suspected of crashing endpoints and currently run nowhere.
     */
    std::size_t quarantinedRequests() const;

    /** Continues under another session number; requests in progress are not affected. */
    void setSession(SessionNumber self);

    /** Puts a new configuration in force; running requests keep the settings they started with. */
    void putInForce(const SettingsPointer &settings);

    /** Applies the platform's VM list: endpoints on leaving VMs get no new work. */
    void setVms(const ListedVmsPointer &vms);

    /** Closes each caller's connection after its next answer; new connections are accepted as before. */
    void closeCallerConnections();

    /** Sets how many batch items this node's lanes run on each replica. */
    void setItems(const std::map<EndpointName, std::uint32_t> &items);

    /** @return the address that receives load reports. */
    const Address &fleetAddress() const;

    /** Starts reading load reports. @param leaving called on this task when an endpoint begins to leave or is back */
    void watchFleet(FleetWatch::LeavingChanged leaving);

    /** Stops accepting new connections. */
    void drain();

    /** @return the endpoints with their state as known to this node. */
    const std::list<Replica> &endpoints();

    /** @return the number of requests not yet answered. */
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
    ReplicaSelector selector;
    EntryContext context;
    EntryService service;
    HttpServer server;
};

} // namespace Dogwoodkeel
