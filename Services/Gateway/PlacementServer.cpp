#include <Services/Gateway/PlacementServer.h>

#include <LibBase/Log.h>
#include <LibWire/Codec.h>

#include <cmath>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** How long a dispatcher that this node should not run is kept after the last request: by then its placements have expired. */
constexpr std::chrono::milliseconds strayRetention{2000};

/** How often a dispatcher logs its load: often enough to show a burst, and one line a second for each service of the fleet. */
constexpr std::chrono::milliseconds loadLogInterval{1000};
/** The wait of an item is logged from this time on. */
constexpr std::chrono::seconds longItemWait{3};
constexpr std::chrono::seconds waitLogInterval{5};

/** @return the address of the node that sent a request or report, which another node may have forwarded. */
template <typename Message>
Address clientAddress(const Datagram &datagram, const Message &message)
{
    return message.replyTo != Address() ? message.replyTo : datagram.from;
}

} // namespace

PlacementServer::PlacementServer(EventLoop &loop,
                                 const Clock &clock,
                                 PeerNetwork &peers,
                                 CoordinatorElections &elections,
                                 Hooks hooks,
                                 const DispatcherOptions &options)
    : loop(loop)
    , clock(clock)
    , peers(peers)
    , elections(elections)
    , hooks(std::move(hooks))
    , options(options)
    , view(peers.roleView())
{
}

PlacementServer::~PlacementServer()
{
    *this->alive = false;
}

PlacementServer::ServiceState &PlacementServer::stateOf(const ServiceName &service)
{
    const auto [state, isNew] = this->services.try_emplace(service, this->clock);
    if (isNew) {
        this->elections.follow(service.value(), [this, service](const CoordinatorElections::Change &move) {
            this->handleDispatcherChange(service, move.former);
        });
    }
    return state->second;
}

void PlacementServer::setReplicas(const ServiceName &service, const std::vector<DispatchReplica> &replicas)
{
    this->updateReplicas(service, updateTo(replicas, this->stateOf(service).replicas));
}

void PlacementServer::updateReplicas(const ServiceName &service, const ReplicaUpdate &update)
{
    ServiceState &state = this->stateOf(service);
    for (const EndpointName &instance : update.removed) {
        if (!state.replicas.contains(instance)) {
            // It came and went within one update, with a version that is not recorded.
            state.versions.restart();
        }
        this->dropReplica(state, instance);
    }
    for (const DispatchReplica &replica : update.put) {
        this->dropReplica(state, replica.instance);
        state.replicas.emplace(replica.instance, replica);
        state.versions.add(replica.version);
    }
    if (state.dispatcher) {
        state.dispatcher->update(update);
    }
}

void PlacementServer::dropReplica(ServiceState &state, const EndpointName &instance)
{
    const auto found = state.replicas.find(instance);
    if (found != state.replicas.end()) {
        state.versions.remove(found->second.version);
        state.replicas.erase(found);
    }
}

void PlacementServer::restartHistories()
{
    for (auto &[service, state] : this->services) {
        state.versions.restart();
    }
}

std::optional<SoftwareVersion> PlacementServer::soleVersion(const ServiceName &service, std::chrono::milliseconds period) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() ? found->second.versions.sole(period) : std::nullopt;
}

void PlacementServer::judgeVersion(const ServiceName &service, std::chrono::milliseconds period, VersionHandler judged)
{
    const SteadyTime start = this->clock.now();
    const auto finish = [this, service, period, start, judged = std::move(judged)](bool isConfirmed) {
        const std::optional<SoftwareVersion> sole = this->soleVersion(service, period);
        std::string_view reason;
        if (!sole) {
            reason = "several versions, or not all replicas followed for that long";
        } else if (!isConfirmed) {
            reason = "the list of replicas could not be confirmed";
        }
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - start);
        log(LogLevel::Info,
            "version of a stream judged by the history",
            {{"service", service.value()},
             {"period_ms", static_cast<std::int64_t>(period.count())},
             {"version", reason.empty() ? sole->value() : std::string()},
             {"reason", std::string(reason)},
             {"is_confirmed", isConfirmed},
             {"waited_ms", static_cast<std::int64_t>(waited.count())}});
        judged(reason.empty() ? sole : std::nullopt);
    };
    if (this->soleVersion(service, period)) {
        this->hooks.confirmReplicas([finish, alive = this->alive](bool isConfirmed) {
            if (*alive) {
                finish(isConfirmed);
            }
        });
        return;
    }
    // What the list may lack can only add versions.
    this->loop.post([finish, alive = this->alive] {
        if (*alive) {
            finish(false);
        }
    });
}

void PlacementServer::setView(const MemberViewPointer &view)
{
    this->view = view;
    for (auto &[service, state] : this->services) {
        this->dropDepartedClients(state);
    }
}

