#pragma once

#include <LibBase/Clock.h>
#include <LibBase/TrafficMeter.h>
#include <LibGateway/CrashMemory.h>
#include <LibGateway/PromptPartGuard.h>
#include <LibMembership/RelayPicker.h>
#include <LibMembership/RelayRole.h>
#include <LibProxy/CallerServer.h>
#include <LibProxy/OutboundPool.h>
#include <LibSettings/SettingsHandle.h>
#include <LibTask/EventLoop.h>
#include <Services/Gateway/CallerRouter.h>
#include <Services/Gateway/ConfigurationFollower.h>
#include <Services/Gateway/CrashExchange.h>
#include <Services/Gateway/CoordinatorElections.h>
#include <Services/Gateway/GatewayContext.h>
#include <Services/Gateway/GatewayMetrics.h>
#include <Services/Gateway/JobApi.h>
#include <Services/Gateway/JobCleaner.h>
#include <Services/Gateway/JobRunners.h>
#include <Services/Gateway/JobStore.h>
#include <Services/Gateway/PeerNetwork.h>
#include <Services/Gateway/PlacementClient.h>
#include <Services/Gateway/QuotaService.h>
#include <Services/Gateway/RelayedFeed.h>
#include <Services/Gateway/RelayedStore.h>
#include <Services/Gateway/ReplicaFollower.h>
#include <Services/Gateway/StreamOriginExchange.h>
#include <Services/Gateway/TableRelay.h>
#include <Services/Gateway/WaitingRequests.h>
#include <platform/PlatformStore.h>

#include <functional>
#include <memory>
#include <random>

namespace Dogwoodkeel
{

/**
 * A node that serves callers on a platform whose store holds the configuration, the list of replicas and the batch jobs.
 * It keeps nothing of its own: any node can take any call at any moment. Lives on one event loop.
 */
class Gateway
{
public:
    /**
     * @param newSession gives the numbers that this start of the node goes by, see PeerNetwork
     * @throws std::runtime_error if it cannot listen at its addresses
     */
    Gateway(EventLoop &loop,
            const Clock &clock,
            const SettingsPointer &settings,
            const std::function<SessionNumber()> &newSession = &randomSession);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /**
     * Stop as planned: leave the addresses that callers are told, hand batch jobs on, finish what runs.
     * @param done told once nothing is left to do, or the platform's grace is nearly over
     */
    void stop(std::function<void()> done);

    /** @return where callers connect. */
    const Address &callerAddress() const;

    /** @return how many nodes this one sees, itself included. */
    std::size_t members() const;

    /** @return how many of them take callers. */
    std::size_t readyMembers() const;

    /** @return the number of this start of the node. */
    SessionNumber session() const;

    /** @return whether this node follows the store's tables for others. */
    bool isServingAsRelay() const;

    /** @return how many replicas this node knows. */
    std::size_t knownReplicas() const;

    /** @return the version of the configuration in force here; 0: none. */
    std::uint64_t configurationVersion() const;

    /** @return the members by which duties are given. */
    MemberViewPointer roleView() const;

    /** @return who dispatches a service in this node's eyes, or null if nobody does; valid until the next event. */
    const Member *dispatcherOf(const ServiceName &service) const;

    /** @return where the metrics are read. */
    const Address &metricsAddress() const;

    /** @return where the platform asks whether this node takes callers. */
    const Address &readyAddress() const;

private:
    void takeView(const MemberViewPointer &view);
    void takeDatagram(const Datagram &datagram);
    void takeConfiguration(const ServingConfigurationPointer &configuration);
    void takeReplicas(const ReplicaChanges &changes);
    void followServices(const ServingConfiguration *before, const ServingConfiguration &current);
    void takeStoreReach(bool isReached);
    std::vector<DispatchReplica> replicasOf(const Service &service) const;
    void updateRelayRole();
    void takeSilentRelay(SessionNumber relay);
    void updateReadiness();
    void handleDirectory(const std::shared_ptr<CallerExchange> &exchange);
    void handleReadiness(const std::shared_ptr<CallerExchange> &exchange);
    void handleMetrics(const std::shared_ptr<CallerExchange> &exchange);
    void noteBreak(const BrokenRun &run);
    void reportEnded(const JobId &job);
    void watchStop();
    void tick();
    void logTraffic();

    EventLoop &loop;
    const Clock &clock;
    SettingsPointer settings;
    // NOTE: Before the parts: they tell of what they learn already while they are made.
    /** Whether all parts are made. */
    bool isComplete = false;
    bool isReady = false;
    /** Whether the others are told that this node is a relay. */
    bool isRelay = false;
    /** Since when no relay has answered. */
    std::optional<SteadyTime> forsakenSince;
    std::size_t memberCount = 0;
    /** By which the services are known to the parts. */
    ServingConfigurationPointer followed;
    /** Replicas that were seen to start again under their names. */
    std::uint64_t replicasRestarted = 0;
    std::function<void()> stopped;
    SteadyTime stopStarted{};
    TimerId stopTimer = 0;
    TimerId tickTimer = 0;
    TimerId trafficTimer = 0;
    std::minstd_rand random;
    GatewayMetrics metrics;
    TrafficMeter traffic;
    CrashMemory crashes;
    PromptPartGuard promptParts;
    WaitingRequests waiting;
    StoreClock storeClock;
    OutboundPool storePool;
    OutboundPool replicaPool;
    ConnectProbe probe;
    PlatformStore store;
    PeerNetwork peers;
    CrashExchange crashExchange;
    StreamOriginExchange origins;
    CoordinatorElections duties;
    PlacementClient placements;
    QuotaService quotas;
    RelayRole relayRole;
    RelayPicker relays;
    ReplicaFollower listed;
    TableRelay tableRelay;
    RelayedFeed feed;
    ConfigurationFollower configuration;
    GatewayContext context;
    RelayedStore relayedStore;
    JobStore jobs;
    JobApi jobApi;
    JobRunners runners;
    JobCleaner cleaner;
    CallerRouter router;
    CallerServer callers;
    CallerServer directory;
    CallerServer readiness;
    CallerServer metricsServer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
