#include <Services/Gateway/OnlineCall.h>

#include <LibBase/Hash.h>
#include <LibBase/Log.h>
#include <LibProxy/HttpStatus.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Timeout of a caller that states none. */
constexpr std::chrono::seconds defaultTimeout{60};
/** Replicas that may reject a request without running it before it is refused: enough to skip those that happen to be full. */
constexpr std::uint32_t maxUnexecutedAttempts = 6;
/** A resumable stream continues at another replica after this many times its longest pause without an event. */
constexpr int stallPauses = 2;
constexpr std::chrono::milliseconds minStallTimeout{400};
/** How long a connection may have been idle to be used for a request that runs at most once: if the replica closes it at that
 * moment, it cannot be known whether the request ran. */
constexpr std::chrono::milliseconds maxIdleOnce{500};
constexpr std::chrono::milliseconds maxIdleRepeatable{10000};
/** The answer is sent this long before the caller stops waiting, so that it still arrives in time. */
constexpr std::chrono::milliseconds answerMargin{20};
/** Sent with a refusal for lack of a replica or a configuration: about the time until there may be one. */
constexpr std::chrono::milliseconds refusalRetryAfter{300};
/** A node that has just started reads the replicas from the store or another node in about 0.2 s. After this time something else
 * is wrong, and another node may serve the caller sooner. */
constexpr std::chrono::milliseconds listTimeout{1000};
constexpr std::chrono::milliseconds listCheckInterval{20};
/** From this pace on, in percent of usual, the dispatcher is notified that a replica's machine is disturbed. */
constexpr std::uint32_t disturbedPace = 150;
/** A stream's origin is kept this long after its caller's timeout, as the caller's clock differs from this node's. */
constexpr std::chrono::milliseconds originMargin{1000};

/** @return whether the dispatcher has to know of this load, because requests wait there or the machine is disturbed. */
bool isUnexpected(const StatedLoad &stated)
{
    const bool isFull = stated.load.waiting > 0 || stated.load.running >= stated.slots;
    return isFull || stated.pace >= disturbedPace;
}

std::int64_t millisecondsBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

} // namespace

OnlineCall::OnlineCall(GatewayContext &context,
                       ServingConfigurationPointer configuration,
                       const Access &access,
                       std::shared_ptr<CallerExchange> exchange)
    : context(context)
    , configuration(std::move(configuration))
    , route(*access.route)
    , workspace(access.workspace)
    , exchange(std::move(exchange))
    , traits(decodeTraits(this->exchange->head().headers))
    , arrived(context.clock.now())
    , splitter(maxStreamEventBytes)
    , held(context.answerBudget,
           [this] {
               this->cutAnswer();
           })
    , lastEvent(this->traits.lastEvent)
{
    std::chrono::milliseconds allowed = this->traits.timeout.value_or(defaultTimeout);
    if (this->route.timeout.count() > 0) {
        allowed = std::min(allowed, this->route.timeout);
    }
    this->deadline = this->arrived + allowed;
    this->fingerprint = stableHash(this->exchange->body(), stableHash(this->exchange->head().target));
}

SteadyTime OnlineCall::now() const
{
    return this->context.clock.now();
}

bool OnlineCall::isStream() const
{
    return this->route.kind == RouteKind::Stream;
}

bool OnlineCall::mayRepeat() const
{
    return this->route.kind == RouteKind::Idempotent || (this->isStream() && this->route.isResumable);
}

std::chrono::milliseconds OnlineCall::maxConnectionIdle() const
{
    return this->mayRepeat() ? maxIdleRepeatable : maxIdleOnce;
}

std::optional<WorkspaceName> OnlineCall::senderWorkspace() const
{
    if (!this->configuration->workspaces) {
        return std::nullopt;
    }
    return this->workspace != nullptr ? this->workspace->name : WorkspaceName();
}

