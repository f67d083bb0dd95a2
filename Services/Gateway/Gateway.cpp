#include <Services/Gateway/Gateway.h>

#include <LibBase/Hash.h>
#include <LibBase/Log.h>
#include <LibMembership/RelayAssignment.h>
#include <LibProxy/HttpStatus.h>
#include <LibTask/EventGuard.h>
#include <LibWire/Codec.h>
#include <platform/ConfigurationFormat.h>
#include <platform/DirectoryFormat.h>
#include <platform/JobFormat.h>
#include <platform/ReplicaFormat.h>
#include <platform/RequestFormat.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t idleToStore = 8;
/** Idle connections kept to one replica: a node seldom has more concurrent requests at one replica. */
constexpr std::size_t idleToReplica = 4;
/** Interval of retries of unanswered datagrams: several round trips between failure domains. */
constexpr std::chrono::milliseconds tickInterval{20};
/** A tick that is later than this shows that the process did not run, or that one event took very long. */
constexpr std::chrono::milliseconds minReportedPause{250};
constexpr std::chrono::milliseconds stopCheckInterval{100};
/** Retry-After of the directory while no node is ready: a node becomes ready about this long after its start. */
constexpr std::chrono::milliseconds noAddressRetryAfter{300};
/** A node without any responsive relay for this time follows the tables itself. A lost relay is replaced sooner. */
constexpr std::chrono::milliseconds noRelayTimeout{3000};

/** Interval at which the traffic since the start is logged, with one line for each kind: frequent enough to show growth, and few
 * lines compared with the rest of the log. */
constexpr std::chrono::seconds trafficInterval{30};
/** The metrics of crashes stop counting here; larger values need no distinction. */
constexpr std::size_t maxCrashesCounted = 1000;

void answer(const std::shared_ptr<CallerExchange> &exchange, int status, const std::string &type, const std::string &body)
{
    HeaderList headers;
    if (!type.empty()) {
        headers.add("Content-Type", type);
    }
    exchange->send(status, headers, body);
}

DispatchReplica dispatchReplica(const Service &service, const ServingReplica &replica)
{
    const std::uint32_t slots = service.engine && service.engine->slots > 0 ? service.engine->slots : replica.slots;
    return {replica.instance, replica.failureDomain, slots, replica.isDraining, replica.version};
}

/** @return a share of the node's memory in bytes. */
std::size_t memoryShare(const GatewaySettings &settings, double share)
{
    constexpr double bytesPerMegabyte = 1048576;
    return static_cast<std::size_t>(static_cast<double>(settings.memoryMb) * bytesPerMegabyte * share);
}

/** @return the limits for callers before a configuration is known. */
CallerLimits defaultCallerLimits(const GatewaySettings &settings)
{
    CallerLimits limits;
    limits.unread.pauseBytes = static_cast<std::size_t>(settings.unreadBytes);
    limits.unread.maxPause = settings.unreadPause;
    limits.unread.totalBytes = memoryShare(settings, settings.unreadShare);
    return limits;
}

QuotaBounds quotaBounds(const GatewaySettings &settings)
{
    return {settings.quotaWindow, settings.quotaOverrun, settings.quotaSlack};
}

} // namespace