void PlacementServer::handleDispatcherChange(const ServiceName &service, SessionNumber former)
{
    if (former == this->peers.self()) {
        // The nodes report their requests to the new dispatcher. If this one were kept, it would continue to assign slots.
        this->dropDispatcher(this->stateOf(service));
    }
    this->hooks.dispatcherChanged(service);
}

void PlacementServer::dropDispatcher(ServiceState &state)
{
    state.dispatcher.reset();
    state.clients.clear();
    state.unjudged.clear();
}

void PlacementServer::suspectDispatcher(const ServiceName &service)
{
    this->elections.suspectCoordinator(service.value());
}

const Member *PlacementServer::dispatcherOf(const ServiceName &service) const
{
    return this->elections.coordinator(service.value());
}

const Member *PlacementServer::otherDispatcher(const ServiceName &service) const
{
    return this->elections.remoteCoordinator(service.value());
}

void PlacementServer::dropDepartedClients(ServiceState &state)
{
    if (!state.dispatcher) {
        return;
    }
    std::erase_if(state.clients, [this, &state](const auto &client) {
        const bool hasDeparted = client.first != this->peers.self() && this->view->find(client.first) == nullptr;
        if (hasDeparted) {
            state.dispatcher->dropNode(client.first);
            std::erase_if(state.unjudged, [&client](const auto &request) {
                return request.first.node == client.first;
            });
        }
        return hasDeparted;
    });
}

void PlacementServer::receive(const Datagram &datagram)
{
    if (datagram.number == SlotRequest::number) {
        const auto slotRequest = decode<SlotRequest>(datagram.payload);
        if (slotRequest && !this->forward(datagram, *slotRequest)) {
            this->handle(*slotRequest, clientAddress(datagram, *slotRequest));
        }
    } else if (datagram.number == PlacementEnd::number) {
        if (const auto end = decode<PlacementEnd>(datagram.payload)) {
            this->forward(*end);
            // This node may have been the dispatcher until a moment ago.
            this->handle(*end);
        }
    } else if (datagram.number == PlacementStarted::number) {
        const auto started = decode<PlacementStarted>(datagram.payload);
        if (started && !this->forward(*started)) {
            this->handle(*started);
        }
    } else if (datagram.number == ReplicaTimings::number) {
        const auto timings = decode<ReplicaTimings>(datagram.payload);
        if (timings && !this->forward(*timings)) {
            this->handle(*timings);
        }
    } else if (datagram.number == PlacementsRunning::number) {
        const auto report = decode<PlacementsRunning>(datagram.payload);
        if (report && !this->forward(datagram, *report)) {
            this->handle(*report, clientAddress(datagram, *report));
        }
    }
}

// Forwards, once, a message of a node that does not know yet that another node is the dispatcher. If it were handled here, two
// dispatchers would each fill all replicas, and the requests beyond their slots would wait in the replicas' queues.
template <typename Message>
bool PlacementServer::forward(const Datagram &datagram, const Message &message)
{
    const bool isForwarded = message.replyTo != Address();
    const Member *const dispatcher = isForwarded ? nullptr : this->otherDispatcher(ServiceName(message.service));
    if (dispatcher == nullptr) {
        return false;
    }
    Message forwarded = message;
    forwarded.replyTo = datagram.from;
    this->peers.datagrams().send(dispatcher->gossip, forwarded);
    this->elections.sendClaim(datagram.from, message.service);
    return true;
}

// The same for messages that are not answered.
template <typename Message>
bool PlacementServer::forward(const Message &message)
{
    const Member *const dispatcher = message.isPassedOn ? nullptr : this->otherDispatcher(ServiceName(message.service));
    if (dispatcher == nullptr) {
        return false;
    }
    Message forwarded = message;
    forwarded.isPassedOn = true;
    this->peers.datagrams().send(dispatcher->gossip, forwarded);
    return true;
}

void PlacementServer::handle(const PlacementEnd &end)
{
    if (Dispatcher *const dispatcher = this->findDispatcher(ServiceName(end.service))) {
        this->stateOf(ServiceName(end.service)).unjudged.erase({end.from, end.ticket});
        dispatcher->end({end.from, end.ticket}, end.verdict, end.timing);
    }
}

void PlacementServer::handle(const PlacementStarted &started)
{
    if (Dispatcher *const dispatcher = this->findDispatcher(ServiceName(started.service))) {
        dispatcher->recordLoad(started.replica, started.load, started.pace);
    }
}

