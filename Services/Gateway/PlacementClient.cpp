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

/** An unanswered datagram is sent again after this: several round trips between failure domains. */
constexpr std::chrono::milliseconds resendInterval{20};
/** A dispatcher that has not answered by then is considered unavailable. A fifth of the shortest objective that callers have. */
constexpr std::chrono::milliseconds answerTimeout{60};
/** While a request waits, it is sent again at this interval, as the answer may have been lost. Under overload hundreds of
 * requests wait, and each message takes processor time of the dispatcher. */
constexpr std::chrono::milliseconds waitingResendInterval{200};
constexpr std::chrono::milliseconds batchResendInterval{1000};
/** A dispatcher that no longer confirms that a request waits is considered unavailable after this. */
constexpr std::chrono::milliseconds waitingTimeout{500};
/** How long requests are not sent to a dispatcher that did not answer; then one request tries it again. */
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
                                 CoordinatorElections &elections,
                                 FailureDomain ownDomain,
                                 ReplicaLookup replicas,
                                 const DispatcherOptions &options)
    : loop(loop)
    , clock(clock)
    , peers(peers)
    , ownDomain(std::move(ownDomain))
    , server(loop,
             clock,
             peers,
             elections,
             {.answerLocal =
                  [this](const PlacementAnswer &answer) {
                      this->handleAnswer(answer);
                  },
              .dispatcherChanged =
                  [this](const ServiceName &service) {
                      this->handleDispatcherChange(service);
                  },
              .findReplica = std::move(replicas.find),
              .confirmReplicas = std::move(replicas.confirm)},
             options)
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

void PlacementClient::restartHistories()
{
    this->server.restartHistories();
}

SlotHandle PlacementClient::requestSlot(const PlacementQuery &query, DecisionHandler decided)
{
    const Ticket ticket = ++this->lastTicket;
    const auto endRequest = [this, alive = this->alive](Ticket ended, PlacementVerdict verdict, const RunTiming &timing) {
        if (*alive) {
            this->end(ended, verdict, timing);
        }
    };
    OpenRequest &request
        = this->requests.emplace(ticket, OpenRequest{.query = query, .decided = std::move(decided)}).first->second;
    ServiceState &state = this->stateOf(query.service);
    request.firstSent = this->clock.now();
    const bool isSuspected = this->clock.now() < state.suspectedUntil && query.work == WorkClass::Online;
    if (!state.isDispatched || isSuspected) {
        this->placeLocally(ticket, request);
    } else {
        this->sendRequest(ticket, request);
    }
    return {ticket, endRequest};
}

void PlacementClient::sendRequest(Ticket ticket, OpenRequest &request)
{
    const SteadyTime now = this->clock.now();
    request.lastSent = now;
    const PlacementQuery &query = request.query;
    SlotRequest slotRequest;
    slotRequest.from = this->peers.self();
    slotRequest.ticket = ticket;
    slotRequest.service = query.service.value();
    slotRequest.isBatch = query.work == WorkClass::Batch;
    slotRequest.priority = query.priority;
    slotRequest.waited = millisecondsOf(now - query.arrived);
    slotRequest.objective = millisecondsOf(query.due - query.arrived);
    slotRequest.timeout = millisecondsOf(query.deadline - now);
    slotRequest.failureDomain = this->ownDomain;
    slotRequest.content = query.content;
    slotRequest.mayRefuse = query.mayRefuse;
    slotRequest.avoided = query.avoided;
    slotRequest.connected = query.connected;
    slotRequest.version = query.version;
    slotRequest.soleVersionFor = query.soleVersionFor;
    slotRequest.workspace = query.workspace;
    slotRequest.weight = query.weight;
    slotRequest.cost = query.cost;
    this->sendToDispatcher(query.service, slotRequest);
}

template <typename Message>
void PlacementClient::sendToDispatcher(const ServiceName &service, const Message &message)
{
    const Member *const other = this->server.otherDispatcher(service);
    if (other != nullptr) {
        this->peers.datagrams().send(other->gossip, message);
        return;
    }
    this->server.handle(message);
}

void PlacementClient::placeLocally(Ticket ticket, OpenRequest &request)
{
    ServiceState &state = this->stateOf(request.query.service);
    const PlacementQuery &query = request.query;
    if (query.soleVersionFor.count() > 0) {
        this->judgeVersion(ticket, request);
        return;
    }
    const std::optional<EndpointName> selected = state.local.select(this->ownDomain, query);
    if (!selected) {
        if (!state.isDispatched && !query.version.value().empty()) {
            this->refuseLater(ticket, query);
        }
        return;
    }
    request.isLocal = true;
    request.replica = *selected;
    state.local.begin(*selected);
    this->fallbackCount += state.isDispatched ? 1 : 0;
    this->decideLater(ticket, {.decision = PlacementDecision::Placed, .replica = *selected, .isPlacedLocally = true});
}