Gateway::Gateway(EventLoop &loop,
                 const Clock &clock,
                 const SettingsPointer &settings,
                 const std::function<SessionNumber()> &newSession)
    : loop(loop)
    , clock(clock)
    , settings(settings)
    , random(static_cast<std::minstd_rand::result_type>(randomSession().value()))
    , plannedStop(clock, settings->gateway.grace, settings->gateway.addressTtl)
    , answerBudget(memoryShare(settings->gateway, settings->gateway.answersShare))
    , crashes(clock)
    , promptParts(clock)
    , storeClock(clock)
    , storePool(loop,
                clock,
                idleToStore,
                [this](const CutResponse &cut) {
                    this->recordCut(cut);
                })
    , replicaPool(loop,
                  clock,
                  idleToReplica,
                  [this](const CutResponse &cut) {
                      this->recordCut(cut);
                  })
    , probe(loop)
    , answerEnds(loop, clock, this->probe, this->metrics)
    , store(this->storePool, settings->platform.address, this->storeClock, this->traffic, settings->platform.timeout)
    , peers(loop,
            clock,
            this->store,
            *settings,
            this->traffic,
            {.onView =
                 [this](const MemberViewPointer &view) {
                     this->applyView(view);
                 },
             .onDatagram =
                 [this](const Datagram &datagram) {
                     this->handleDatagram(datagram);
                 },
             .newSession = newSession})
    , crashExchange(
          clock, this->peers, this->metrics, this->crashes, this->promptParts, this->waiting, this->probe, this->random())
    , origins(clock, this->peers)
    , elections(clock, this->peers)
    , placements(loop,
                 clock,
                 this->peers,
                 this->elections,
                 FailureDomain(settings->node.failureDomain),
                 {.find =
                      [this](const EndpointName &instance) {
                          return this->replicaFollower.find(instance);
                      },
                  .confirm =
                      [this](ListConfirmation::Handler handler) {
                          this->confirmReplicas(std::move(handler));
                      }},
                 {settings->gateway.capacityLearning, settings->gateway.workspaceShares})
    , quotas(clock, this->peers, this->elections, quotaBounds(settings->gateway))
    , relayRole(clock)
    , relays(clock)
    , replicaFollower(
          loop,
          clock,
          this->store,
          this->peers,
          this->relays,
          {settings->gateway.storeWait, {settings->gateway.lapsedKept, settings->gateway.heartbeatInterval}, this->random()},
          {replicaTable, &decodeReplica, &randomReplicaKey},
          {.changed =
               [this](const ReplicaChanges &changes) {
                   this->applyReplicaChanges(changes);
               },
           .restarted =
               [this](const ServingReplica &former) {
                   this->replicaPool.closeIdle(former.address);
                   ++this->replicasRestarted;
               },
           .storeReached =
               [this](bool isReached) {
                   this->handleStoreReach(isReached);
               },
           .relayUnresponsive =
               [this](SessionNumber relay) {
                   this->handleUnresponsiveRelay(relay);
               },
           .historyLost =
               [this] {
                   this->metrics.countEvent("history of replicas begun anew");
                   this->placements.restartHistories();
               }})
    , chunks(loop, this->peers, this->random())
    , tableRelay(loop, this->store, {{configurationTable, JobRows::openTable}, settings->gateway.storeWait, this->random()})
    , feed(loop, this->store, this->peers, this->tableRelay, this->relays, this->chunks)
    , configuration(loop,
                    clock,
                    this->feed,
                    this->peers,
                    this->chunks,
                    {settings->gateway.storeWait, settings->gateway.applyBound / 2},
                    {configurationTable, configurationKey, &decodeConfiguration},
                    [this](const ServingConfigurationPointer &received) {
                        this->applyConfiguration(received);
                    })
    , context{loop,
              clock,
              this->storeClock,
              this->plannedStop,
              this->replicaPool,
              this->placements,
              this->quotas,
              this->replicaFollower,
              this->metrics,
              this->crashes,
              this->origins,
              this->promptParts,
              this->waiting,
              this->answerEnds,
              [this](const InterruptedRun &run) {
                  this->recordDisconnect(run);
              },
              [this](const std::vector<PromptPart> &served) {
                  this->crashExchange.recordPromptServed(served);
              },
              [this](std::uint64_t fingerprint) {
                  this->crashExchange.recordRequestServed(fingerprint);
              },
              this->random,
              static_cast<std::size_t>(settings->gateway.answerBytes),
              this->answerBudget}
    , relayedStore(loop, clock, this->store, this->peers, this->storeClock, this->random())
    , jobs(
          loop,
          clock,
          this->relayedStore,
          this->storeClock,
          [this] {
              return this->peers.self();
          },
          static_cast<std::size_t>(settings->platform.rowBytes),
          this->random())
    , jobApi(
          this->context,
          this->jobs,
          [this](const JobId &job) {
              this->runners.handleAccepted(job);
          },
          [this](const JobId &job) {
              this->reportEnded(job);
          })
    , runners(this->context,
              this->feed,
              this->jobs,
              this->peers,
              settings->gateway,
              {.current =
                   [this] {
                       return this->configuration.current();
                   },
               .isOutdated =
                   [this] {
                       return this->configuration.isOutdated();
                   }})
    , cleaner(loop,
              this->storeClock,
              this->store,
              settings->gateway.jobsKept,
              {.isCoordinator =
                   [this] {
                       return hasRole(*this->peers.roleView(), this->peers.self(), stableHash(JobRows::jobTable));
                   },
               .isOpen =
                   [this](const JobId &job) {
                       return this->runners.isOpen(job);
                   }})
    , router(this->context, this->configuration, this->jobApi)
    , callers(
          loop,
          clock,
          settings->listen.http,
          defaultCallerLimits(settings->gateway),
          [this](const std::shared_ptr<CallerExchange> &exchange) {
              this->router.handle(exchange);
          },
          [this](const UnreadDataBudget::Decision &decision) {
              this->recordSlowCaller(decision);
          })
    , directory(loop,
                clock,
                settings->gateway.directory,
                {},
                [this](const std::shared_ptr<CallerExchange> &exchange) {
                    this->handleDirectory(exchange);
                })
    , readiness(loop,
                clock,
                settings->gateway.ready,
                {},
                [this](const std::shared_ptr<CallerExchange> &exchange) {
                    this->handleReadiness(exchange);
                })
    , metricsServer(loop, clock, settings->gateway.metrics, {}, [this](const std::shared_ptr<CallerExchange> &exchange) {
        this->handleMetrics(exchange);
    })
{
    this->tableRelay.serve(this->peers.server(), [this](const StoredRow &row) {
        return this->chunks.encode(row);
    });
    this->isComplete = true;
    this->lastTick = clock.now();
    this->suspendedAtTick = clock.suspended();
    this->applyView(this->peers.roleView());
    this->tick();
    this->trafficTimer = loop.schedule(trafficInterval, [this] {
        this->logTraffic();
    });
}

