#include <Services/Gateway/PlacementClient.h>

#include <LibBase/Hash.h>
#include <LibBase/Log.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds tickInterval{20};
/** A datagram that was lost is sent again after this: several round trips between failure domains. */
constexpr std::chrono::milliseconds askRepeat{20};
/** A dispatcher that has not answered by then is away. A fifth of the shortest objective that callers have. */
constexpr std::chrono::milliseconds askPatience{60};
/** While a request waits, it is asked for again this often; the answer may have been lost. Under overload hundreds wait, and
 * each question takes some of the dispatcher's processor. */
constexpr std::chrono::milliseconds waitRepeat{200};
constexpr std::chrono::milliseconds batchWaitRepeat{1000};
/** A dispatcher that does not say any more that a request waits is away. */
constexpr std::chrono::milliseconds waitPatience{500};
/** How long a dispatcher that did not answer is not waited for; then one request tries it again. */
constexpr std::chrono::milliseconds doubtTime{400};
constexpr std::chrono::milliseconds reportInterval{200};

template <typename Time>
std::chrono::milliseconds millisecondsOf(Time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

} // namespace

PlacementClient::PlacementClient(EventLoop &loop, const Clock &clock, PeerNetwork &peers, FailureDomain own)
    : loop(loop), clock(clock), peers(peers), own(std::move(own)), view(peers.dutyView())
{
    this->tick();
}

PlacementClient::~PlacementClient()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

PlacementClient::ServiceState &PlacementClient::stateOf(const ServiceName &service)
{
    const auto found = this->services.find(service);
    if (found != this->services.end()) {
        return found->second;
    }
    const std::uint64_t seed = stableHash(service.value(), this->peers.self().value());
    return this->services.emplace(service, ServiceState{.local = LocalPlacement(this->clock, seed)}).first->second;
}

void PlacementClient::setService(const ServiceName &service, const std::vector<DispatchReplica> &replicas, bool isDispatched)
{
    ServiceState &state = this->stateOf(service);
    state.isDispatched = isDispatched;
    state.replicas = replicas;
    state.local.setReplicas(replicas);
    if (state.dispatcher) {
        state.dispatcher->setReplicas(replicas);
    }
}

const Member *PlacementClient::otherDispatcher(const ServiceName &service) const
{
    const Member *const holder = dutyHolder(*this->view, stableHash(service.value()));
    return holder != nullptr && holder->session != this->peers.self() ? holder : nullptr;
}

PlacementClient::Ticket PlacementClient::ask(const PlacementWish &wish, Decided decided)
{
    const Ticket ticket = ++this->lastTicket;
    Asked &asked = this->tickets.emplace(ticket, Asked{.wish = wish, .decided = std::move(decided)}).first->second;
    ServiceState &state = this->stateOf(wish.service);
    asked.firstSent = this->clock.now();
    const bool isDoubted = this->clock.now() < state.doubtedUntil && wish.work == WorkClass::Online;
    if (!state.isDispatched || isDoubted) {
        this->placeLocally(ticket, asked);
        return ticket;
    }
    this->sendAsk(ticket, asked);
    return ticket;
}

void PlacementClient::sendAsk(Ticket ticket, Asked &asked)
{
    const SteadyTime now = this->clock.now();
    asked.sent = now;
    const PlacementWish &wish = asked.wish;
    PlacementAsk ask;
    ask.from = this->peers.self();
    ask.ticket = ticket;
    ask.service = wish.service.value();
    ask.isBatch = wish.work == WorkClass::Batch;
    ask.priority = wish.priority;
    ask.waited = millisecondsOf(now - wish.arrived);
    ask.objective = millisecondsOf(wish.due - wish.arrived);
    ask.patience = millisecondsOf(wish.deadline - now);
    ask.failureDomain = this->own;
    ask.content = wish.content;
    ask.mayRefuse = wish.mayRefuse;
    ask.avoided = wish.avoided;
    ask.connected = wish.connected;
    const Member *const dispatcher = this->otherDispatcher(wish.service);
    if (dispatcher == nullptr) {
        this->loop.post([this, ask, alive = this->alive] {
            if (*alive) {
                this->takeAsk(Datagram{}, ask);
            }
        });
        return;
    }
    this->peers.datagrams().send(dispatcher->gossip, ask);
}