void OnlineCall::start()
{
    const std::shared_ptr<OnlineCall> self = this->shared_from_this();
    this->exchange->onDisconnect([self] {
        self->onCallerDisconnected();
    });
    this->exchange->onPause([self](bool isPaused) {
        self->handleCallerPause(isPaused);
    });
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(this->deadline - this->now()) - answerMargin;
    this->deadlineTimer = this->context.loop.schedule(std::max(remaining, std::chrono::milliseconds(0)), [self] {
        self->onDeadline();
    });
    this->stopTicket = this->context.plannedStop.observe([call = this->weak_from_this()](PlannedStop::Phase phase) {
        if (const std::shared_ptr<OnlineCall> waiting = call.lock()) {
            waiting->handleStopPhase(phase);
        }
    });
    std::uniform_real_distribution<double> point(0, 1);
    const RouteTarget *const target = selectTarget(this->route, point(this->context.random));
    if (target == nullptr) {
        this->refuse(statusUnavailable, refusalRetryAfter, "the route has no service");
        return;
    }
    this->service = target->service;
    if (this->endIfCrashing() || this->endIfStopping()) {
        return;
    }
    if (this->isStream() && this->lastEvent.value_or(0) > 0) {
        this->queryOrigin();
    } else {
        this->requestQuota();
    }
}

std::optional<std::string_view> OnlineCall::crashReason() const
{
    if (this->context.crashHistory.isRefused(this->fingerprint)) {
        return "it crashed the replicas that ran it";
    }
    if (this->context.promptPartBlocklist.isBlocked(promptParts(this->service, this->traits.sharedPromptParts))) {
        return "replicas crashed under a part of its prompt";
    }
    return std::nullopt;
}

bool OnlineCall::endIfCrashing()
{
    const std::optional<std::string_view> reason = this->crashReason();
    if (!reason) {
        return false;
    }
    if (this->attempts > 0) {
        this->fail(*reason);
    } else {
        this->refuse(statusUnavailable, refusalRetryAfter, *reason);
    }
    return true;
}

bool OnlineCall::endIfStopping()
{
    const bool mayBeRefused = this->attempts == 0 && !this->exchange->isStarted();
    if (!mayBeRefused || this->context.plannedStop.mayServe(this->deadline)) {
        return false;
    }
    this->refuse(statusUnavailable, PlannedStop::retryAfter, PlannedStop::refusalReason);
    return true;
}

void OnlineCall::handleStopPhase(PlannedStop::Phase phase)
{
    if (this->stage == Stage::Over || this->endIfStopping()) {
        return;
    }
    if (phase == PlannedStop::Phase::LastAnswers && !this->exchange->isStarted()) {
        this->fail("this node stops while a replica runs the request");
    }
}

void OnlineCall::startWaiting(Stage stage)
{
    this->stage = stage;
    if (this->waitingTicket == 0) {
        this->waitingTicket = this->context.waitingRequests.add([call = this->weak_from_this()] {
            if (const std::shared_ptr<OnlineCall> self = call.lock()) {
                self->recheck();
            }
        });
    }
}

void OnlineCall::recheck()
{
    if (!this->endIfCrashing() && this->stage == Stage::ClassifyingCrash) {
        this->requestPlacement();
    }
}

void OnlineCall::stopWaiting()
{
    this->context.waitingRequests.remove(std::exchange(this->waitingTicket, 0));
}

void OnlineCall::recordDisconnect()
{
    this->context.recordDisconnect({this->fingerprint,
                                    this->replica->instance,
                                    this->replica->address,
                                    this->service,
                                    this->traits.sharedPromptParts,
                                    this->eventsForwarded - this->eventsBeforeAttempt});
}

void OnlineCall::recordPromptServed()
{
    if (!std::exchange(this->isPromptServed, true)) {
        this->context.recordPromptServed(promptParts(this->service, this->traits.sharedPromptParts));
    }
}