Gateway::~Gateway()
{
    this->loop.cancel(this->tickTimer);
    this->loop.cancel(this->trafficTimer);
    this->loop.cancel(this->stopTimer);
}

const Address &Gateway::callerAddress() const
{
    return this->callers.address();
}

std::size_t Gateway::members() const
{
    return this->peers.view()->members().size();
}

std::size_t Gateway::readyMembers() const
{
    return static_cast<std::size_t>(std::ranges::count(this->peers.view()->members(), true, &Member::isReady));
}

SessionNumber Gateway::session() const
{
    return this->peers.self();
}

bool Gateway::isServingAsRelay() const
{
    return this->isRelay;
}

std::size_t Gateway::knownReplicas() const
{
    return this->replicaFollower.count();
}

std::uint64_t Gateway::configurationVersion() const
{
    return this->configuration.version();
}

MemberViewPointer Gateway::roleView() const
{
    return this->peers.roleView();
}

const Member *Gateway::dispatcherOf(const ServiceName &service) const
{
    return this->placements.dispatcherOf(service);
}

const Address &Gateway::metricsAddress() const
{
    return this->metricsServer.address();
}

const Address &Gateway::readyAddress() const
{
    return this->readiness.address();
}

void Gateway::applyView(const MemberViewPointer &view)
{
    // The first views arrive while components that need them are still being constructed.
    if (!this->isComplete) {
        return;
    }
    if (std::exchange(this->memberCount, view->members().size()) != view->members().size()) {
        log(LogLevel::Info, "members changed", {{"members", static_cast<std::int64_t>(view->members().size())}});
    }
    this->relays.update(this->peers.view(), this->peers.self());
    this->relayRole.update(*view, this->peers.self());
    this->elections.setView(view);
    this->placements.setView(view);
    this->quotas.setView(view);
    this->runners.setView(view);
}