void PlacementClient::placeLocally(Ticket ticket, Asked &asked)
{
    ServiceState &state = this->stateOf(asked.wish.service);
    const std::optional<EndpointName> chosen = state.local.choose(this->own, asked.wish.avoided, asked.wish.connected);
    if (!chosen) {
        return;
    }
    asked.isLocal = true;
    asked.replica = *chosen;
    state.local.begin(*chosen);
    this->fallbackCount += state.isDispatched ? 1 : 0;
    this->loop.post([this, ticket, instance = *chosen, alive = this->alive] {
        const auto found = *alive ? this->tickets.find(ticket) : this->tickets.end();
        if (*alive && found != this->tickets.end()) {
            const Decided decided = found->second.decided;
            decided({PlacementDecision::Placed, instance, {}, true});
        }
    });
}

void PlacementClient::end(Ticket ticket, PlacementVerdict verdict)
{
    const auto found = this->tickets.find(ticket);
    if (found == this->tickets.end()) {
        return;
    }
    const Asked asked = std::move(found->second);
    this->tickets.erase(found);
    ServiceState &state = this->stateOf(asked.wish.service);
    if (asked.isLocal) {
        state.local.end(*asked.replica, verdict);
    }
    if (state.isDispatched) {
        this->sendEnd(ticket, asked.wish.service, verdict);
    }
}

void PlacementClient::sendEnd(Ticket ticket, const ServiceName &service, PlacementVerdict verdict)
{
    const PlacementEnd end{this->peers.self(), ticket, service.value(), verdict, false};
    const Member *const dispatcher = this->otherDispatcher(service);
    if (dispatcher == nullptr) {
        this->dispatcherFor(service).end({end.from, ticket}, verdict);
        return;
    }
    this->peers.datagrams().send(dispatcher->gossip, end);
}

void PlacementClient::noteBegun(Ticket ticket, const ToldLoad &load)
{
    const auto found = this->tickets.find(ticket);
    if (found == this->tickets.end() || !found->second.replica) {
        return;
    }
    const ServiceName &service = found->second.wish.service;
    if (!this->stateOf(service).isDispatched) {
        return;
    }
    const PlacementBegun begun{service.value(), *found->second.replica, load.running, load.waiting, false};
    const Member *const dispatcher = this->otherDispatcher(service);
    if (dispatcher == nullptr) {
        this->dispatcherFor(service).noteLoad(begun.replica, load);
        return;
    }
    this->peers.datagrams().send(dispatcher->gossip, begun);
}

void PlacementClient::decide(Ticket ticket, const Placement &placement)
{
    const auto found = this->tickets.find(ticket);
    if (found == this->tickets.end()) {
        return;
    }
    const Decided decided = found->second.decided;
    decided(placement);
}

void PlacementClient::takeAnswer(const PlacementAnswer &answer)
{
    const ServiceName service(answer.service);
    this->stateOf(service).doubtedUntil = {};
    const auto found = this->tickets.find(answer.ticket);
    if (found == this->tickets.end()) {
        // The request ended while this was on its way: the slot is given back.
        if (answer.decision == PlacementDecision::Placed) {
            this->sendEnd(answer.ticket, service, PlacementVerdict::Finished);
        }
        return;
    }
    Asked &asked = found->second;
    asked.heard = this->clock.now();
    switch (answer.decision) {
    case PlacementDecision::Waiting:
        return;
    case PlacementDecision::Placed:
        if (!asked.replica) {
            asked.replica = answer.replica;
            this->decide(answer.ticket, {PlacementDecision::Placed, answer.replica, {}});
        }
        return;
    case PlacementDecision::Refused:
        if (!asked.replica) {
            this->decide(answer.ticket, {PlacementDecision::Refused, {}, answer.comeBack});
        }
        return;
    case PlacementDecision::Stopped:
        if (asked.replica) {
            this->decide(answer.ticket, {PlacementDecision::Stopped, {}, {}});
        }
        return;
    }
}

void PlacementClient::tick()
{
    std::vector<Ticket> open;
    for (const auto &[ticket, asked] : this->tickets) {
        if (!asked.replica) {
            open.push_back(ticket);
        }
    }
    for (const Ticket ticket : open) {
        const auto found = this->tickets.find(ticket);
        if (found != this->tickets.end()) {
            this->tickTicket(ticket, found->second);
        }
    }
    for (auto &[service, state] : this->services) {
        if (state.dispatcher) {
            state.dispatcher->tick();
        }
        if (state.isDispatched && this->clock.now() - state.lastReport >= reportInterval) {
            this->report(service, state);
        }
    }
    this->timer = this->loop.schedule(tickInterval, [this] {
        this->tick();
    });
}