void OnlineCall::queryOrigin()
{
    this->stage = Stage::QueryingOrigin;
    // The answer may arrive from inside the call.
    const StreamOriginExchange::Ticket ticket = this->context.streamOrigins.find(
        this->traits.resumedId, [self = this->shared_from_this()](const StreamOriginExchange::Finding &finding) {
            self->handleOrigin(finding);
        });
    if (this->stage == Stage::QueryingOrigin) {
        this->originTicket = ticket;
    }
}

void OnlineCall::handleOrigin(const StreamOriginExchange::Finding &finding)
{
    this->originTicket = 0;
    if (this->stage != Stage::QueryingOrigin) {
        return;
    }
    const std::optional<StreamOrigin> &origin = finding.origin;
    this->context.metrics.countEvent(origin ? "stream taken up" : "stream of unknown origin taken up");
    log(LogLevel::Info,
        "request takes up a stream",
        {{"request", this->traits.id},
         {"resumes", this->traits.resumedId},
         {"last_event", static_cast<std::int64_t>(this->lastEvent.value_or(0))},
         {"is_origin_known", origin.has_value()},
         {"members_queried", static_cast<std::int64_t>(finding.queried)},
         {"members_denied", static_cast<std::int64_t>(finding.denied)},
         {"list_version", static_cast<std::int64_t>(this->context.replicaList.listVersion())},
         {"list_age_ms", static_cast<std::int64_t>(this->context.replicaList.age().count())},
         {"version", origin ? origin->version.value() : std::string()}});
    if (origin) {
        this->startedVersion = origin->version;
        const bool isStillTarget = std::ranges::any_of(this->route.targets, [&origin](const RouteTarget &target) {
            return target.service == origin->service && target.weight > 0;
        });
        this->service = isStillTarget ? origin->service : this->service;
    } else {
        // The stream may be older than the time that its caller has left now, so the route's timeout bounds its age.
        this->soleVersionFor = this->route.timeout.count() > 0 ? this->route.timeout : defaultTimeout;
    }
    this->stage = Stage::RequestingQuota;
    this->requestQuota();
}

void OnlineCall::requestQuota()
{
    if (this->workspace == nullptr || !this->workspace->quota.isLimited()) {
        this->requestPlacement();
        return;
    }
    // The answer may arrive from inside the call.
    const QuotaClient::Ticket ticket = this->context.quotas.request(
        *this->workspace, this->configuration->version, [self = this->shared_from_this()](const QuotaDecision &decision) {
            self->handleQuota(decision);
        });
    if (this->stage == Stage::RequestingQuota) {
        this->quotaTicket = ticket;
    }
}

void OnlineCall::handleQuota(const QuotaDecision &decision)
{
    this->quotaTicket = 0;
    if (this->stage != Stage::RequestingQuota) {
        return;
    }
    switch (decision.kind) {
    case QuotaDecision::Kind::Granted:
        this->requestPlacement();
        return;
    case QuotaDecision::Kind::OverLimit:
        this->refuse(statusTooManyRequests, decision.retryAfter, "its workspace is over its limit");
        return;
    case QuotaDecision::Kind::Unknown:
        this->refuse(statusUnavailable, decision.retryAfter, "no counter of its workspace's limit answers");
        return;
    }
}

void OnlineCall::awaitReplicas()
{
    if (this->now() - this->arrived > listTimeout) {
        this->refuse(statusUnavailable, refusalRetryAfter, "this node does not know the replicas yet");
        return;
    }
    this->listTimer = this->context.loop.schedule(listCheckInterval, [self = this->shared_from_this()] {
        self->listTimer = 0;
        self->requestPlacement();
    });
}

