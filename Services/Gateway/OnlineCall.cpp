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

/** A caller that does not say how long it waits gets this long. */
constexpr std::chrono::seconds defaultTimeout{60};
/** Replicas that may turn a request away unrun before it is refused: enough to pass by all that are just full. */
constexpr std::uint32_t mostUnrunAttempts = 6;
/** A stream that may be resumed goes on elsewhere after so many of its longest pauses without an event. */
constexpr int silentPauses = 2;
constexpr std::chrono::milliseconds shortestSilence{400};
/** How long an idle connection may have been idle for a request that runs at most once: if the replica closes it just
 * then, nobody can tell whether the request ran. */
constexpr std::chrono::milliseconds longestIdleOnce{500};
constexpr std::chrono::milliseconds longestIdleIdempotent{10000};
/** Answer this long before the caller stops waiting, so that the answer still reaches it. */
constexpr std::chrono::milliseconds answerMargin{20};
/** After a refusal for want of a replica or a configuration, about how long it takes until there may be one. */
constexpr std::chrono::milliseconds refusalPause{300};
/** A node that has just started learns the replicas from the store or another node in about 0.2 s; after this, something
 * else is wrong, and another node may serve the caller sooner. */
constexpr std::chrono::milliseconds listTimeout{1000};
constexpr std::chrono::milliseconds listLook{20};
/** A list that was not told for so long may lack a version that other nodes know. */
constexpr std::chrono::milliseconds freshListAge{2000};
/** A stream's origin is remembered for so long after its caller's time is over: the caller's clock is not this node's. */
constexpr std::chrono::milliseconds originMargin{1000};

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
    , splitter(largestStreamEvent)
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

std::chrono::milliseconds OnlineCall::longestIdle() const
{
    return this->mayRepeat() ? longestIdleIdempotent : longestIdleOnce;
}

std::optional<WorkspaceName> OnlineCall::sender() const
{
    if (!this->configuration->workspaces) {
        return std::nullopt;
    }
    return this->workspace != nullptr ? this->workspace->name : WorkspaceName();
}

void OnlineCall::start()
{
    const std::shared_ptr<OnlineCall> self = this->shared_from_this();
    this->exchange->whenGone([self] {
        self->onGone();
    });
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(this->deadline - this->now()) - answerMargin;
    this->deadlineTimer = this->context.loop.schedule(std::max(remaining, std::chrono::milliseconds(0)), [self] {
        self->onDeadline();
    });
    std::uniform_real_distribution<double> point(0, 1);
    const RouteTarget *const target = chooseTarget(this->route, point(this->context.random));
    if (target == nullptr) {
        this->refuse(statusUnavailable, refusalPause, "the route has no service");
        return;
    }
    this->service = target->service;
    if (this->endIfCrashing()) {
        return;
    }
    if (this->isStream() && this->lastEvent.value_or(0) > 0) {
        this->askForOrigin();
    } else {
        this->askForQuota();
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
        this->leaveReplica(PlacementVerdict::Finished);
        this->fail(*reason);
    } else {
        this->refuse(statusUnavailable, refusalPause, *reason);
    }
    return true;
}

void OnlineCall::beginToWait(Stage stage)
{
    this->stage = stage;
    if (this->waiting == 0) {
        this->waiting = this->context.waiting.add([call = this->weak_from_this()] {
            if (const std::shared_ptr<OnlineCall> self = call.lock()) {
                self->recheck();
            }
        });
    }
}

void OnlineCall::recheck()
{
    if (!this->endIfCrashing() && this->stage == Stage::Judging) {
        this->askForPlace();
    }
}

void OnlineCall::stopWaiting()
{
    this->context.waiting.remove(std::exchange(this->waiting, 0));
}

void OnlineCall::noteBreak()
{
    this->context.recordDisconnect({this->fingerprint,
                                    this->replica->instance,
                                    this->replica->address,
                                    this->service,
                                    this->traits.sharedPromptParts,
                                    this->eventsPassed - this->eventsBefore});
}

void OnlineCall::notePromptServed()
{
    if (!std::exchange(this->isPromptServed, true)) {
        this->context.recordPromptServed(promptParts(this->service, this->traits.sharedPromptParts));
    }
}