void PlacementServer::handle(const ReplicaTimings &timings)
{
    const ServiceName service(timings.service);
    // Nodes learn of a new dispatcher at different times; a dispatcher that is created early must not be dropped before it acts.
    this->stateOf(service).lastRequest = this->clock.now();
    this->dispatcherFor(service).recordTimings(timings.replicas);
}

void PlacementServer::handle(const SlotRequest &slotRequest, const Address &client)
{
    const ServiceName service(slotRequest.service);
    const Dispatcher &dispatcher = this->dispatcherFor(service);
    this->stateOf(service).lastRequest = this->clock.now();
    this->stateOf(service).clients.insert_or_assign(slotRequest.from, client);
    const SteadyTime now = this->clock.now();
    PlacementRequest request;
    request.id = {slotRequest.from, slotRequest.ticket};
    request.work = slotRequest.isBatch ? WorkClass::Batch : WorkClass::Online;
    request.priority = slotRequest.priority;
    request.arrived = now - slotRequest.waited;
    request.due = request.arrived + slotRequest.objective;
    request.deadline = now + slotRequest.timeout;
    request.failureDomain = slotRequest.failureDomain;
    request.content = slotRequest.content;
    request.mayRefuse = slotRequest.mayRefuse;
    request.avoided = slotRequest.avoided;
    request.connected = slotRequest.connected;
    request.version = slotRequest.version;
    request.workspace = slotRequest.workspace;
    request.weight = slotRequest.weight;
    request.cost = slotRequest.cost;
    if (slotRequest.soleVersionFor.count() > 0 && !dispatcher.isOpen(request.id)) {
        this->judgeRequest(service, request, slotRequest.soleVersionFor);
        return;
    }
    this->submit(service, request);
}

void PlacementServer::submit(const ServiceName &service, const PlacementRequest &request)
{
    if (!this->dispatcherFor(service).submit(request)) {
        this->answerWaiting(service, request.id);
    }
}

void PlacementServer::judgeRequest(const ServiceName &service, const PlacementRequest &request, std::chrono::milliseconds period)
{
    const bool isNew = this->stateOf(service).unjudged.emplace(request.id, request).second;
    if (isNew) {
        this->judgeVersion(service, period, [this, service, id = request.id](const std::optional<SoftwareVersion> &version) {
            this->handleJudgement(service, id, version);
        });
    }
    this->answerWaiting(service, request.id);
}

void PlacementServer::handleJudgement(const ServiceName &service, TicketId id, const std::optional<SoftwareVersion> &version)
{
    auto entry = this->stateOf(service).unjudged.extract(id);
    if (entry.empty()) {
        return;
    }
    PlacementRequest &request = entry.mapped();
    if (!version) {
        this->answerRefused(service, id, (request.deadline - this->clock.now()) / retryAfterDivisor);
        return;
    }
    request.version = *version;
    this->submit(service, request);
}

void PlacementServer::handle(const PlacementsRunning &report, const Address &client)
{
    const ServiceName service(report.service);
    Dispatcher &dispatcher = this->dispatcherFor(service);
    this->stateOf(service).clients.insert_or_assign(report.from, client);
    dispatcher.reconcile(report.from, report.lastTicket, report.running);
}

Dispatcher *PlacementServer::findDispatcher(const ServiceName &service)
{
    const auto found = this->services.find(service);
    return found != this->services.end() ? found->second.dispatcher.get() : nullptr;
}

Dispatcher &PlacementServer::dispatcherFor(const ServiceName &service)
{
    ServiceState &state = this->stateOf(service);
    if (!state.dispatcher) {
        Dispatcher::Hooks hooks{
            .place =
                [this, service](TicketId id, const EndpointName &instance) {
                    this->answerPlaced(service, id, instance);
                },
            .stop =
                [this, service](TicketId id) {
                    this->answer(service, id, {id.number, service.value(), PlacementDecision::Stopped, {}, {}, {}, {}, {}});
                },
            .refuse =
                [this, service](TicketId id, std::chrono::milliseconds retryAfter) {
                    this->answerRefused(service, id, retryAfter);
                },
        };
        state.dispatcher = std::make_unique<Dispatcher>(this->clock, std::move(hooks), this->options);
        ReplicaUpdate update;
        for (const auto &[instance, replica] : state.replicas) {
            update.put.push_back(replica);
        }
        state.dispatcher->update(update);
    }
    return *state.dispatcher;
}

void PlacementServer::answerPlaced(const ServiceName &service, TicketId id, const EndpointName &instance)
{
    PlacementAnswer placed{id.number, service.value(), PlacementDecision::Placed, instance, {}, {}, {}, {}};
    if (const ServingReplica *const replica = this->hooks.findReplica(instance)) {
        placed.address = replica->address;
        placed.registeredName = replica->registeredName;
        placed.version = replica->version;
    }
    this->answer(service, id, placed);
}