void PlacementClient::tickTicket(Ticket ticket, Asked &asked)
{
    ServiceState &state = this->stateOf(asked.wish.service);
    const SteadyTime now = this->clock.now();
    if (!state.isDispatched) {
        this->placeLocally(ticket, asked);
        return;
    }
    const bool isUnheard = !asked.heard && now - asked.firstSent > askPatience;
    const bool isSilent = asked.heard && now - *asked.heard > waitPatience;
    if ((isUnheard || isSilent) && asked.wish.work == WorkClass::Online) {
        if (now >= state.doubtedUntil) {
            log(LogLevel::Warning,
                "dispatcher does not answer, placing by own counts",
                {{"service", asked.wish.service.value()}, {"waited_ms", millisecondsOf(now - asked.firstSent).count()}});
        }
        state.doubtedUntil = now + doubtTime;
        this->placeLocally(ticket, asked);
        return;
    }
    const bool isBatch = asked.wish.work == WorkClass::Batch;
    const std::chrono::milliseconds heardRepeat = isBatch ? batchWaitRepeat : waitRepeat;
    if (now - asked.sent >= (asked.heard ? heardRepeat : askRepeat)) {
        this->sendAsk(ticket, asked);
    }
}

void PlacementClient::report(const ServiceName &service, ServiceState &state)
{
    state.lastReport = this->clock.now();
    PlacementsRunning running;
    running.from = this->peers.self();
    running.service = service.value();
    running.lastTicket = this->lastTicket;
    for (const auto &[ticket, asked] : this->tickets) {
        if (asked.wish.service == service && asked.replica) {
            running.running.push_back({ticket, *asked.replica, asked.wish.work == WorkClass::Batch});
        }
    }
    const bool isNews = !running.running.empty() || state.hadRunning;
    state.hadRunning = !running.running.empty();
    if (!isNews) {
        return;
    }
    const Member *const dispatcher = this->otherDispatcher(service);
    if (dispatcher == nullptr) {
        this->takeReport(Datagram{}, running);
        return;
    }
    this->peers.datagrams().send(dispatcher->gossip, running);
}

void PlacementClient::setView(const MemberViewPointer &view)
{
    const MemberViewPointer before = std::exchange(this->view, view);
    for (auto &[service, state] : this->services) {
        const std::uint64_t key = stableHash(service.value());
        const Member *const was = dutyHolder(*before, key);
        const Member *const is = dutyHolder(*view, key);
        const bool isSame = (was == nullptr) == (is == nullptr) && (was == nullptr || was->session == is->session);
        if (!isSame && state.isDispatched) {
            log(LogLevel::Info,
                "dispatcher changed",
                {{"service", service.value()}, {"dispatcher_vm", is != nullptr ? is->vm.value() : std::string()}});
            state.doubtedUntil = {};
            if (was != nullptr && was->session == this->peers.self()) {
                // What it knew is told to the new one by those who ask and run; kept, it would go on to give places away.
                state.dispatcher.reset();
                state.askers.clear();
            }
            // The new one has to know what runs before it fills the replicas a second time.
            this->report(service, state);
        }
        this->dropGoneAskers(state);
    }
}

void PlacementClient::dropGoneAskers(ServiceState &state)
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

void PlacementClient::receive(const Datagram &datagram)
{
    if (datagram.number == PlacementAnswer::number) {
        if (const auto answer = decode<PlacementAnswer>(datagram.payload)) {
            this->takeAnswer(*answer);
        }
    } else if (datagram.number == PlacementAsk::number) {
        if (const auto ask = decode<PlacementAsk>(datagram.payload)) {
            this->takeAsk(datagram, *ask);
        }
    } else if (datagram.number == PlacementEnd::number) {
        if (const auto end = decode<PlacementEnd>(datagram.payload)) {
            this->takeEnd(*end);
        }
    } else if (datagram.number == PlacementBegun::number) {
        if (const auto begun = decode<PlacementBegun>(datagram.payload)) {
            this->takeBegun(*begun);
        }
    } else if (datagram.number == PlacementsRunning::number) {
        if (const auto report = decode<PlacementsRunning>(datagram.payload)) {
            this->takeReport(datagram, *report);
        }
    }
}

// A node that still holds this one for the dispatcher has not heard of a newer member. What it sends is passed on, once: were it
// served here, two dispatchers would each fill all replicas, and what is over their slots would wait in their queues.
template <typename Message>
bool PlacementClient::passOn(const Datagram &datagram, const Message &message)
{
    const bool isPassedOn = message.replyTo != Address();
    const Member *const dispatcher = isPassedOn ? nullptr : this->otherDispatcher(ServiceName(message.service));
    if (dispatcher == nullptr) {
        return false;
    }
    Message passed = message;
    passed.replyTo = datagram.from;
    this->peers.datagrams().send(dispatcher->gossip, passed);
    return true;
}