void OnlineCall::askForOrigin()
{
    this->stage = Stage::Locating;
    // The answer may come from inside the call.
    const StreamOriginExchange::Ticket asked = this->context.origins.find(
        this->traits.resumedId, [self = this->shared_from_this()](const std::optional<StreamOrigin> &origin) {
            self->takeOrigin(origin);
        });
    if (this->stage == Stage::Locating) {
        this->originTicket = asked;
    }
}

void OnlineCall::takeOrigin(const std::optional<StreamOrigin> &origin)
{
    this->originTicket = 0;
    if (this->stage != Stage::Locating) {
        return;
    }
    this->context.metrics.countEvent(origin ? "stream taken up" : "stream of unknown origin taken up");
    log(LogLevel::Info,
        "request takes up a stream",
        {{"request", this->traits.id},
         {"resumes", this->traits.resumedId},
         {"last_event", static_cast<std::int64_t>(this->lastEvent.value_or(0))},
         {"is_origin_known", origin.has_value()},
         {"version", origin ? origin->version.value() : std::string()}});
    if (origin) {
        this->begunVersion = origin->version;
        const bool isStillTarget = std::ranges::any_of(this->route.targets, [&origin](const RouteTarget &target) {
            return target.service == origin->service && target.weight > 0;
        });
        this->service = isStillTarget ? origin->service : this->service;
    } else {
        // It may have begun before its caller's time was as short as it is now.
        this->soleVersionFor = this->route.timeout.count() > 0 ? this->route.timeout : defaultTimeout;
    }
    this->stage = Stage::Counting;
    this->askForQuota();
}

void OnlineCall::askForQuota()
{
    if (this->workspace == nullptr || !this->workspace->quota.isLimited()) {
        this->askForPlace();
        return;
    }
    // The answer may come from inside the call.
    const QuotaAsker::Ticket asked = this->context.quotas.ask(
        *this->workspace, this->configuration->version, [self = this->shared_from_this()](const QuotaDecision &decision) {
            self->takeQuota(decision);
        });
    if (this->stage == Stage::Counting) {
        this->quotaTicket = asked;
    }
}

void OnlineCall::takeQuota(const QuotaDecision &decision)
{
    this->quotaTicket = 0;
    if (this->stage != Stage::Counting) {
        return;
    }
    switch (decision.kind) {
    case QuotaDecision::Kind::Granted:
        this->askForPlace();
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
        this->refuse(statusUnavailable, refusalPause, "this node does not know the replicas yet");
        return;
    }
    this->listTimer = this->context.loop.schedule(listLook, [self = this->shared_from_this()] {
        self->listTimer = 0;
        self->askForPlace();
    });
}

void OnlineCall::askForPlace()
{
    if (this->endIfCrashing()) {
        return;
    }
    if (this->context.crashHistory.isLastCrashInDoubt(this->fingerprint)) {
        this->beginToWait(Stage::Judging);
        return;
    }
    this->beginToWait(Stage::Placing);
    if (!this->context.replicaList.isKnown()) {
        // A dispatcher at another node would give places at replicas whose addresses this one does not have.
        this->awaitReplicas();
        return;
    }
    this->asked = this->now();
    PlacementQuery query;
    query.service = this->service;
    query.priority = priorityOf(this->route, this->workspace);
    query.arrived = this->arrived;
    query.due = this->isStream() ? this->context.firstEvents[this->service].placeBy(this->arrived, this->route.objective)
                                 : this->arrived + this->route.objective;
    query.deadline = this->deadline;
    query.content = this->fingerprint;
    query.mayRefuse = this->attempts == 0 && !this->exchange->isBegun();
    query.avoided = this->avoided;
    query.connected = connectedReplicas(this->context, this->service, this->longestIdle());
    query.version = this->begunVersion;
    query.soleVersionFor = this->soleVersionFor;
    query.knowsAllReplicas = this->context.replicaList.isWhole() && this->context.replicaList.age() <= freshListAge;
    this->ticket = this->context.placements.requestSlot(query, [self = this->shared_from_this()](const Placement &placement) {
        self->takePlacement(placement);
    });
}

