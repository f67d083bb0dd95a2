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

/** A datagram that was lost is sent again after this: several round trips between failure domains. */
constexpr std::chrono::milliseconds askRepeat{20};
/** A dispatcher that has not answered by then is away. A fifth of the shortest objective that callers have. */
constexpr std::chrono::milliseconds askTimeout{60};
/** While a request waits, it is asked for again this often; the answer may have been lost. Under overload hundreds wait, and
 * each question takes some of the dispatcher's processor. */
constexpr std::chrono::milliseconds waitRepeat{200};
constexpr std::chrono::milliseconds batchWaitRepeat{1000};
/** A dispatcher that does not say any more that a request waits is away. */
constexpr std::chrono::milliseconds waitTimeout{500};
/** How long a dispatcher that did not answer is not waited for; then one request tries it again. */
constexpr std::chrono::milliseconds suspicionTime{400};
constexpr std::chrono::milliseconds reportInterval{200};

template <typename Time>
std::chrono::milliseconds millisecondsOf(Time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

} // namespace

PlacementClient::PlacementClient(EventLoop &loop,
                                 const Clock &clock,
                                 PeerNetwork &peers,
                                 DutyKeeper &duties,
                                 FailureDomain own,
                                 PlacementServer::Describe describe)
    : loop(loop)
    , clock(clock)
    , peers(peers)
    , own(std::move(own))
    , server(loop,
             clock,
             peers,
             duties,
             {.answerOwn =
                  [this](const PlacementAnswer &answer) {
                      this->takeAnswer(answer);
                  },
              .moved =
                  [this](const ServiceName &service) {
                      this->takeDispatcher(service);
                  },
              .describe = std::move(describe)})
{
}

PlacementClient::~PlacementClient()
{
    *this->alive = false;
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
    state.local.setReplicas(replicas);
    this->server.setReplicas(service, replicas);
}

void PlacementClient::updateService(const ServiceName &service, const ReplicaUpdate &update)
{
    this->stateOf(service).local.update(update);
    this->server.updateReplicas(service, update);
}

