#include <Services/Gateway/PlacementServer.h>

#include <LibBase/Log.h>
#include <LibWire/Codec.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** How often a node that knows no claim asks others for it, and how many: one that has just started is told in two round trips.
 */
constexpr std::chrono::milliseconds questionInterval{100};
constexpr std::size_t questionsAtOnce = 3;

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

PlacementServer::PlacementServer(EventLoop &loop, const Clock &clock, PeerNetwork &peers, Hooks hooks)
    : loop(loop)
    , clock(clock)
    , peers(peers)
    , hooks(std::move(hooks))
    , view(peers.dutyView())
    , random(static_cast<std::minstd_rand::result_type>(peers.self().value()))
{
}

PlacementServer::~PlacementServer()
{
    *this->alive = false;
}

PlacementServer::ServiceState &PlacementServer::stateOf(const ServiceName &service)
{
    ServiceState &state = this->services[service];
    if (!state.duty) {
        state.duty = std::make_unique<ClaimedDuty>(this->clock, service.value());
        state.duty->setView(this->peers.self(), this->peers.view(), this->view);
        const Member *const holder = state.duty->holder();
        state.holder = holder != nullptr ? holder->session : SessionNumber();
    }
    return state;
}

void PlacementServer::setReplicas(const ServiceName &service, const std::vector<DispatchReplica> &replicas)
{
    ServiceState &state = this->stateOf(service);
    state.replicas = replicas;
    if (state.dispatcher) {
        state.dispatcher->setReplicas(replicas);
    }
}

void PlacementServer::setView(const MemberViewPointer &view)
{
    const MemberViewPointer before = std::exchange(this->view, view);
    for (auto &[service, state] : this->services) {
        state.duty->setView(this->peers.self(), this->peers.view(), view);
        this->takeHolder(service, state);
        this->dropGoneAskers(state);
        this->tellNewcomers(*state.duty, *before);
    }
}

void PlacementServer::takeHolder(const ServiceName &service, ServiceState &state)
{
    const Member *const holder = state.duty->holder();
    const SessionNumber current = holder != nullptr ? holder->session : SessionNumber();
    const SessionNumber former = std::exchange(state.holder, current);
    if (former == current) {
        return;
    }
    if (former == this->peers.self()) {
        // What it knew is told to the new one by those who ask and run; kept, it would go on to give places away.
        state.dispatcher.reset();
        state.askers.clear();
    }
    this->hooks.moved(service);
}

void PlacementServer::claimDuty(const ServiceName &service, ServiceState &state)
{
    const std::optional<DutyClaim> claim = state.duty->makeClaim();
    if (!claim) {
        return;
    }
    log(LogLevel::Info,
        "dispatcher claimed",
        {{"service", service.value()},
         {"term", static_cast<std::int64_t>(claim->term)},
         {"holder", static_cast<std::int64_t>(claim->holder.value())},
         {"members", static_cast<std::int64_t>(this->view->members().size())}});
    for (const Member &member : this->view->members()) {
        if (member.session != this->peers.self()) {
            this->peers.datagrams().send(member.gossip, *claim);
        }
    }
    this->takeHolder(service, state);
}

void PlacementServer::doubtDispatcher(const ServiceName &service)
{
    const Member *const dispatcher = this->otherDispatcher(service);
    const Member *const successor = dispatcher != nullptr ? this->stateOf(service).duty->successor() : nullptr;
    if (successor == nullptr) {
        return;
    }
    const DutyDoubt doubt{service.value(), dispatcher->session, this->peers.self()};
    if (successor->session == this->peers.self()) {
        this->stateOf(service).duty->hearDoubt(doubt);
    } else {
        this->peers.datagrams().send(successor->gossip, doubt);
    }
}

void PlacementServer::askForClaim(const ClaimedDuty &duty)
{
    const auto isOther = [this](const Member &member) {
        return member.session != this->peers.self();
    };
    for (std::size_t asked = 0; asked < questionsAtOnce; ++asked) {
        if (const Member *const member = randomMember(*this->view, this->random, isOther)) {
            this->peers.datagrams().send(member->gossip, duty.question());
        }
    }
}

void PlacementServer::tellNewcomers(const ClaimedDuty &duty, const MemberView &before)
{
    const Member *const holder = duty.holder();
    const bool isOurs = holder != nullptr && holder->session == this->peers.self();
    if (!isOurs || !duty.claim()) {
        return;
    }
    for (const Member &member : this->view->members()) {
        if (before.find(member.session) == nullptr) {
            this->peers.datagrams().send(member.gossip, *duty.claim());
        }
    }
}

void PlacementServer::receive(const Address &from, const DutyClaim &claim)
{
    const ServiceName service(claim.duty);
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return;
    }
    const Member *const holder = found->second.duty->holder();
    // A question from its address is none of its own: it has started anew, and knows nothing of what it held.
    const bool isFromHolder = holder != nullptr && holder->gossip == from && claim.term > 0;
    if (isFromHolder) {
        found->second.duty->noteHolderAlive();
    }
    switch (found->second.duty->hear(claim)) {
    case ClaimedDuty::Heard::News:
        this->takeHolder(service, found->second);
        return;
    case ClaimedDuty::Heard::Outdated:
        this->tellClaim(from, service);
        return;
    case ClaimedDuty::Heard::Known:
        return;
    }
}

void PlacementServer::tellClaim(const Address &to, const ServiceName &service)
{
    const auto found = this->services.find(service);
    if (found != this->services.end() && found->second.duty->claim()) {
        this->peers.datagrams().send(to, *found->second.duty->claim());
    }
}

const Member *PlacementServer::dispatcherOf(const ServiceName &service) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() ? found->second.duty->holder() : nullptr;
}

const Member *PlacementServer::otherDispatcher(const ServiceName &service) const
{
    const Member *const holder = this->dispatcherOf(service);
    return holder != nullptr && holder->session != this->peers.self() ? holder : nullptr;
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
    } else if (datagram.number == DutyClaim::number) {
        if (const auto claim = decode<DutyClaim>(datagram.payload)) {
            this->receive(datagram.from, *claim);
        }
    } else if (datagram.number == DutyDoubt::number) {
        const auto doubt = decode<DutyDoubt>(datagram.payload);
        const auto found = doubt ? this->services.find(ServiceName(doubt->duty)) : this->services.end();
        if (found != this->services.end()) {
            found->second.duty->hearDoubt(*doubt);
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
    this->tellClaim(datagram.from, ServiceName(message.service));
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
    const SteadyTime now = this->clock.now();
    const bool isQuestionDue = now >= this->nextQuestion;
    if (isQuestionDue) {
        this->nextQuestion = now + questionInterval;
    }
    for (auto &[service, state] : this->services) {
        if (isQuestionDue && state.duty->isAsking()) {
            this->askForClaim(*state.duty);
        }
        if (const Member *const doubted = state.duty->doubtedHolder()) {
            this->peers.datagrams().send(doubted->gossip, state.duty->question());
        }
        this->claimDuty(service, state);
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