void PlacementServer::answerWaiting(const ServiceName &service, TicketId id)
{
    this->answer(service, id, {id.number, service.value(), PlacementDecision::Waiting, {}, {}, {}, {}, {}});
}

void PlacementServer::answerRefused(const ServiceName &service, TicketId id, std::chrono::nanoseconds retryAfter)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter);
    this->answer(service, id, {id.number, service.value(), PlacementDecision::Refused, {}, milliseconds, {}, {}, {}});
}

void PlacementServer::answer(const ServiceName &service, TicketId id, const PlacementAnswer &answer)
{
    if (id.node == this->peers.self()) {
        this->loop.post([this, answer, alive = this->alive] {
            if (*alive) {
                this->hooks.answerLocal(answer);
            }
        });
        return;
    }
    const ServiceState &state = this->stateOf(service);
    const auto client = state.clients.find(id.node);
    if (client != state.clients.end()) {
        this->peers.datagrams().send(client->second, answer);
    }
}

void PlacementServer::tick()
{
    for (auto &[service, state] : this->services) {
        this->tickDispatcher(service, state);
    }
}

void PlacementServer::tickDispatcher(const ServiceName &service, ServiceState &state)
{
    if (!state.dispatcher) {
        return;
    }
    const bool isDispatchedHere = this->otherDispatcher(service) == nullptr;
    if (!isDispatchedHere && this->clock.now() - state.lastRequest > strayRetention) {
        // It was created for a message forwarded here by a node that considered this one the dispatcher too early.
        this->dropDispatcher(state);
        return;
    }
    state.dispatcher->tick();
    if (isDispatchedHere) {
        this->logLoad(service, state);
        this->logLongestWait(service, state);
    }
}

void PlacementServer::logLoad(const ServiceName &service, ServiceState &state)
{
    const SteadyTime now = this->clock.now();
    if (now < state.nextLoadLog) {
        return;
    }
    state.nextLoadLog = now + loadLogInterval;
    const Dispatcher::Load load = state.dispatcher->load();
    log(LogLevel::Info,
        "dispatcher load",
        {{"service", service.value()},
         {"slots", static_cast<std::int64_t>(load.slots)},
         {"online_running", static_cast<std::int64_t>(load.onlineRunning)},
         {"batch_running", static_cast<std::int64_t>(load.batchRunning)},
         {"online_waiting", static_cast<std::int64_t>(load.onlineWaiting)},
         {"batch_waiting", static_cast<std::int64_t>(load.batchWaiting)},
         {"limited_replicas", static_cast<std::int64_t>(load.learned.limited)},
         {"blocked_replicas", static_cast<std::int64_t>(load.learned.blocked)},
         {"slowest_percent", std::llround(load.learned.slowest * 100)},
         {"fastest_percent", std::llround(load.learned.fastest * 100)},
         {"workspaces_waiting", static_cast<std::int64_t>(load.waitingWorkspaces)},
         {"over_share_refused", static_cast<std::int64_t>(load.shareRefusals)}});
}

void PlacementServer::logLongestWait(const ServiceName &service, ServiceState &state)
{
    const SteadyTime now = this->clock.now();
    if (now < state.nextWaitLog) {
        return;
    }
    // All waiting items are visited, so not at each tick.
    state.nextWaitLog = now + loadLogInterval;
    const std::optional<Dispatcher::ItemWait> wait = state.dispatcher->longestItemWait();
    if (!wait || wait->waited < longItemWait) {
        return;
    }
    state.nextWaitLog = now + waitLogInterval;
    log(LogLevel::Info,
        "batch item waits for a slot",
        {{"service", service.value()},
         {"ticket", static_cast<std::int64_t>(wait->id.number)},
         {"session", std::to_string(wait->id.node.value())},
         {"version", wait->version.value()},
         {"waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(wait->waited).count()},
         {"online_waiting", static_cast<std::int64_t>(state.dispatcher->load().onlineWaiting)},
         {"draining", static_cast<std::int64_t>(wait->draining)},
         {"avoided", static_cast<std::int64_t>(wait->avoided)},
         {"blocked", static_cast<std::int64_t>(wait->blocked)},
         {"full", static_cast<std::int64_t>(wait->full)},
         {"closed_to_items", static_cast<std::int64_t>(wait->closedToItems)},
         {"open", static_cast<std::int64_t>(wait->open)}});
}

std::optional<Dispatcher::Load> PlacementServer::load(const ServiceName &service) const
{
    const auto found = this->services.find(service);
    const bool hasDispatcher = found != this->services.end() && found->second.dispatcher;
    return hasDispatcher ? std::optional(found->second.dispatcher->load()) : std::nullopt;
}

} // namespace Dogwoodkeel