void PlacementClient::judgeVersion(Ticket ticket, OpenRequest &request)
{
    if (std::exchange(request.isBeingJudged, true)) {
        return;
    }
    // The server belongs to this client, so the handler is not called after its end.
    this->server.judgeVersion(
        request.query.service, request.query.soleVersionFor, [this, ticket](const std::optional<SoftwareVersion> &version) {
            this->handleJudgement(ticket, version);
        });
}

void PlacementClient::handleJudgement(Ticket ticket, const std::optional<SoftwareVersion> &version)
{
    const auto found = this->requests.find(ticket);
    if (found == this->requests.end() || found->second.replica) {
        return;
    }
    OpenRequest &request = found->second;
    request.isBeingJudged = false;
    if (!version) {
        this->refuseLater(ticket, request.query);
        return;
    }
    request.query.version = *version;
    request.query.soleVersionFor = std::chrono::milliseconds(0);
    this->placeLocally(ticket, request);
}

void PlacementClient::refuseLater(Ticket ticket, const PlacementQuery &query)
{
    const auto retryAfter = millisecondsOf((query.deadline - this->clock.now()) / retryAfterDivisor);
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

void PlacementClient::end(Ticket ticket, PlacementVerdict verdict, const RunTiming &timing)
{
    const auto found = this->requests.find(ticket);
    if (found == this->requests.end()) {
        return;
    }
    const OpenRequest request = std::move(found->second);
    this->requests.erase(found);
    ServiceState &state = this->stateOf(request.query.service);
    if (request.isLocal) {
        state.local.end(*request.replica, verdict);
    }
    if (request.replica && verdict == PlacementVerdict::Finished) {
        state.measured.record(nameHashOf(*request.replica), timing, this->clock.now());
    }
    if (state.isDispatched) {
        this->sendEnd(ticket, request.query.service, verdict, timing);
    }
}

void PlacementClient::sendEnd(Ticket ticket, const ServiceName &service, PlacementVerdict verdict, const RunTiming &timing)
{
    this->sendToDispatcher(service, PlacementEnd{this->peers.self(), ticket, service.value(), verdict, false, timing});
}

void PlacementClient::reportStarted(Ticket ticket, const ReportedLoad &load, std::uint32_t pace)
{
    const auto found = this->requests.find(ticket);
    if (found == this->requests.end() || !found->second.replica) {
        return;
    }
    const ServiceName &service = found->second.query.service;
    if (!this->stateOf(service).isDispatched) {
        return;
    }
    this->sendToDispatcher(service, PlacementStarted{service.value(), *found->second.replica, load, false, pace});
}

std::optional<PlacementClient::RequestState> PlacementClient::requestState(Ticket ticket) const
{
    const auto found = this->requests.find(ticket);
    if (found == this->requests.end()) {
        return std::nullopt;
    }
    const OpenRequest &request = found->second;
    return RequestState{request.firstSent, request.lastAnswer, request.replica.has_value()};
}

void PlacementClient::decide(Ticket ticket, const Placement &placement)
{
    const auto found = this->requests.find(ticket);
    if (found == this->requests.end()) {
        return;
    }
    const DecisionHandler decided = found->second.decided;
    decided(placement);
}

void PlacementClient::handleAnswer(const PlacementAnswer &answer)
{
    const ServiceName service(answer.service);
    this->stateOf(service).suspectedUntil = {};
    const auto found = this->requests.find(answer.ticket);
    if (found == this->requests.end()) {
        // The request ended while the answer was in transit: the slot is released.
        if (answer.decision == PlacementDecision::Placed) {
            this->sendEnd(answer.ticket, service, PlacementVerdict::Finished);
        }
        return;
    }
    OpenRequest &request = found->second;
    request.lastAnswer = this->clock.now();
    switch (answer.decision) {
    case PlacementDecision::Waiting:
        return;
    case PlacementDecision::Placed:
        if (!request.replica) {
            request.replica = answer.replica;
            this->decide(answer.ticket,
                         {.decision = PlacementDecision::Placed,
                          .replica = answer.replica,
                          .registeredName = answer.registeredName,
                          .address = answer.address,
                          .version = answer.version});
        }
        return;
    case PlacementDecision::Refused:
        if (!request.replica) {
            this->decide(answer.ticket, {.decision = PlacementDecision::Refused, .retryAfter = answer.retryAfter});
        }
        return;
    case PlacementDecision::Stopped:
        if (request.replica) {
            this->decide(answer.ticket, {.decision = PlacementDecision::Stopped});
        }
        return;
    }
}

void PlacementClient::tick()
{
    std::vector<Ticket> open;
    for (const auto &[ticket, request] : this->requests) {
        if (!request.replica) {
            open.push_back(ticket);
        }
    }
    for (const Ticket ticket : open) {
        const auto found = this->requests.find(ticket);
        if (found != this->requests.end()) {
            this->tickRequest(ticket, found->second);
        }
    }
    this->server.tick();
    for (auto &[service, state] : this->services) {
        if (state.isDispatched && this->clock.now() - state.lastReport >= reportInterval) {
            this->reportRunning(service, state);
        }
    }
}

void PlacementClient::tickRequest(Ticket ticket, OpenRequest &request)
{
    ServiceState &state = this->stateOf(request.query.service);
    const SteadyTime now = this->clock.now();
    if (!state.isDispatched) {
        this->placeLocally(ticket, request);
        return;
    }
    const bool isUnanswered = !request.lastAnswer && now - request.firstSent > answerTimeout;
    const bool isUnresponsive = request.lastAnswer && now - *request.lastAnswer > waitingTimeout;
    if ((isUnanswered || isUnresponsive) && request.query.work == WorkClass::Online) {
        if (now >= state.suspectedUntil) {
            log(LogLevel::Warning,
                "dispatcher does not answer, placing by own counts",
                {{"service", request.query.service.value()}, {"waited_ms", millisecondsOf(now - request.firstSent).count()}});
            this->server.suspectDispatcher(request.query.service);
        }
        state.suspectedUntil = now + suspicionTime;
        this->placeLocally(ticket, request);
        if (request.replica) {
            return;
        }
        // This node knows no suitable replica; the next dispatcher may know one.
    }
    const bool isBatch = request.query.work == WorkClass::Batch;
    const std::chrono::milliseconds answeredResendInterval = isBatch ? batchResendInterval : waitingResendInterval;
    if (now - request.lastSent >= (request.lastAnswer ? answeredResendInterval : resendInterval)) {
        this->sendRequest(ticket, request);
    }
}

void PlacementClient::reportRunning(const ServiceName &service, ServiceState &state)
{
    state.lastReport = this->clock.now();
    PlacementsRunning running;
    running.from = this->peers.self();
    running.service = service.value();
    running.lastTicket = this->lastTicket;
    for (const auto &[ticket, request] : this->requests) {
        if (request.query.service == service && request.replica) {
            running.running.push_back({ticket, *request.replica, request.query.work == WorkClass::Batch});
        }
    }
    const bool isReportNeeded = !running.running.empty() || state.hadRunning;
    state.hadRunning = !running.running.empty();
    if (!isReportNeeded) {
        return;
    }
    this->sendToDispatcher(service, running);
}

void PlacementClient::setView(const MemberViewPointer &view)
{
    this->server.setView(view);
}

void PlacementClient::handleDispatcherChange(const ServiceName &service)
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
    // The new dispatcher has to know which requests run, or it would fill the replicas a second time.
    this->reportRunning(service, state);
    this->reportMeasured(service, state);
}

void PlacementClient::reportMeasured(const ServiceName &service, const ServiceState &state)
{
    const std::vector<ReplicaTiming> timings = state.measured.timings(this->clock.now());
    if (!timings.empty()) {
        this->sendToDispatcher(service, ReplicaTimings{this->peers.self(), service.value(), timings, false});
    }
}

void PlacementClient::receive(const Datagram &datagram)
{
    if (datagram.number != PlacementAnswer::number) {
        this->server.receive(datagram);
        return;
    }
    if (const auto answer = decode<PlacementAnswer>(datagram.payload)) {
        this->handleAnswer(*answer);
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

PlacementClient::RequestCounts PlacementClient::requestCounts() const
{
    RequestCounts counts;
    for (const auto &[ticket, request] : this->requests) {
        ++(request.replica ? counts.placed : counts.waiting);
    }
    return counts;
}

std::uint64_t PlacementClient::fallbacks() const
{
    return this->fallbackCount;
}

} // namespace Dogwoodkeel