void Gateway::reportPause()
{
    const SteadyTime now = this->clock.now();
    const std::chrono::nanoseconds suspended = this->clock.suspended();
    const auto pause = now - this->lastTick + (suspended - this->suspendedAtTick) - tickInterval;
    if (pause >= minReportedPause) {
        const auto milliseconds = [](std::chrono::nanoseconds time) {
            return static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
        };
        log(LogLevel::Warning,
            "event loop paused",
            {{"pause_ms", milliseconds(pause)},
             {"suspended_ms", milliseconds(suspended - this->suspendedAtTick)},
             {"list_age_ms", static_cast<std::int64_t>(this->replicaFollower.age().count())}});
        this->metrics.countEvent("event loop paused");
        this->answerEnds.recordPause();
    }
    this->lastTick = now;
    this->suspendedAtTick = suspended;
}

void Gateway::tick()
{
    this->reportPause();
    this->updateRelayRole();
    this->updateReadiness();
    this->crashExchange.tick();
    this->origins.tick();
    this->elections.tick();
    this->quotas.tick();
    this->placements.tick();
    this->tickTimer = this->loop.schedule(tickInterval, [this] {
        this->tick();
    });
}

void Gateway::updateRelayRole()
{
    const SteadyTime now = this->clock.now();
    // A node that receives from others is not isolated and waits for the replacement of lost relays: otherwise all nodes would
    // read all tables at the same time.
    if (!this->relays.hasNoResponsiveRelay() || this->peers.hasRecentContact()) {
        this->noRelaySince.reset();
    } else if (now - this->noRelaySince.value_or(now) >= noRelayTimeout) {
        this->relayRole.recordRelaysUnresponsive();
    } else {
        this->noRelaySince = this->noRelaySince.value_or(now);
    }
    RelayRole::Use use = RelayRole::Use::None;
    if (this->isRelay) {
        use = this->elections.isAnyClaimedLocally() ? RelayRole::Use::Coordinating : RelayRole::Use::Serving;
    }
    const bool isActive = this->relayRole.isRelay(use);
    this->replicaFollower.setRelay(isActive);
    this->tableRelay.setActive(isActive);
    this->peers.followNodes(isActive);
    const bool isRelayNow = isActive && this->replicaFollower.isComplete();
    if (std::exchange(this->isRelay, isRelayNow) != isRelayNow) {
        log(LogLevel::Info,
            isRelayNow ? "serving as a relay" : "no longer serving as a relay",
            {{"members", static_cast<std::int64_t>(this->memberCount)},
             {"selected", shouldRelay(*this->peers.roleView(), this->peers.self())}});
        this->peers.setRelay(isRelayNow);
    }
}

void Gateway::handleUnresponsiveRelay(SessionNumber relay)
{
    this->relays.recordUnresponsive(relay);
    // Requests that are pending at this relay would wait until their timeouts.
    this->configuration.refresh();
    this->runners.refreshOpenJobs();
}

void Gateway::logTraffic()
{
    for (const auto &[kind, total] : this->traffic.totals()) {
        log(LogLevel::Info,
            "traffic",
            {{"means", std::string(toString(kind.means))},
             {"name", kind.name},
             {"direction", std::string(toString(kind.direction))},
             {"messages", static_cast<std::int64_t>(total.messages)},
             {"bytes", static_cast<std::int64_t>(total.bytes)}});
    }
    this->trafficTimer = this->loop.schedule(trafficInterval, [this] {
        this->logTraffic();
    });
}

void Gateway::recordDisconnect(const InterruptedRun &run)
{
    this->crashes.recordDisconnect(run);
    // One timer for each disconnect: a later one is classified later.
    this->loop.schedule(CrashHistory::classificationDelay, [this, alive = std::weak_ptr<bool>(this->alive)] {
        if (!alive.expired()) {
            this->crashExchange.classifyDisconnects();
        }
    });
}

void Gateway::recordCut(const CutResponse &cut)
{
    this->metrics.countEvent("response cut");
    log(LogLevel::Warning, "response cut", {{"from", cut.address.toString()}, {"reason", std::string(cut.reason)}});
}