void OnlineCall::requestPlacement()
{
    if (this->endIfCrashing() || this->endIfStopping()) {
        return;
    }
    if (this->context.crashHistory.mayReachCrashLimit(this->fingerprint)) {
        this->startWaiting(Stage::ClassifyingCrash);
        return;
    }
    this->startWaiting(Stage::Placing);
    if (!this->context.replicaList.isKnown()) {
        // A dispatcher on another node would place the request at a replica whose address this node does not know.
        this->awaitReplicas();
        return;
    }
    this->placementRequested = this->now();
    PlacementQuery query;
    query.service = this->service;
    query.priority = priorityOf(this->route, this->workspace);
    if (this->workspace != nullptr) {
        query.workspace = this->workspace->name;
        query.weight = this->configuration->workspaces->shareWeight(*this->workspace);
    }
    query.cost = expectedCost(this->traits);
    query.arrived = this->arrived;
    query.due = this->isStream()
        ? this->context.firstEventEstimates[this->service].placementDeadline(this->arrived, this->route.objective)
        : this->arrived + this->route.objective;
    query.deadline = this->deadline;
    query.content = this->fingerprint;
    query.mayRefuse = this->attempts == 0 && !this->exchange->isStarted();
    query.avoided = this->avoided;
    query.connected = connectedReplicas(this->context, this->service, this->maxConnectionIdle());
    query.version = this->startedVersion;
    query.soleVersionFor = this->soleVersionFor;
    this->slot = this->context.placements.requestSlot(query, [call = this->weak_from_this()](const Placement &placement) {
        if (const std::shared_ptr<OnlineCall> self = call.lock()) {
            self->handlePlacement(placement);
        }
    });
}

void OnlineCall::handlePlacement(const Placement &placement)
{
    if (this->stage != Stage::Placing) {
        return;
    }
    if (placement.decision == PlacementDecision::Refused) {
        this->handleRefusal(placement.retryAfter);
        return;
    }
    if (this->endIfCrashing() || this->endIfStopping()) {
        return;
    }
    this->context.metrics.countPlacement(this->service.value(), this->now() - this->placementRequested);
    this->isPlacedLocally = placement.isPlacedLocally;
    this->listAge = this->context.replicaList.age();
    const std::optional<ServingReplica> found = this->context.replicaList.resolve(placedReplica(placement, this->service));
    if (!found) {
        this->avoided.push_back(placement.replica);
        this->retryUnexecuted(PlacementVerdict::Finished, "the replica is no longer listed, or is leaving");
        return;
    }
    this->send(*found);
}

void OnlineCall::handleRefusal(std::chrono::milliseconds retryAfter)
{
    std::string_view reason = "no replica has capacity in time";
    if (this->soleVersionFor.count() > 0) {
        reason = "the version that began the stream is unknown";
    } else if (!this->startedVersion.value().empty()) {
        reason = "no replica of the version that began the stream";
    }
    if (this->attempts > 0) {
        this->fail(reason);
        return;
    }
    this->refuse(statusUnavailable, retryAfter, reason);
}

void OnlineCall::send(const ServingReplica &replica)
{
    this->stopWaiting();
    this->replica = replica;
    this->isPromptServed = false;
    this->version = replica.version;
    this->stage = Stage::Sending;
    this->sent = this->now();
    this->measurement.start(this->sent);
    ++this->attempts;
    this->body.clear();
    this->eventsBeforeAttempt = this->eventsForwarded;
    this->splitter = EventSplitter(maxStreamEventBytes);
    const auto remaining = std::chrono::floor<std::chrono::milliseconds>(this->deadline - this->now());
    OutboundCall outbound;
    outbound.address = replica.address;
    outbound.head = encodeReplicaRequest(this->exchange->head(), this->senderWorkspace(), replica, remaining, this->lastEvent);
    outbound.body = this->exchange->body();
    outbound.maxIdleTime = this->maxConnectionIdle();
    outbound.isAnswer = isAnswerTo(this->traits.id);
    outbound.bodyBytes = this->context.answerBytes;
    outbound.isStream = [isStream = this->isStream()](const MessageHead &head) {
        return isStream && isSuccess(head.status);
    };
    const SentEntry entry = describeEntry(this->context, replica);
    log(LogLevel::Info,
        "request sent",
        {{"request", this->traits.id},
         {"replica", replica.instance.value()},
         {"entry_source", entry.source},
         {"entry_version", entry.version},
         {"entry_age_ms", entry.age.count()},
         {"entry_removed_ms", entry.sinceRemoval.count()}});
    this->call = this->context.replicaConnections.start(std::move(outbound), hooksFor(this->shared_from_this()));
    this->wasPaused = this->exchange->isPaused();
    if (this->wasPaused) {
        this->context.replicaConnections.setReading(this->call, false);
    }
    this->armStallTimer();
}