void PlacementClient::takeEnd(const PlacementEnd &end)
{
    const ServiceName service(end.service);
    const Member *const other = end.isPassedOn ? nullptr : this->otherDispatcher(service);
    if (other != nullptr) {
        PlacementEnd passed = end;
        passed.isPassedOn = true;
        this->peers.datagrams().send(other->gossip, passed);
    }
    ServiceState &state = this->stateOf(service);
    if (state.dispatcher) {
        state.dispatcher->end({end.from, end.ticket}, end.verdict);
    }
}

void PlacementClient::takeBegun(const PlacementBegun &begun)
{
    const ServiceName service(begun.service);
    const Member *const other = begun.isPassedOn ? nullptr : this->otherDispatcher(service);
    if (other != nullptr) {
        PlacementBegun passed = begun;
        passed.isPassedOn = true;
        this->peers.datagrams().send(other->gossip, passed);
        return;
    }
    ServiceState &state = this->stateOf(service);
    if (state.dispatcher) {
        state.dispatcher->noteLoad(begun.replica, {begun.running, begun.waiting});
    }
}

void PlacementClient::takeAsk(const Datagram &datagram, const PlacementAsk &ask)
{
    if (this->passOn(datagram, ask)) {
        return;
    }
    const ServiceName service(ask.service);
    Dispatcher &dispatcher = this->dispatcherFor(service);
    const Address asker = ask.replyTo != Address() ? ask.replyTo : datagram.from;
    this->stateOf(service).askers.insert_or_assign(ask.from, asker);
    const SteadyTime now = this->clock.now();
    PlacementRequest request;
    request.id = {ask.from, ask.ticket};
    request.work = ask.isBatch ? WorkClass::Batch : WorkClass::Online;
    request.priority = ask.priority;
    request.arrived = now - ask.waited;
    request.due = request.arrived + ask.objective;
    request.deadline = now + ask.patience;
    request.failureDomain = ask.failureDomain;
    request.content = ask.content;
    request.mayRefuse = ask.mayRefuse;
    request.avoided = ask.avoided;
    request.connected = ask.connected;
    if (!dispatcher.ask(request)) {
        this->answer(service, request.id, {ask.ticket, ask.service, PlacementDecision::Waiting, {}, {}});
    }
}

void PlacementClient::takeReport(const Datagram &datagram, const PlacementsRunning &report)
{
    if (this->passOn(datagram, report)) {
        return;
    }
    const ServiceName service(report.service);
    Dispatcher &dispatcher = this->dispatcherFor(service);
    const Address asker = report.replyTo != Address() ? report.replyTo : datagram.from;
    this->stateOf(service).askers.insert_or_assign(report.from, asker);
    dispatcher.reconcile(report.from, report.lastTicket, report.running);
}

Dispatcher &PlacementClient::dispatcherFor(const ServiceName &service)
{
    ServiceState &state = this->stateOf(service);
    if (!state.dispatcher) {
        Dispatcher::Hooks hooks{
            .place =
                [this, service](TicketId id, const EndpointName &instance) {
                    this->answer(service, id, {id.number, service.value(), PlacementDecision::Placed, instance, {}});
                },
            .stop =
                [this, service](TicketId id) {
                    this->answer(service, id, {id.number, service.value(), PlacementDecision::Stopped, {}, {}});
                },
            .refuse =
                [this, service](TicketId id, std::chrono::milliseconds comeBack) {
                    this->answer(service, id, {id.number, service.value(), PlacementDecision::Refused, {}, comeBack});
                },
        };
        state.dispatcher = std::make_unique<Dispatcher>(this->clock, std::move(hooks));
        state.dispatcher->setReplicas(state.replicas);
    }
    return *state.dispatcher;
}

void PlacementClient::answer(const ServiceName &service, TicketId id, const PlacementAnswer &answer)
{
    if (id.node == this->peers.self()) {
        this->loop.post([this, answer, alive = this->alive] {
            if (*alive) {
                this->takeAnswer(answer);
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

std::optional<Dispatcher::Load> PlacementClient::dispatcherLoad(const ServiceName &service) const
{
    const auto found = this->services.find(service);
    const bool hasOne = found != this->services.end() && found->second.dispatcher;
    return hasOne ? std::optional(found->second.dispatcher->load()) : std::nullopt;
}

std::uint64_t PlacementClient::fallbacks() const
{
    return this->fallbackCount;
}

} // namespace Dogwoodkeel