void Gateway::recordSlowCaller(const UnreadDataBudget::Decision &decision)
{
    switch (decision.action) {
    case UnreadDataBudget::Action::Pause:
        this->metrics.countEvent("slow caller paused");
        return;
    case UnreadDataBudget::Action::Resume:
        this->metrics.countEvent("slow caller resumed");
        return;
    case UnreadDataBudget::Action::DisconnectPaused:
        this->metrics.countEvent("slow caller disconnected after a pause");
        break;
    case UnreadDataBudget::Action::DisconnectLargest:
        this->metrics.countEvent("slow caller disconnected for its share of memory");
        break;
    }
    const bool isPause = decision.action == UnreadDataBudget::Action::DisconnectPaused;
    log(LogLevel::Warning,
        "slow caller disconnected",
        {{"reason", isPause ? "its stream was paused too long" : "all callers have too much unread data"},
         {"unread_bytes", static_cast<std::int64_t>(decision.bytes)},
         {"all_unread_bytes", static_cast<std::int64_t>(this->callers.unreadData().total())}});
}

void Gateway::handleDatagram(const Datagram &datagram)
{
    if (!this->isComplete) {
        return;
    }
    this->quotas.recordReceived(datagram.from);
    if (datagram.number == JobEnded::number) {
        if (const auto ended = decode<JobEnded>(datagram.payload)) {
            this->runners.stopJob(ended->job, RunEnd::EndReported);
        }
    } else if (datagram.number == JobReminder::number) {
        if (const auto reminder = decode<JobReminder>(datagram.payload)) {
            this->runners.handleReminder(reminder->jobs);
        }
    } else if (!this->crashExchange.receive(datagram) && !this->origins.receive(datagram) && !this->elections.receive(datagram)
               && !this->quotas.receive(datagram)) {
        this->placements.receive(datagram);
    }
}

void Gateway::applyConfiguration(const ServingConfigurationPointer &configuration)
{
    if (!this->isComplete) {
        return;
    }
    const ConfiguredLimits &stated = configuration->limits;
    CallerLimits limits = defaultCallerLimits(this->settings->gateway);
    limits.headBytes = stated.headBytes > 0 ? stated.headBytes : limits.headBytes;
    limits.bodyBytes = stated.bodyBytes > 0 ? stated.bodyBytes : limits.bodyBytes;
    limits.headTimeout = stated.headTimeout.count() > 0 ? stated.headTimeout : limits.headTimeout;
    limits.idleTimeout = stated.idleTimeout.count() > 0 ? stated.idleTimeout : limits.idleTimeout;
    this->callers.setLimits(limits);
    if (configuration->workspaces) {
        this->quotas.start();
    }
    this->updateServices(this->appliedConfiguration.get(), *configuration);
    this->appliedConfiguration = configuration;
    this->updateReadiness();
    this->router.retryHeld();
}

void Gateway::updateServices(const ServingConfiguration *before, const ServingConfiguration &current)
{
    for (const Service &service : current.services) {
        const Service *const known = before != nullptr ? before->findService(service.name) : nullptr;
        if (known == nullptr || known->engine != service.engine) {
            this->placements.setService(service.name, this->replicasOf(service), service.engine.has_value());
        }
    }
}

void Gateway::handleStoreReach(bool isReached)
{
    if (this->isComplete && isReached) {
        // Pending requests may wait on connections that died in the outage.
        this->tableRelay.refresh();
        this->configuration.refresh();
        this->runners.refreshOpenJobs();
        this->peers.refresh();
    }
}

std::vector<DispatchReplica> Gateway::replicasOf(const Service &service) const
{
    std::vector<DispatchReplica> replicas;
    for (const ServingReplica &replica : this->replicaFollower.ofService(service.name)) {
        replicas.push_back(dispatchReplica(service, replica));
    }
    return replicas;
}