void OnlineCall::handleCallerPause(bool isPaused)
{
    if (this->call == 0) {
        return;
    }
    this->context.replicaConnections.setReading(this->call, !isPaused);
    this->wasPaused = true;
    if (isPaused) {
        this->context.loop.cancel(std::exchange(this->stallTimer, 0));
    } else {
        this->armStallTimer();
    }
}

void OnlineCall::handleHead(const MessageHead &head)
{
    this->stage = Stage::Receiving;
    this->framing = head.framing;
    // If the stream continues at another replica, the caller already has the head.
    if (this->eventsForwarded == 0) {
        this->answer = head;
    }
    const ReplicaAnswer read = decodeReplicaAnswer(head);
    const bool isGood = isSuccess(read.status);
    const bool isError = read.isSigned && !read.isNotExecuted && read.status >= statusServerError;
    this->measurement.recordHead(read.stated ? read.stated->pace : 0, isError);
    // Reports only a load that the dispatcher does not expect; a datagram for each request would repeat what it knows.
    if (isGood && read.stated && isUnexpected(*read.stated)) {
        this->context.placements.reportStarted(this->slot.ticket(), read.stated->load, read.stated->pace);
    }
    if (read.isNotExecuted) {
        const PlacementVerdict verdict
            = read.status == statusUnavailable ? PlacementVerdict::Rejected : PlacementVerdict::Unreachable;
        this->context.replicaConnections.cancel(std::exchange(this->call, 0));
        this->retryUnexecuted(verdict, "the replica did not run the request");
        return;
    }
    if (isGood && !read.isSigned) {
        this->recover(PlacementVerdict::Broken, "an answer without the replica's signature");
        return;
    }
    if (!isGood && this->eventsForwarded > 0) {
        this->recover(PlacementVerdict::Broken, "the replica refused to resume the stream");
        return;
    }
    if (!isGood && this->mayRepeat() && this->attempts < this->route.maxAttempts && read.status >= statusServerError) {
        this->recover(PlacementVerdict::Finished, "the replica failed");
    }
}

void OnlineCall::handleBody(std::string_view data)
{
    if (this->stage != Stage::Receiving) {
        return;
    }
    const bool isGood = isSuccess(this->answer.status);
    if (this->isStream() && isGood) {
        this->handleEvents(data);
        return;
    }
    this->body.append(data);
    this->held.record(this->body.capacity());
}

void OnlineCall::cutAnswer()
{
    // The call may hold its last reference to itself.
    const std::shared_ptr<OnlineCall> self = this->shared_from_this();
    log(LogLevel::Warning,
        "answer cut, all answers take too much memory",
        {{"request", this->traits.id},
         {"replica", this->replica ? this->replica->instance.value() : std::string()},
         {"bytes", static_cast<std::int64_t>(this->body.size() + this->splitter.memory())}});
    this->context.metrics.countEvent("answer cut for memory");
    this->recover(PlacementVerdict::Broken, "all answers take too much memory");
}