void OnlineCall::takePlacement(const Placement &placement)
{
    if (this->stage != Stage::Placing) {
        return;
    }
    if (placement.decision == PlacementDecision::Refused) {
        this->takeRefusal(placement.retryAfter);
        return;
    }
    if (this->endIfCrashing()) {
        return;
    }
    this->context.metrics.countPlacement(this->service.value(), this->now() - this->asked);
    this->isOwnChoice = placement.isOwnChoice;
    this->listAge = this->context.replicaList.age();
    const std::optional<ServingReplica> found = this->context.replicaList.resolve(placedReplica(placement, this->service));
    if (!found) {
        this->avoided.push_back(placement.replica);
        this->retryUnrun(PlacementVerdict::Finished, "the replica is not listed any more, or is leaving");
        return;
    }
    this->send(*found);
}

void OnlineCall::takeRefusal(std::chrono::milliseconds retryAfter)
{
    const bool needsVersion = !this->begunVersion.value().empty() || this->soleVersionFor.count() > 0;
    const std::string_view reason = needsVersion ? "no replica of the version that began the stream" : "there is no room in time";
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
    this->version = replica.version;
    this->stage = Stage::Sending;
    this->sent = this->now();
    ++this->attempts;
    this->body.clear();
    this->eventsBefore = this->eventsPassed;
    this->splitter = EventSplitter(largestStreamEvent);
    const auto remaining = std::chrono::floor<std::chrono::milliseconds>(this->deadline - this->now());
    OutboundCall outbound;
    outbound.address = replica.address;
    outbound.head = encodeReplicaRequest(this->exchange->head(), this->sender(), replica, remaining, this->lastEvent);
    outbound.body = this->exchange->body();
    outbound.longestIdle = this->longestIdle();
    outbound.isAnswer = isAnswerTo(this->traits.id);
    this->call = this->context.replicaConnections.start(std::move(outbound), hooksFor(this->shared_from_this()));
    this->armSilence();
}

void OnlineCall::handleHead(const MessageHead &head)
{
    this->stage = Stage::Receiving;
    // Of a stream that goes on elsewhere, the caller has the head already.
    if (this->eventsPassed == 0) {
        this->answer = head;
    }
    const ReplicaAnswer read = decodeReplicaAnswer(head);
    const bool isGood = isSuccess(read.status);
    // Only what the dispatcher would not expect: a datagram for each request would tell it what it knows.
    if (isGood && read.stated && (read.stated->load.waiting > 0 || read.stated->load.running >= read.stated->slots)) {
        this->context.placements.reportStarted(this->ticket, read.stated->load);
    }
    if (read.isNotExecuted) {
        const PlacementVerdict verdict
            = read.status == statusUnavailable ? PlacementVerdict::Rejected : PlacementVerdict::Unreachable;
        this->context.replicaConnections.cancel(std::exchange(this->call, 0));
        this->retryUnrun(verdict, "the replica did not run it");
        return;
    }
    if (isGood && !read.isSigned) {
        this->recover(PlacementVerdict::Broken, "an answer without the replica's signature");
        return;
    }
    if (!isGood && this->eventsPassed > 0) {
        this->recover(PlacementVerdict::Broken, "the replica refused to go on with the stream");
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
        this->takeEvents(data);
        return;
    }
    this->body.append(data);
}

void OnlineCall::takeEvents(std::string_view data)
{
    const std::vector<StreamEvent> events = this->splitter.feed(data);
    std::string passed;
    for (const StreamEvent &event : events) {
        const std::uint64_t expected = this->lastEvent.value_or(0) + 1;
        if (event.id && *event.id != expected) {
            this->exchange->write(passed);
            this->recover(PlacementVerdict::Broken, "an event is out of order");
            return;
        }
        if (event.id) {
            this->lastEvent = event.id;
        }
        if (this->eventsPassed++ == 0) {
            this->noteOrigin();
            this->exchange->begin(this->answer.status, this->answer.headers.forwarded());
            this->context.metrics.countFirstByte(this->route.name, this->now() - this->arrived);
            this->context.firstEvents[this->service].note(this->now() - this->sent);
        }
        passed.append(event.text);
    }
    this->exchange->write(passed);
    if (this->eventsPassed - this->eventsBefore >= eventsOfServedPrompt) {
        this->notePromptServed();
    }
    if (this->stage == Stage::Over) {
        return;
    }
    if (this->splitter.isBroken()) {
        this->recover(PlacementVerdict::Broken, "an event is too large");
        return;
    }
    if (!events.empty()) {
        this->armSilence();
    }
}