void Gateway::confirmReplicas(ListConfirmation::Handler handler)
{
    this->replicaFollower.confirm([this, handler = std::move(handler)](bool isConfirmed) {
        this->metrics.countEvent(isConfirmed ? "list of replicas confirmed" : "list of replicas not confirmed");
        handler(isConfirmed);
    });
}

void Gateway::applyReplicaChanges(const ReplicaChanges &changes)
{
    if (!this->isComplete) {
        return;
    }
    // Changes that arrive before the first configuration are applied together with it.
    if (this->appliedConfiguration) {
        std::map<ServiceName, ReplicaUpdate> updates;
        for (const ServingReplica &replica : changes.removed) {
            updates[replica.service].removed.push_back(replica.instance);
        }
        for (const ServingReplica &replica : changes.put) {
            if (const Service *const service = this->appliedConfiguration->findService(replica.service)) {
                updates[replica.service].put.push_back(dispatchReplica(*service, replica));
            }
        }
        for (const auto &[name, update] : updates) {
            if (this->appliedConfiguration->findService(name) != nullptr) {
                this->placements.updateService(name, update);
            }
        }
    }
    this->updateReadiness();
}

void Gateway::updateReadiness()
{
    const bool isConfigured = this->configuration.current() && !this->configuration.isOutdated();
    const bool isReadyNow = isConfigured && this->replicaFollower.isKnown() && !this->stopped;
    if (std::exchange(this->isReady, isReadyNow) != isReadyNow) {
        log(LogLevel::Info, isReadyNow ? "ready for callers" : "not ready for callers");
        this->peers.setReady(isReadyNow);
    }
}

void Gateway::handleDirectory(const std::shared_ptr<CallerExchange> &exchange)
{
    const std::optional<AddressQuery> query = decodeAddressQuery(exchange->head());
    if (!query) {
        answer(exchange, statusNotFound, "text/plain", "not found\n");
        return;
    }
    std::vector<Address> addresses;
    const MemberViewPointer view = this->peers.view();
    for (const Member &member : view->members()) {
        if (member.isReady && !member.isLeaving) {
            addresses.push_back(member.http);
        }
    }
    std::ranges::shuffle(addresses, this->random);
    addresses.resize(std::min(addresses.size(), maxAddresses));
    if (addresses.empty()) {
        exchange->send(statusUnavailable, retryHeaders(noAddressRetryAfter), {});
        return;
    }
    answer(exchange, statusOk, "application/json", encodeAddresses(addresses, this->settings->gateway.addressTtl));
}

void Gateway::handleReadiness(const std::shared_ptr<CallerExchange> &exchange)
{
    if (!isReadinessQuery(exchange->head())) {
        answer(exchange, statusNotFound, "text/plain", "not found\n");
        return;
    }
    answer(exchange, this->isReady ? statusOk : statusUnavailable, {}, {});
}

void Gateway::setDispatcherGauges(const std::string &service, const Dispatcher::Load &load)
{
    const auto set = [this, &service](const char *name, std::size_t value) {
        this->metrics.setGauge(service + name, static_cast<double>(value));
    };
    set("_slots", load.slots);
    set("_online_running", load.onlineRunning);
    set("_batch_running", load.batchRunning);
    set("_online_waiting", load.onlineWaiting);
    set("_batch_waiting", load.batchWaiting);
    set("_replicas_limited", load.learned.limited);
    set("_replicas_blocked", load.learned.blocked);
    set("_workspaces_waiting", load.waitingWorkspaces);
    set("_over_share_refused", load.shareRefusals);
    this->metrics.setGauge(service + "_slowest_time", load.learned.slowest);
    this->metrics.setGauge(service + "_fastest_time", load.learned.fastest);
}