void OnlineCall::handleEvents(std::string_view data)
{
    const std::vector<StreamEvent> events = this->splitter.feed(data);
    std::string passed;
    for (const StreamEvent &event : events) {
        const std::uint64_t expected = this->lastEvent.value_or(0) + 1;
        // Without its number, an event would come again from the replica that resumes the stream.
        const bool isUnnumbered = !event.id && this->lastEvent && !event.data.empty();
        if (isUnnumbered || (event.id && *event.id != expected)) {
            this->exchange->write(passed);
            // A caller that has not read for too long is disconnected by this.
            if (this->stage != Stage::Over) {
                this->recover(PlacementVerdict::Broken, "an event is out of order");
            }
            return;
        }
        if (event.id) {
            this->lastEvent = event.id;
        }
        if (this->eventsForwarded++ == 0) {
            this->recordOrigin();
            this->exchange->begin(this->answer.status, this->answer.headers.forwarded());
            this->context.metrics.countFirstByte(this->route.name, this->now() - this->arrived);
            this->context.firstEventEstimates[this->service].record(this->now() - this->sent);
        }
        passed.append(event.text);
    }
    this->measurement.recordEvents(static_cast<std::uint32_t>(events.size()), this->now());
    this->exchange->write(passed);
    if (this->eventsForwarded - this->eventsBeforeAttempt >= minEventsOfServedPrompt) {
        this->recordPromptServed();
    }
    if (this->stage == Stage::Over) {
        return;
    }
    if (this->splitter.isBroken()) {
        this->recover(PlacementVerdict::Broken, "an event is too large");
        return;
    }
    if (!events.empty()) {
        this->armStallTimer();
    }
    this->held.record(this->splitter.memory());
}

void OnlineCall::recordOrigin()
{
    const bool isStreamStart = this->startedVersion.value().empty();
    this->startedVersion = this->replica->version;
    this->soleVersionFor = std::chrono::milliseconds(0);
    if (!isStreamStart || !this->route.isResumable) {
        return;
    }
    // The caller names the attempt that brought the first event, no matter how often it resumes the stream.
    const std::string &first = this->traits.resumedId.empty() ? this->traits.id : this->traits.resumedId;
    const auto lifetime = this->traits.timeout.value_or(defaultTimeout) + originMargin;
    this->context.streamOrigins.record(first, {this->service, this->startedVersion}, lifetime);
}

void OnlineCall::handleEnd(CallEnd end)
{
    this->call = 0;
    if (this->stage == Stage::Over || !this->replica) {
        return;
    }
    if (end == CallEnd::NotSent) {
        this->retryUnexecuted(PlacementVerdict::Unreachable, "no connection to the replica");
        return;
    }
    if (end == CallEnd::Incomplete) {
        this->handleBrokenAnswer("the connection to the replica broke");
        return;
    }
    if (this->framing == BodyFraming::UntilClose) {
        this->checkEnd();
        return;
    }
    this->complete();
}

void OnlineCall::checkEnd()
{
    if (this->splitter.hasRemainder()) {
        this->handleBrokenAnswer("the stream ended inside an event");
        return;
    }
    this->stage = Stage::CheckingEnd;
    this->context.loop.cancel(std::exchange(this->stallTimer, 0));
    this->context.answerEnds.start(
        this->replica->instance, this->replica->address, [self = this->shared_from_this()](bool isProven) {
            self->handleEndCheck(isProven);
        });
}

void OnlineCall::handleEndCheck(bool isProven)
{
    if (this->stage != Stage::CheckingEnd) {
        return;
    }
    if (!isProven) {
        this->handleBrokenAnswer("the answer has no length and its end is not proven");
        return;
    }
    this->complete();
}

void OnlineCall::handleBrokenAnswer(std::string_view reason)
{
    this->recordDisconnect();
    this->recover(PlacementVerdict::Broken, reason);
}

void OnlineCall::complete()
{
    const bool isGood = isSuccess(this->answer.status);
    if (this->isStream() && isGood) {
        this->completeStream();
    } else {
        this->completeWholeAnswer();
    }
}

