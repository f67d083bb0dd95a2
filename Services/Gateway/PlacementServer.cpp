#include <Services/Gateway/PlacementServer.h>

#include <LibBase/Log.h>
#include <LibWire/Codec.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** How long a dispatcher that this node should not be is kept after it was asked last: by then its placements are forgotten. */
constexpr std::chrono::milliseconds strayKept{2000};

/** How often a dispatcher tells what it has: often enough to see a burst, and a line a second for each service of a fleet. */
constexpr std::chrono::milliseconds loadLineInterval{1000};

/** @return where the node is that asks or reports; another one may have passed it on. */
template <typename Message>
Address askerOf(const Datagram &datagram, const Message &message)
{
    return message.replyTo != Address() ? message.replyTo : datagram.from;
}

} // namespace

PlacementServer::PlacementServer(
    EventLoop &loop, const Clock &clock, PeerNetwork &peers, CoordinatorElections &duties, Hooks hooks)
    : loop(loop), clock(clock), peers(peers), duties(duties), hooks(std::move(hooks)), view(peers.roleView())
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
        this->duties.follow(service.value(), [this, service](const CoordinatorElections::Change &move) {
            this->takeMove(service, move.former);
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

std::optional<SoftwareVersion> PlacementServer::soleVersion(const ServiceName &service, std::chrono::milliseconds period) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() ? found->second.versions.sole(period) : std::nullopt;
}

void PlacementServer::setView(const MemberViewPointer &view)
{
    this->view = view;
    for (auto &[service, state] : this->services) {
        this->dropGoneAskers(state);
    }
}

void PlacementServer::takeMove(const ServiceName &service, SessionNumber former)
{
    if (former == this->peers.self()) {
        // What it knew is told to the new one by those who ask and run; kept, it would go on to give places away.
        ServiceState &state = this->stateOf(service);
        state.dispatcher.reset();
        state.askers.clear();
    }
    this->hooks.moved(service);
}

void PlacementServer::suspectDispatcher(const ServiceName &service)
{
    this->duties.suspectCoordinator(service.value());
}

const Member *PlacementServer::dispatcherOf(const ServiceName &service) const
{
    return this->duties.coordinator(service.value());
}

const Member *PlacementServer::otherDispatcher(const ServiceName &service) const
{
    return this->duties.remoteCoordinator(service.value());
}

void PlacementServer::dropGoneAskers(ServiceState &state)
{
    if (!state.dispatcher) {
        return;
    }
    std::erase_if(state.askers, [this, &state](const auto &asker) {
        const bool isGone = asker.first != this->peers.self() && this->view->find(asker.first) == nullptr;
        if (isGone) {
            state.dispatcher->dropNode(asker.first);
        }
        return isGone;
    });
}

void PlacementServer::receive(const Datagram &datagram)
{
    if (datagram.number == PlacementAsk::number) {
        const auto ask = decode<PlacementAsk>(datagram.payload);
        if (ask && !this->passOn(datagram, *ask)) {
            this->take(*ask, askerOf(datagram, *ask));
        }
    } else if (datagram.number == PlacementEnd::number) {
        if (const auto end = decode<PlacementEnd>(datagram.payload)) {
            this->passOn(*end);
            // Until a moment ago the dispatcher may have been here.
            this->take(*end);
        }
    } else if (datagram.number == PlacementBegun::number) {
        const auto begun = decode<PlacementBegun>(datagram.payload);
        if (begun && !this->passOn(*begun)) {
            this->take(*begun);
        }
    } else if (datagram.number == PlacementsRunning::number) {
        const auto report = decode<PlacementsRunning>(datagram.payload);
        if (report && !this->passOn(datagram, *report)) {
            this->take(*report, askerOf(datagram, *report));
        }
    }
}

// A node that still holds this one for the dispatcher has not heard of a newer member. What it sends is passed on, once: were it
// served here, two dispatchers would each fill all replicas, and what is over their slots would wait in their queues.
template <typename Message>
bool PlacementServer::passOn(const Datagram &datagram, const Message &message)
{
    const bool isPassedOn = message.replyTo != Address();
    const Member *const dispatcher = isPassedOn ? nullptr : this->otherDispatcher(ServiceName(message.service));
    if (dispatcher == nullptr) {
        return false;
    }
    Message passed = message;
    passed.replyTo = datagram.from;
    this->peers.datagrams().send(dispatcher->gossip, passed);
    this->duties.sendClaim(datagram.from, message.service);
    return true;
}

// As above, of messages that nobody answers.
template <typename Message>
bool PlacementServer::passOn(const Message &message)
{
    const Member *const dispatcher = message.isPassedOn ? nullptr : this->otherDispatcher(ServiceName(message.service));
    if (dispatcher == nullptr) {
        return false;
    }
    Message passed = message;
    passed.isPassedOn = true;
    this->peers.datagrams().send(dispatcher->gossip, passed);
    return true;
}

void PlacementServer::take(const PlacementEnd &end)
{
    if (Dispatcher *const dispatcher = this->findDispatcher(ServiceName(end.service))) {
        dispatcher->end({end.from, end.ticket}, end.verdict);
    }
}

void PlacementServer::take(const PlacementBegun &begun)
{
    if (Dispatcher *const dispatcher = this->findDispatcher(ServiceName(begun.service))) {
        dispatcher->noteLoad(begun.replica, begun.load);
    }
}

void PlacementServer::take(const PlacementAsk &ask, const Address &asker)
{
    const ServiceName service(ask.service);
    Dispatcher &dispatcher = this->dispatcherFor(service);
    this->stateOf(service).lastAsked = this->clock.now();
    this->stateOf(service).askers.insert_or_assign(ask.from, asker);
    const SteadyTime now = this->clock.now();
    PlacementRequest request;
    request.id = {ask.from, ask.ticket};
    request.work = ask.isBatch ? WorkClass::Batch : WorkClass::Online;
    request.priority = ask.priority;
    request.arrived = now - ask.waited;
    request.due = request.arrived + ask.objective;
    request.deadline = now + ask.timeout;
    request.failureDomain = ask.failureDomain;
    request.content = ask.content;
    request.mayRefuse = ask.mayRefuse;
    request.avoided = ask.avoided;
    request.connected = ask.connected;
    request.version = ask.version;
    if (ask.soleVersionFor.count() > 0) {
        const std::optional<SoftwareVersion> sole = this->soleVersion(service, ask.soleVersionFor);
        if (!sole) {
            const std::chrono::milliseconds retryAfter = ask.timeout / returnShare;
            this->answer(service, request.id, {ask.ticket, ask.service, PlacementDecision::Refused, {}, retryAfter, {}, {}, {}});
            return;
        }
        request.version = *sole;
    }
    if (!dispatcher.ask(request)) {
        this->answer(service, request.id, {ask.ticket, ask.service, PlacementDecision::Waiting, {}, {}, {}, {}, {}});
    }
}

void PlacementServer::take(const PlacementsRunning &report, const Address &asker)
{
    const ServiceName service(report.service);
    Dispatcher &dispatcher = this->dispatcherFor(service);
    this->stateOf(service).askers.insert_or_assign(report.from, asker);
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
                    this->answer(
                        service, id, {id.number, service.value(), PlacementDecision::Refused, {}, retryAfter, {}, {}, {}});
                },
        };
        state.dispatcher = std::make_unique<Dispatcher>(this->clock, std::move(hooks));
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
    if (const ServingReplica *const replica = this->hooks.describe(instance)) {
        placed.address = replica->address;
        placed.registeredName = replica->registeredName;
        placed.version = replica->version;
    }
    this->answer(service, id, placed);
}