void Gateway::handleMetrics(const std::shared_ptr<CallerExchange> &exchange)
{
    if (const ServingConfigurationPointer current = this->configuration.current()) {
        this->metrics.setGauge("configuration_version", static_cast<double>(current->version));
        this->metrics.setGauge("configuration_behind_ms", static_cast<double>(this->configuration.behindFor().count()));
        for (const Service &service : current->services) {
            if (const std::optional<Dispatcher::Load> load = this->placements.dispatcherLoad(service.name)) {
                this->setDispatcherGauges(service.name.value(), *load);
            }
        }
    }
    for (const auto &[kind, total] : this->traffic.totals()) {
        this->metrics.setTraffic(kind, total);
    }
    this->metrics.setGauge("replicas_restarted", static_cast<double>(this->replicasRestarted));
    this->metrics.setGauge("requests_with_crashes", static_cast<double>(this->crashes.requestCrashes(maxCrashesCounted).size()));
    this->metrics.setGauge("prompt_parts_blocked", static_cast<double>(this->promptParts.blockedParts(maxCrashesCounted).size()));
    this->metrics.setGauge("stream_origins", static_cast<double>(this->origins.count()));
    this->metrics.setGauge("replicas_known", static_cast<double>(this->replicaFollower.count()));
    this->metrics.setGauge("is_relay", this->isRelay ? 1 : 0);
    this->metrics.setGauge("replicas_unreadable", static_cast<double>(this->replicaFollower.unreadableEntries()));
    this->metrics.setGauge("events_given_up", static_cast<double>(failedEventCount()));
    this->metrics.setGauge("members", static_cast<double>(this->peers.view()->members().size()));
    const PlacementClient::RequestCounts requests = this->placements.requestCounts();
    this->metrics.setGauge("slots_requested", static_cast<double>(requests.waiting));
    this->metrics.setGauge("slots_held", static_cast<double>(requests.placed));
    this->metrics.setGauge("calls_to_replicas", static_cast<double>(this->replicaPool.openCalls()));
    this->metrics.setGauge("placed_by_own_counts", static_cast<double>(this->placements.fallbacks()));
    this->metrics.setGauge("quotas_decided_alone", static_cast<double>(this->quotas.decidedAlone()));
    this->metrics.setGauge("workspaces_counted", static_cast<double>(this->quotas.counted()));
    this->metrics.setGauge("unread_bytes_of_callers", static_cast<double>(this->callers.unreadData().total()));
    this->metrics.setGauge("held_bytes_of_answers", static_cast<double>(this->answerBudget.total()));
    this->metrics.setGauge("paused_callers", static_cast<double>(this->callers.unreadData().pausedCallers()));
    this->metrics.setGauge("connections_to_replicas", static_cast<double>(this->replicaPool.connectionsMade()));
    answer(exchange, statusOk, "text/plain; version=0.0.4", this->metrics.toText());
}

void Gateway::reportEnded(const JobId &job)
{
    log(LogLevel::Info,
        "job ended for its caller",
        {{"job", job.value()}, {"reported_to", static_cast<std::int64_t>(this->peers.view()->members().size())}});
    this->runners.stopJob(job, RunEnd::EndReported);
    this->peers.broadcast(JobEnded{job});
}

void Gateway::stop(std::function<void()> done)
{
    log(LogLevel::Info, "stopping");
    this->stopped = std::move(done);
    this->plannedStop.begin();
    this->updateReadiness();
    this->peers.leave();
    this->runners.stopAll();
    this->callers.closeAfterAnswers();
    this->watchStop();
}

void Gateway::watchStop()
{
    this->plannedStop.update();
    const PlannedStop::Phase phase = this->plannedStop.phase();
    const bool isFinishing = phase >= PlannedStop::Phase::Finishing;
    if (isFinishing) {
        this->callers.stopAccepting();
    }
    if (phase >= PlannedStop::Phase::LastAnswers) {
        // Calls of batch jobs: whether they have had an effect is not known.
        this->callers.answerOpenRequests(statusBadGateway);
    }
    const std::size_t busy = this->callers.busyConnections();
    if ((isFinishing && busy == 0) || phase == PlannedStop::Phase::Over) {
        log(LogLevel::Info, "stopped", {{"open_requests", static_cast<std::int64_t>(busy)}});
        this->stopped();
        return;
    }
    this->stopTimer = this->loop.schedule(stopCheckInterval, [this] {
        this->watchStop();
    });
}

} // namespace Dogwoodkeel