void OnlineCall::completeWholeAnswer()
{
    this->recordPromptServed();
    this->context.recordRequestServed(this->fingerprint);
    if (isSuccess(this->answer.status)) {
        this->measurement.recordWholeAnswer(this->now());
    }
    if (this->exchange->isStarted()) {
        this->exchange->abort();
        this->finish(0, "the stream could not be resumed");
        return;
    }
    this->context.metrics.countFirstByte(this->route.name, this->now() - this->arrived);
    this->exchange->send(this->answer.status, this->answer.headers.forwarded(), this->body);
    this->finish(this->answer.status, "answered");
}

bool OnlineCall::isEmptyUnframed() const
{
    // A replica that crashes when it starts to write closes its connection just as after a complete stream.
    return this->framing == BodyFraming::UntilClose && this->eventsForwarded == 0 && !this->lastEvent;
}

void OnlineCall::completeStream()
{
    if (this->splitter.hasRemainder() || this->isEmptyUnframed()) {
        this->handleBrokenAnswer("the stream ended inside an event");
        return;
    }
    this->recordPromptServed();
    this->context.recordRequestServed(this->fingerprint);
    this->exchange->begin(this->answer.status, this->answer.headers.forwarded());
    this->exchange->end();
    this->finish(this->answer.status, "answered");
}

void OnlineCall::recover(PlacementVerdict verdict, std::string_view reason)
{
    this->releaseReplica(verdict);
    const bool hasTime = this->deadline - this->now() > answerMargin * 2;
    if (!this->mayRepeat() || this->attempts >= this->route.maxAttempts || !hasTime) {
        this->fail(reason);
        return;
    }
    log(LogLevel::Info,
        "request goes on at another replica",
        {{"request", this->traits.id},
         {"from", this->avoided.back().value()},
         {"version", this->version.value()},
         {"reason", std::string(reason)},
         {"last_event", static_cast<std::int64_t>(this->lastEvent.value_or(0))}});
    this->context.metrics.countEvent("request repeated");
    this->requestPlacement();
}

void OnlineCall::retryUnexecuted(PlacementVerdict verdict, std::string_view reason)
{
    const bool wasSent = this->replica.has_value();
    this->context.metrics.countEvent("request was not run at its place");
    this->releaseReplica(verdict);
    this->attempts -= wasSent ? 1 : 0;
    log(LogLevel::Info,
        "request was not run, trying another replica",
        {{"request", this->traits.id},
         {"replica", this->avoided.empty() ? std::string() : this->avoided.back().value()},
         {"reason", std::string(reason)}});
    if (++this->unexecutedAttempts >= maxUnexecutedAttempts) {
        if (this->attempts == 0) {
            this->refuse(statusUnavailable, refusalRetryAfter, "all replicas turned it away");
        } else {
            this->fail("all replicas turned it away");
        }
        return;
    }
    this->requestPlacement();
}

void OnlineCall::releaseReplica(PlacementVerdict verdict)
{
    this->context.loop.cancel(std::exchange(this->stallTimer, 0));
    if (this->call != 0) {
        this->context.replicaConnections.cancel(std::exchange(this->call, 0));
    }
    // The time of a run that waited for its caller says nothing about the replica.
    const RunTiming timing = this->replica && !this->wasPaused ? this->measurement.timing() : RunTiming();
    this->slot.release(verdict, timing);
    if (this->replica) {
        this->avoided.push_back(this->replica->instance);
        this->replica.reset();
    }
    std::string().swap(this->body);
    this->splitter = EventSplitter(maxStreamEventBytes);
    this->held.release();
}

void OnlineCall::armStallTimer()
{
    const bool isRepeatable = this->isStream() && this->mayRepeat() && this->attempts < this->route.maxAttempts;
    if (!isRepeatable || this->exchange->isPaused()) {
        return;
    }
    // Before the first event the replica processes the prompt, and the request may wait in the replica's queue.
    const auto pause = std::max(this->eventsForwarded > 0 ? this->route.longestPause : this->route.objective, minStallTimeout);
    this->context.loop.cancel(this->stallTimer);
    this->stallTimer = this->context.loop.schedule(pause * stallPauses, [self = this->shared_from_this()] {
        self->onStall();
    });
}