void PlacementServer::answer(const ServiceName &service, TicketId id, const PlacementAnswer &answer)
{
    if (id.node == this->peers.self()) {
        this->loop.post([this, answer, alive = this->alive] {
            if (*alive) {
                this->hooks.answerOwn(answer);
            }
        });
        return;
    }
    const ServiceState &state = this->stateOf(service);
    const auto asker = state.askers.find(id.node);
    if (asker != state.askers.end()) {
        this->peers.datagrams().send(asker->second, answer);
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
    const bool isOurs = this->otherDispatcher(service) == nullptr;
    if (!isOurs && this->clock.now() - state.lastAsked > strayKept) {
        // Made for what was passed on here by a node that named this one too early.
        state.dispatcher.reset();
        state.askers.clear();
        return;
    }
    state.dispatcher->tick();
    if (isOurs) {
        this->logLoad(service, state);
    }
}

void PlacementServer::logLoad(const ServiceName &service, ServiceState &state)
{
    const SteadyTime now = this->clock.now();
    if (now < state.nextLoadLine) {
        return;
    }
    state.nextLoadLine = now + loadLineInterval;
    const Dispatcher::Load load = state.dispatcher->load();
    log(LogLevel::Info,
        "dispatcher load",
        {{"service", service.value()},
         {"slots", static_cast<std::int64_t>(load.slots)},
         {"online_running", static_cast<std::int64_t>(load.onlineRunning)},
         {"batch_running", static_cast<std::int64_t>(load.batchRunning)},
         {"online_waiting", static_cast<std::int64_t>(load.onlineWaiting)},
         {"batch_waiting", static_cast<std::int64_t>(load.batchWaiting)}});
}

std::optional<Dispatcher::Load> PlacementServer::load(const ServiceName &service) const
{
    const auto found = this->services.find(service);
    const bool hasOne = found != this->services.end() && found->second.dispatcher;
    return hasOne ? std::optional(found->second.dispatcher->load()) : std::nullopt;
}

} // namespace Dogwoodkeel