void OnlineCall::noteOrigin()
{
    const bool isNews = this->begunVersion.value().empty();
    this->begunVersion = this->replica->version;
    this->soleVersionFor = std::chrono::milliseconds(0);
    if (!isNews || !this->route.isResumable) {
        return;
    }
    // The caller names the attempt that brought the first event, however often it takes the stream up.
    const std::string &first = this->traits.resumedId.empty() ? this->traits.id : this->traits.resumedId;
    const auto lifetime = this->traits.timeout.value_or(defaultTimeout) + originMargin;
    this->context.origins.note(first, {this->service, this->begunVersion}, lifetime);
}

void OnlineCall::handleEnd(CallEnd end)
{
    this->call = 0;
    if (this->stage == Stage::Over || !this->replica) {
        return;
    }
    if (end == CallEnd::NotSent) {
        this->retryUnrun(PlacementVerdict::Unreachable, "no connection to the replica");
        return;
    }
    if (end == CallEnd::Broken) {
        this->noteBreak();
        this->recover(PlacementVerdict::Broken, "the connection to the replica broke");
        return;
    }
    const bool isGood = isSuccess(this->answer.status);
    if (this->isStream() && isGood) {
        this->completeStream();
    } else {
        this->completeWhole();
    }
}

void OnlineCall::completeWhole()
{
    this->notePromptServed();
    this->context.recordRequestServed(this->fingerprint);
    this->leaveReplica(PlacementVerdict::Finished);
    if (this->exchange->isBegun()) {
        this->exchange->breakOff();
        this->finish(0, "the stream could not go on");
        return;
    }
    this->context.metrics.countFirstByte(this->route.name, this->now() - this->arrived);
    this->exchange->send(this->answer.status, this->answer.headers.forwarded(), this->body);
    this->finish(this->answer.status, "answered");
}

bool OnlineCall::isEmptyUnframed() const
{
    // A replica that crashes as it begins to write ends its connection as after a whole stream.
    return this->answer.framing == BodyFraming::UntilClose && this->eventsPassed == 0 && !this->lastEvent;
}

void OnlineCall::completeStream()
{
    if (this->splitter.hasRest() || this->isEmptyUnframed()) {
        this->noteBreak();
        this->recover(PlacementVerdict::Broken, "the stream ended inside an event");
        return;
    }
    this->notePromptServed();
    this->context.recordRequestServed(this->fingerprint);
    this->leaveReplica(PlacementVerdict::Finished);
    this->exchange->begin(this->answer.status, this->answer.headers.forwarded());
    this->exchange->end();
    this->finish(this->answer.status, "answered");
}

void OnlineCall::recover(PlacementVerdict verdict, std::string_view reason)
{
    this->leaveReplica(verdict);
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
    this->askForPlace();
}

void OnlineCall::retryUnrun(PlacementVerdict verdict, std::string_view reason)
{
    const bool wasSent = this->replica.has_value();
    this->context.metrics.countEvent("request was not run at its place");
    this->leaveReplica(verdict);
    this->attempts -= wasSent ? 1 : 0;
    log(LogLevel::Info,
        "request was not run, trying another replica",
        {{"request", this->traits.id},
         {"replica", this->avoided.empty() ? std::string() : this->avoided.back().value()},
         {"reason", std::string(reason)}});
    if (++this->unrunAttempts >= mostUnrunAttempts) {
        if (this->attempts == 0) {
            this->refuse(statusUnavailable, refusalPause, "all replicas turned it away");
        } else {
            this->fail("all replicas turned it away");
        }
        return;
    }
    this->askForPlace();
}