PlacementClient::Ticket PlacementClient::requestSlot(const PlacementQuery &query, Decided decided)
{
    const Ticket ticket = ++this->lastTicket;
    Asked &asked = this->tickets.emplace(ticket, Asked{.query = query, .decided = std::move(decided)}).first->second;
    ServiceState &state = this->stateOf(query.service);
    asked.firstSent = this->clock.now();
    const bool isSuspected = this->clock.now() < state.suspectedUntil && query.work == WorkClass::Online;
    if (!state.isDispatched || isSuspected) {
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
    const PlacementQuery &query = asked.query;
    PlacementAsk ask;
    ask.from = this->peers.self();
    ask.ticket = ticket;
    ask.service = query.service.value();
    ask.isBatch = query.work == WorkClass::Batch;
    ask.priority = query.priority;
    ask.waited = millisecondsOf(now - query.arrived);
    ask.objective = millisecondsOf(query.due - query.arrived);
    ask.timeout = millisecondsOf(query.deadline - now);
    ask.failureDomain = this->own;
    ask.content = query.content;
    ask.mayRefuse = query.mayRefuse;
    ask.avoided = query.avoided;
    ask.connected = query.connected;
    ask.version = query.version;
    ask.soleVersionFor = query.soleVersionFor;
    this->tellDispatcher(query.service, ask);
}

template <typename Message>
void PlacementClient::tellDispatcher(const ServiceName &service, const Message &message)
{
    const Member *const other = this->server.otherDispatcher(service);
    if (other != nullptr) {
        this->peers.datagrams().send(other->gossip, message);
        return;
    }
    this->server.take(message);
}

void PlacementClient::placeLocally(Ticket ticket, Asked &asked)
{
    ServiceState &state = this->stateOf(asked.query.service);
    PlacementQuery &query = asked.query;
    if (query.soleVersionFor.count() > 0) {
        const std::optional<SoftwareVersion> sole
            = query.knowsAllReplicas ? this->server.soleVersion(query.service, query.soleVersionFor) : std::nullopt;
        if (!sole) {
            this->refuseLater(ticket, query);
            return;
        }
        query.version = *sole;
        query.soleVersionFor = std::chrono::milliseconds(0);
    }
    const std::optional<EndpointName> chosen = state.local.choose(this->own, query);
    if (!chosen) {
        if (!state.isDispatched && !query.version.value().empty()) {
            this->refuseLater(ticket, query);
        }
        return;
    }
    asked.isLocal = true;
    asked.replica = *chosen;
    state.local.begin(*chosen);
    this->fallbackCount += state.isDispatched ? 1 : 0;
    this->decideLater(ticket, {.decision = PlacementDecision::Placed, .replica = *chosen, .isOwnChoice = true});
}

void PlacementClient::refuseLater(Ticket ticket, const PlacementQuery &query)
{
    const auto retryAfter = millisecondsOf((query.deadline - this->clock.now()) / returnShare);
    this->decideLater(ticket, {.decision = PlacementDecision::Refused, .retryAfter = retryAfter});
}

void PlacementClient::decideLater(Ticket ticket, const Placement &placement)
{
    this->loop.post([this, ticket, placement, alive = this->alive] {
        if (*alive) {
            this->decide(ticket, placement);
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
    ServiceState &state = this->stateOf(asked.query.service);
    if (asked.isLocal) {
        state.local.end(*asked.replica, verdict);
    }
    if (state.isDispatched) {
        this->sendEnd(ticket, asked.query.service, verdict);
    }
}

void PlacementClient::sendEnd(Ticket ticket, const ServiceName &service, PlacementVerdict verdict)
{
    this->tellDispatcher(service, PlacementEnd{this->peers.self(), ticket, service.value(), verdict, false});
}

void PlacementClient::reportStarted(Ticket ticket, const ReportedLoad &load)
{
    const auto found = this->tickets.find(ticket);
    if (found == this->tickets.end() || !found->second.replica) {
        return;
    }
    const ServiceName &service = found->second.query.service;
    if (!this->stateOf(service).isDispatched) {
        return;
    }
    this->tellDispatcher(service, PlacementBegun{service.value(), *found->second.replica, load, false});
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
    this->stateOf(service).suspectedUntil = {};
    const auto found = this->tickets.find(answer.ticket);
    if (found == this->tickets.end()) {
        // The request ended while this was on its way: the slot is given back.
        if (answer.decision == PlacementDecision::Placed) {
            this->sendEnd(answer.ticket, service, PlacementVerdict::Finished);
        }
        return;
    }
    Asked &asked = found->second;
    asked.received = this->clock.now();
    switch (answer.decision) {
    case PlacementDecision::Waiting:
        return;
    case PlacementDecision::Placed:
        if (!asked.replica) {
            asked.replica = answer.replica;
            this->decide(answer.ticket,
                         {.decision = PlacementDecision::Placed,
                          .replica = answer.replica,
                          .registeredName = answer.registeredName,
                          .address = answer.address,
                          .version = answer.version});
        }
        return;
    case PlacementDecision::Refused:
        if (!asked.replica) {
            this->decide(answer.ticket, {.decision = PlacementDecision::Refused, .retryAfter = answer.retryAfter});
        }
        return;
    case PlacementDecision::Stopped:
        if (asked.replica) {
            this->decide(answer.ticket, {.decision = PlacementDecision::Stopped});
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
    this->server.tick();
    for (auto &[service, state] : this->services) {
        if (state.isDispatched && this->clock.now() - state.lastReport >= reportInterval) {
            this->report(service, state);
        }
    }
}

void PlacementClient::tickTicket(Ticket ticket, Asked &asked)
{
    ServiceState &state = this->stateOf(asked.query.service);
    const SteadyTime now = this->clock.now();
    if (!state.isDispatched) {
        this->placeLocally(ticket, asked);
        return;
    }
    const bool isUnanswered = !asked.received && now - asked.firstSent > askTimeout;
    const bool isSilent = asked.received && now - *asked.received > waitTimeout;
    if ((isUnanswered || isSilent) && asked.query.work == WorkClass::Online) {
        if (now >= state.suspectedUntil) {
            log(LogLevel::Warning,
                "dispatcher does not answer, placing by own counts",
                {{"service", asked.query.service.value()}, {"waited_ms", millisecondsOf(now - asked.firstSent).count()}});
            this->server.suspectDispatcher(asked.query.service);
        }
        state.suspectedUntil = now + suspicionTime;
        this->placeLocally(ticket, asked);
        if (asked.replica) {
            return;
        }
        // This node knows no replica that will do; whoever dispatches next may.
    }
    const bool isBatch = asked.query.work == WorkClass::Batch;
    const std::chrono::milliseconds answeredRepeat = isBatch ? batchWaitRepeat : waitRepeat;
    if (now - asked.sent >= (asked.received ? answeredRepeat : askRepeat)) {
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
        if (asked.query.service == service && asked.replica) {
            running.running.push_back({ticket, *asked.replica, asked.query.work == WorkClass::Batch});
        }
    }
    const bool isNews = !running.running.empty() || state.hadRunning;
    state.hadRunning = !running.running.empty();
    if (!isNews) {
        return;
    }
    this->tellDispatcher(service, running);
}

void PlacementClient::setView(const MemberViewPointer &view)
{
    this->server.setView(view);
}

void PlacementClient::takeDispatcher(const ServiceName &service)
{
    ServiceState &state = this->stateOf(service);
    if (!state.isDispatched) {
        return;
    }
    const Member *const dispatcher = this->server.dispatcherOf(service);
    log(LogLevel::Info,
        "dispatcher changed",
        {{"service", service.value()}, {"dispatcher_vm", dispatcher != nullptr ? dispatcher->vm.value() : std::string()}});
    state.suspectedUntil = {};
    // The new one has to know what runs before it fills the replicas a second time.
    this->report(service, state);
}

void PlacementClient::receive(const Datagram &datagram)
{
    if (datagram.number != PlacementAnswer::number) {
        this->server.receive(datagram);
        return;
    }
    if (const auto answer = decode<PlacementAnswer>(datagram.payload)) {
        this->takeAnswer(*answer);
    }
}

std::optional<Dispatcher::Load> PlacementClient::dispatcherLoad(const ServiceName &service) const
{
    return this->server.load(service);
}

const Member *PlacementClient::dispatcherOf(const ServiceName &service) const
{
    return this->server.dispatcherOf(service);
}

std::uint64_t PlacementClient::fallbacks() const
{
    return this->fallbackCount;
}

} // namespace Dogwoodkeel