void OnlineCall::onStall()
{
    this->stallTimer = 0;
    if (this->stage == Stage::Sending || this->stage == Stage::Receiving) {
        this->recover(PlacementVerdict::Broken, "the replica is unresponsive");
    }
}

void OnlineCall::onDeadline()
{
    this->deadlineTimer = 0;
    if (this->stage == Stage::Over) {
        return;
    }
    const bool mayHaveRun = this->attempts > 0;
    if (this->exchange->isStarted()) {
        this->exchange->abort();
        this->finish(0, "time is up");
    } else if (mayHaveRun) {
        this->exchange->send(statusGatewayTimeout, {}, {});
        this->finish(statusGatewayTimeout, "time is up");
    } else {
        this->refuse(statusUnavailable, refusalRetryAfter, "no place in time");
    }
}

void OnlineCall::onCallerDisconnected()
{
    if (this->stage == Stage::Over) {
        return;
    }
    this->finish(0, "the caller disconnected");
}

void OnlineCall::refuse(int status, std::chrono::milliseconds retryAfter, std::string_view reason)
{
    this->exchange->send(status, retryHeaders(retryAfter), {});
    this->finish(status, reason);
}

void OnlineCall::fail(std::string_view reason)
{
    if (this->exchange->isStarted()) {
        this->exchange->abort();
        this->finish(0, reason);
        return;
    }
    this->exchange->send(statusBadGateway, {}, {});
    this->finish(statusBadGateway, reason);
}

void OnlineCall::finish(int status, std::string_view reason)
{
    if (std::exchange(this->stage, Stage::Over) == Stage::Over) {
        return;
    }
    this->releaseReplica(PlacementVerdict::Finished);
    this->context.loop.cancel(this->deadlineTimer);
    this->context.loop.cancel(this->listTimer);
    this->stopWaiting();
    this->context.plannedStop.remove(std::exchange(this->stopTicket, 0));
    this->context.quotas.cancel(std::exchange(this->quotaTicket, 0));
    this->context.streamOrigins.cancel(std::exchange(this->originTicket, 0));
    const SteadyTime ended = this->now();
    this->context.metrics.countRequest(this->route.name, status, ended - this->arrived);
    log(LogLevel::Info,
        "request over",
        {{"request", this->traits.id},
         {"route", this->route.name},
         {"service", this->service.value()},
         {"fingerprint", std::to_string(this->fingerprint)},
         {"workspace", this->senderWorkspace().value_or(WorkspaceName()).value()},
         {"configuration", static_cast<std::int64_t>(this->configuration->version)},
         {"status", status},
         {"reason", std::string(reason)},
         {"attempts", static_cast<std::int64_t>(this->attempts)},
         {"turned_away", static_cast<std::int64_t>(this->unexecutedAttempts)},
         {"events", static_cast<std::int64_t>(this->eventsForwarded)},
         {"replica", this->avoided.empty() ? std::string() : this->avoided.back().value()},
         {"version", this->version.value()},
         {"framing", std::string(nameOf(this->framing))},
         {"last_event", static_cast<std::int64_t>(this->lastEvent.value_or(0))},
         {"max_tokens", static_cast<std::int64_t>(this->traits.maxOutputTokens)},
         {"resumes", this->traits.resumedId},
         {"placed_by", this->isPlacedLocally ? "own counts" : "dispatcher"},
         {"list_age_ms", static_cast<std::int64_t>(this->listAge.count())},
         {"sent_after_ms", this->sent > this->arrived ? millisecondsBetween(this->arrived, this->sent) : -1},
         {"took_ms", millisecondsBetween(this->arrived, ended)}});
}

} // namespace Dogwoodkeel
