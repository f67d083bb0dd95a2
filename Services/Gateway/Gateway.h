#pragma once

#include <LibBase/Clock.h>
#include <LibBase/TrafficMeter.h>
#include <LibGateway/AnswerBudget.h>
#include <LibGateway/CrashHistory.h>
#include <LibGateway/PlannedStop.h>
#include <LibGateway/PromptPartBlocklist.h>
#include <LibMembership/RelayRole.h>
#include <LibMembership/RelaySelector.h>
#include <LibProxy/CallerServer.h>
#include <LibProxy/OutboundPool.h>
#include <LibSettings/SettingsHandle.h>
#include <LibTask/EventLoop.h>
#include <Services/Gateway/AnswerEndCheck.h>
#include <Services/Gateway/CallerRouter.h>
#include <Services/Gateway/ChunkExchange.h>
#include <Services/Gateway/ConfigurationFollower.h>
#include <Services/Gateway/CoordinatorElections.h>
#include <Services/Gateway/CrashExchange.h>
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
 * It keeps no durable state: any node can serve any call at any time. All of it runs on one event loop.
 */
class Gateway
{
public:
    /**
     * @param newSession returns the session numbers that identify this start of the node, see PeerNetwork
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
     * Stops the node gracefully: withdraws its address from the directory, hands batch jobs over to other nodes, and serves or
     * refuses its requests as PlannedStop decides.
     * @param done called once no request runs and all answers are read, or shortly before the platform's grace period ends
     */
    void stop(std::function<void()> done);

    /** @return the address for callers. */
    const Address &callerAddress() const;

    /** @return the number of members known to this node, itself included. */
    std::size_t members() const;

    /** @return how many of them are ready for callers. */
    std::size_t readyMembers() const;

    /** @return the session number of this start of the node. */
    SessionNumber session() const;

    /** @return whether this node follows the store's tables on behalf of other nodes. */
    bool isServingAsRelay() const;

    /** @return the number of replicas known to this node. */
    std::size_t knownReplicas() const;

    /** @return the version of the configuration in force here; 0: none. */
    std::uint64_t configurationVersion() const;

    /** @return the members by which roles are assigned, see PeerNetwork::roleView(). */
    MemberViewPointer roleView() const;

    /** @return the dispatcher of a service as known to this node, or null if there is none; valid until the next event. */
    const Member *dispatcherOf(const ServiceName &service) const;

    /** @return the address at which the metrics are served. */
    const Address &metricsAddress() const;

    /** @return the address of the readiness check of the platform. */
    const Address &readyAddress() const;

private:
    void applyView(const MemberViewPointer &view);
    void handleDatagram(const Datagram &datagram);
    void applyConfiguration(const ServingConfigurationPointer &configuration);
    void confirmReplicas(ListConfirmation::Handler handler);
    void applyReplicaChanges(const ReplicaChanges &changes);
    void updateServices(const ServingConfiguration *before, const ServingConfiguration &current);
    void handleStoreReach(bool isReached);
    std::vector<DispatchReplica> replicasOf(const Service &service) const;
    void updateRelayRole();
    void handleUnresponsiveRelay(SessionNumber relay);
    void updateReadiness();
    void handleDirectory(const std::shared_ptr<CallerExchange> &exchange);
    void handleReadiness(const std::shared_ptr<CallerExchange> &exchange);
    void handleMetrics(const std::shared_ptr<CallerExchange> &exchange);
    /** Sets the gauges of a service whose dispatcher is this node. */
    void setDispatcherGauges(const std::string &service, const Dispatcher::Load &load);
    void recordDisconnect(const InterruptedRun &run);
    void reportEnded(const JobId &job);
    void watchStop();
    /** Reports a pause of the event loop since the last tick. */
    void reportPause();
    void tick();
    void logTraffic();
    void recordCut(const CutResponse &cut);
    void recordSlowCaller(const UnreadDataBudget::Decision &decision);

    EventLoop &loop;
    const Clock &clock;
    SettingsPointer settings;
    // NOTE: Declared before the components: these call back already while they are constructed.
    /** Whether all components are constructed. */
    bool isComplete = false;
    bool isReady = false;
    /** Whether this node is announced to the others as a relay. */
    bool isRelay = false;
    /** When this node found that no relay answers. */
    std::optional<SteadyTime> noRelaySince;
    std::size_t memberCount = 0;
    /** The configuration whose services the components know. */
    ServingConfigurationPointer appliedConfiguration;
    /** Counts restarts of replicas under the same name. */
    std::uint64_t replicasRestarted = 0;
    std::function<void()> stopped;
    TimerId stopTimer = 0;
    TimerId tickTimer = 0;
    SteadyTime lastTick{};
    /** Clock::suspended() at that time. */
    std::chrono::nanoseconds suspendedAtTick{0};
    TimerId trafficTimer = 0;
    std::minstd_rand random;
    PlannedStop plannedStop;
    AnswerBudget answerBudget;
    GatewayMetrics metrics;
    TrafficMeter traffic;
    CrashHistory crashes;
    PromptPartBlocklist promptParts;
    WaitingRequests waiting;
    StoreClock storeClock;
    OutboundPool storePool;
    OutboundPool replicaPool;
    ConnectProbe probe;
    AnswerEndCheck answerEnds;
    PlatformStore store;
    PeerNetwork peers;
    CrashExchange crashExchange;
    StreamOriginExchange origins;
    CoordinatorElections elections;
    PlacementClient placements;
    QuotaService quotas;
    RelayRole relayRole;
    RelaySelector relays;
    ReplicaFollower replicaFollower;
    ChunkExchange chunks;
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