void OnlineCall::leaveReplica(PlacementVerdict verdict)
{
    this->context.loop.cancel(std::exchange(this->silenceTimer, 0));
    if (this->call != 0) {
        this->context.replicaConnections.cancel(std::exchange(this->call, 0));
    }
    if (this->ticket != 0) {
        this->context.placements.end(std::exchange(this->ticket, 0), verdict);
    }
    if (this->replica) {
        this->avoided.push_back(this->replica->instance);
        this->replica.reset();
    }
}

void OnlineCall::armSilence()
{
    if (!this->isStream() || !this->mayRepeat() || this->attempts >= this->route.maxAttempts) {
        return;
    }
    // Before its first event a stream waits for its prompt to be read, and perhaps in the replica's queue.
    const auto pause = std::max(this->eventsPassed > 0 ? this->route.longestPause : this->route.objective, shortestSilence);
    this->context.loop.cancel(this->silenceTimer);
    this->silenceTimer = this->context.loop.schedule(pause * silentPauses, [self = this->shared_from_this()] {
        self->onSilence();
    });
}

void OnlineCall::onSilence()
{
    this->silenceTimer = 0;
    if (this->stage == Stage::Sending || this->stage == Stage::Receiving) {
        this->recover(PlacementVerdict::Broken, "the replica fell silent");
    }
}

void OnlineCall::onDeadline()
{
    this->deadlineTimer = 0;
    if (this->stage == Stage::Over) {
        return;
    }
    const bool mayHaveRun = this->attempts > 0;
    this->leaveReplica(PlacementVerdict::Finished);
    if (this->exchange->isBegun()) {
        this->exchange->breakOff();
        this->finish(0, "time is up");
    } else if (mayHaveRun) {
        this->exchange->send(statusGatewayTimeout, {}, {});
        this->finish(statusGatewayTimeout, "time is up");
    } else {
        this->refuse(statusUnavailable, refusalPause, "no place in time");
    }
}

void OnlineCall::onGone()
{
    if (this->stage == Stage::Over) {
        return;
    }
    this->leaveReplica(PlacementVerdict::Finished);
    this->finish(0, "the caller left");
}

void OnlineCall::refuse(int status, std::chrono::milliseconds retryAfter, std::string_view reason)
{
    this->leaveReplica(PlacementVerdict::Finished);
    this->exchange->send(status, retryHeaders(retryAfter), {});
    this->finish(status, reason);
}

void OnlineCall::fail(std::string_view reason)
{
    if (this->exchange->isBegun()) {
        this->exchange->breakOff();
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
    this->context.loop.cancel(this->deadlineTimer);
    this->context.loop.cancel(this->silenceTimer);
    this->context.loop.cancel(this->listTimer);
    this->stopWaiting();
    this->context.quotas.cancel(std::exchange(this->quotaTicket, 0));
    this->context.origins.cancel(std::exchange(this->originTicket, 0));
    const SteadyTime ended = this->now();
    this->context.metrics.countRequest(this->route.name, status, ended - this->arrived);
    log(LogLevel::Info,
        "request over",
        {{"request", this->traits.id},
         {"route", this->route.name},
         {"service", this->service.value()},
         {"fingerprint", std::to_string(this->fingerprint)},
         {"workspace", this->sender().value_or(WorkspaceName()).value()},
         {"configuration", static_cast<std::int64_t>(this->configuration->version)},
         {"status", status},
         {"reason", std::string(reason)},
         {"attempts", static_cast<std::int64_t>(this->attempts)},
         {"turned_away", static_cast<std::int64_t>(this->unrunAttempts)},
         {"events", static_cast<std::int64_t>(this->eventsPassed)},
         {"replica", this->avoided.empty() ? std::string() : this->avoided.back().value()},
         {"version", this->version.value()},
         {"resumes", this->traits.resumedId},
         {"placed_by", this->isOwnChoice ? "own counts" : "dispatcher"},
         {"list_age_ms", static_cast<std::int64_t>(this->listAge.count())},
         {"sent_after_ms", this->sent > this->arrived ? millisecondsBetween(this->arrived, this->sent) : -1},
         {"took_ms", millisecondsBetween(this->arrived, ended)}});
}

} // namespace Dogwoodkeel
