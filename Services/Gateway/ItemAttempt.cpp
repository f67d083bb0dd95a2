#include <Services/Gateway/ItemAttempt.h>

#include <LibBase/Hash.h>
#include <LibBase/Log.h>
#include <LibProxy/HttpStatus.h>
#include <platform/RequestFormat.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** A replica counts as unresponsive after this many times the longest pause: the item can continue at any other, but a slow
 * replica gets the time of a few events. */
constexpr int responseTimeoutPauses = 6;
constexpr std::chrono::milliseconds minResponseTimeout{2000};
constexpr std::chrono::milliseconds retryPause{100};
/** A replica that rejected an item is avoided only for the next attempts, as it may be the only one. */
constexpr std::size_t maxAvoided = 2;
/** Interval between checks of an item that is held because the replicas that run it crash. */
constexpr std::chrono::milliseconds crashCheckInterval{2000};
constexpr std::chrono::milliseconds maxIdleTime{10000};
/** An item whose route is removed is given up after this time: versions in quick succession may lack the route only briefly. */
constexpr std::chrono::seconds removedRouteGrace{5};

std::string namesOf(const std::vector<EndpointName> &replicas)
{
    std::string names;
    for (const EndpointName &replica : replicas) {
        names.append(names.empty() ? "" : ",").append(replica.value());
    }
    return names;
}

} // namespace

ItemAttempt::ItemAttempt(GatewayContext &context, const JobItem &item, Origin origin, SteadyTime due, Hooks hooks)
    : context(context)
    , item(item)
    , origin(std::move(origin))
    , due(due)
    , hooks(std::move(hooks))
    , fingerprint(stableHash(item.body, stableHash(item.target)))
    , lastLeft(context.clock.now())
    , splitter(maxStreamEventBytes)
    , held(context.answerBudget, [this] {
        this->dropForMemory();
    })
{
    RequestTraits traits = decodeTraits(item.headers);
    this->cost = expectedCost(traits);
    this->maxOutputTokens = traits.maxOutputTokens;
    this->sharedParts = std::move(traits.sharedPromptParts);
}

void ItemAttempt::start(JobRows::Generated before)
{
    this->output = std::move(before.output);
    this->savedEvent = before.lastEvent;
    this->savedBytes = this->output.size();
    if (before.lastEvent > 0) {
        this->lastEvent = before.lastEvent;
        this->version = std::move(before.version);
    }
    this->requestPlacement();
}

void ItemAttempt::restart()
{
    this->dropOutput();
    this->requestPlacement();
}

void ItemAttempt::dropOutput()
{
    this->lastEvent.reset();
    std::string().swap(this->output);
    this->held.release();
    this->version = SoftwareVersion();
    this->savedEvent = 0;
    this->savedBytes = 0;
}

std::optional<ItemProgress> ItemAttempt::takeProgress(std::uint32_t number)
{
    const std::uint64_t last = this->lastEvent.value_or(0);
    if (last <= this->savedEvent) {
        return std::nullopt;
    }
    // The line feed between this part and the one before belongs to neither.
    const std::size_t from = this->savedBytes + (this->savedEvent > 0 ? 1 : 0);
    ItemProgress part{number,
                      this->savedEvent + 1,
                      last,
                      this->output.substr(from),
                      this->firstUnsaved.name,
                      this->firstUnsaved.after,
                      this->lastGenerated.name,
                      this->version};
    this->savedEvent = last;
    this->savedBytes = this->output.size();
    return part;
}

void ItemAttempt::cancel()
{
    this->isOver = true;
    this->context.loop.cancel(std::exchange(this->retryTimer, 0));
    this->leaveReplica(PlacementVerdict::Finished);
    this->hooks = {};
}

void ItemAttempt::requestPlacement()
{
    this->retryTimer = 0;
    if (std::exchange(this->mustConfirmFirst, false)) {
        this->confirmBeforeRequest();
        return;
    }
    const Routing routing = this->hooks.routing();
    if (!routing.target) {
        this->waitForRoute(routing);
        return;
    }
    this->unroutedSince.reset();
    this->target = *routing.target;
    if (const std::optional<std::string_view> reason = this->holdReason()) {
        this->hold(*reason);
        return;
    }
    if (!this->avoided.empty()) {
        log(LogLevel::Info,
            "batch item requests another replica",
            {{"item", this->item.id.value()},
             {"service", this->target.service.value()},
             {"avoided", namesOf(this->avoided)},
             {"version", this->version.value()}});
    }
    PlacementQuery query;
    query.service = this->target.service;
    query.work = WorkClass::Batch;
    query.priority = this->target.priority;
    query.arrived = this->context.clock.now();
    // The latest time at which the item must get a slot to be completed when its job is due.
    query.due = this->due - this->context.itemEstimates[this->target.service].remaining(this->lastEvent.value_or(0));
    query.deadline = query.arrived + std::chrono::hours(1);
    query.avoided = this->avoided;
    query.connected = connectedReplicas(this->context, query.service, maxIdleTime);
    query.version = this->version;
    query.workspace = this->origin.workspace;
    query.weight = this->target.weight;
    query.cost = this->cost;
    this->slot = this->context.placements.requestSlot(query, [attempt = this->weak_from_this()](const Placement &placement) {
        if (const std::shared_ptr<ItemAttempt> self = attempt.lock()) {
            self->handlePlacement(placement);
        }
    });
}

void ItemAttempt::waitForRoute(const Routing &routing)
{
    const SteadyTime now = this->context.clock.now();
    if (!routing.isRemoved) {
        this->unroutedSince.reset();
    } else if (!this->unroutedSince) {
        this->unroutedSince = now;
        log(LogLevel::Info, "batch item has no route", {{"job", this->origin.job.value()}, {"item", this->item.id.value()}});
        this->context.metrics.countEvent("batch item without a route");
    } else if (now - *this->unroutedSince >= removedRouteGrace) {
        this->leaveReplica(PlacementVerdict::Finished);
        this->end(End::Unrouted);
        return;
    }
    this->requestPlacementLater();
}

void ItemAttempt::handleConfigurationChange()
{
    const bool isWaitingForSlot = !this->isOver && this->slot.isOpen() && !this->replica;
    if (!isWaitingForSlot) {
        return;
    }
    const Routing routing = this->hooks.routing();
    if (routing.target && routing.target->service == this->target.service) {
        return;
    }
    log(LogLevel::Info,
        "batch item no longer waits for its service",
        {{"item", this->item.id.value()},
         {"service", this->target.service.value()},
         {"next_service", routing.target ? routing.target->service.value() : std::string()}});
    this->leaveReplica(PlacementVerdict::Finished);
    this->requestPlacementLater();
}

void ItemAttempt::hold(std::string_view reason)
{
    this->context.metrics.countEvent("batch item held");
    log(LogLevel::Info,
        "batch item held",
        {{"item", this->item.id.value()},
         {"fingerprint", std::to_string(this->fingerprint)},
         {"crashes", static_cast<std::int64_t>(this->context.crashHistory.crashCount(this->fingerprint))},
         {"reason", std::string(reason)}});
    this->retryTimer = this->context.loop.schedule(crashCheckInterval, [self = this->shared_from_this()] {
        self->requestPlacement();
    });
}

std::optional<std::string_view> ItemAttempt::holdReason() const
{
    if (this->context.crashHistory.isHeld(this->fingerprint)) {
        return "its replicas crashed";
    }
    if (!this->context.promptPartBlocklist.mayTest(promptParts(this->target.service, this->sharedParts))) {
        return "replicas crashed under a part of its prompt";
    }
    return std::nullopt;
}

void ItemAttempt::recordTest()
{
    const std::vector<PromptPart> parts = promptParts(this->target.service, this->sharedParts);
    if (!this->context.promptPartBlocklist.isBlocked(parts)) {
        return;
    }
    this->context.promptPartBlocklist.recordTest(parts);
    this->context.metrics.countEvent("blocked part of prompts tested");
    log(LogLevel::Info,
        "batch item tests a blocked part of its prompt",
        {{"item", this->item.id.value()}, {"replica", this->replica->instance.value()}});
}

void ItemAttempt::recordPromptServed()
{
    if (!std::exchange(this->isPromptServed, true)) {
        this->context.recordPromptServed(promptParts(this->target.service, this->sharedParts));
    }
}

std::uint64_t ItemAttempt::eventsOfRun() const
{
    return this->lastEvent.value_or(0) - this->run.after;
}

void ItemAttempt::recordLostConnection()
{
    this->context.recordDisconnect({this->fingerprint,
                                    this->replica->instance,
                                    this->replica->address,
                                    this->target.service,
                                    this->sharedParts,
                                    static_cast<std::uint32_t>(this->eventsOfRun())});
}

void ItemAttempt::confirmBeforeRequest()
{
    this->hooks.confirmOpen([self = this->shared_from_this()](const auto &age) {
        if (self->isOver) {
            return;
        }
        if (age) {
            self->requestPlacement();
            return;
        }
        self->mustConfirmFirst = true;
        self->requestPlacementLater();
    });
}

void ItemAttempt::requestPlacementLater()
{
    this->retryTimer = this->context.loop.schedule(retryPause, [self = this->shared_from_this()] {
        self->requestPlacement();
    });
}

void ItemAttempt::handlePlacement(const Placement &placement)
{
    if (this->isOver) {
        return;
    }
    if (placement.decision == PlacementDecision::Stopped) {
        this->context.metrics.countEvent("batch item stopped");
        log(LogLevel::Info,
            "batch item stopped to free its slot",
            {{"job", this->origin.job.value()},
             {"item", this->item.id.value()},
             {"replica", this->replica ? this->replica->instance.value() : std::string()},
             {"version", this->version.value()},
             {"last_event", static_cast<std::int64_t>(this->lastEvent.value_or(0))}});
        this->leaveReplica(PlacementVerdict::Finished);
        this->requestPlacement();
        return;
    }
    if (placement.decision == PlacementDecision::Refused) {
        this->leaveReplica(PlacementVerdict::Finished);
        this->restartOnOtherVersion();
        return;
    }
    this->hooks.confirmOpen([self = this->shared_from_this(), ticket = this->slot.ticket(), placement](const auto &age) {
        if (self->isOver || self->slot.ticket() != ticket) {
            return;
        }
        if (age) {
            self->handleConfirmation(placement, *age);
            return;
        }
        // Others may use the slot until the store answers.
        self->continueElsewhere(PlacementVerdict::Finished, "the store does not confirm that the job is open");
        self->mustConfirmFirst = true;
    });
}

void ItemAttempt::restartOnOtherVersion()
{
    log(LogLevel::Info,
        "batch item begins anew",
        {{"item", this->item.id.value()},
         {"reason", "no replica of the version that started the item"},
         {"version", this->version.value()},
         {"last_event", static_cast<std::int64_t>(this->lastEvent.value_or(0))}});
    this->context.metrics.countEvent("batch item began anew");
    this->dropOutput();
    this->requestPlacementLater();
}

void ItemAttempt::handleConfirmation(const Placement &placement, std::chrono::milliseconds age)
{
    const std::optional<ServingReplica> found = this->context.replicaList.resolve(placedReplica(placement, this->target.service));
    const std::optional<Target> current = this->hooks.routing().target;
    if (!found || !current || current->service != this->target.service) {
        this->continueElsewhere(PlacementVerdict::Finished,
                                "the replica is no longer listed, or is leaving, or the route has another service");
        return;
    }
    if (const std::optional<std::string_view> reason = this->holdReason()) {
        this->leaveReplica(PlacementVerdict::Finished);
        this->hold(*reason);
        return;
    }
    this->send(*found, age);
}

void ItemAttempt::send(const ServingReplica &replica, std::chrono::milliseconds confirmedAge)
{
    this->replica = replica;
    this->isPromptServed = false;
    this->recordTest();
    this->sentAt = this->context.clock.now();
    this->measurement.start(this->sentAt);
    this->run
        = {(static_cast<std::uint64_t>(this->context.random()) << 32) ^ this->context.random(), this->lastEvent.value_or(0)};
    this->answer.reset();
    this->splitter = EventSplitter(maxStreamEventBytes);
    OutboundCall outbound;
    outbound.address = replica.address;
    outbound.head = encodeItemRequest(this->item, this->origin.host, this->origin.workspace, replica, this->lastEvent);
    outbound.body = this->item.body;
    outbound.maxIdleTime = maxIdleTime;
    outbound.isAnswer = isAnswerTo(this->item.id.value());
    outbound.bodyBytes = this->context.answerBytes;
    // The output is bounded instead: the framing of short events takes several times their data.
    outbound.isStream = [](const MessageHead &head) {
        return isSuccess(head.status);
    };
    const SentEntry entry = describeEntry(this->context, replica);
    log(LogLevel::Info,
        "batch item sent",
        {{"job", this->origin.job.value()},
         {"item", this->item.id.value()},
         {"replica", replica.instance.value()},
         {"version", replica.version.value()},
         {"last_event", static_cast<std::int64_t>(this->run.after)},
         {"open_confirmed_ms", confirmedAge.count()},
         {"entry_source", entry.source},
         {"entry_version", entry.version},
         {"entry_age_ms", entry.age.count()},
         {"entry_removed_ms", entry.sinceRemoval.count()}});
    this->call = this->context.replicaConnections.start(std::move(outbound), hooksFor(this->shared_from_this()));
    this->armResponseTimer();
}

std::optional<SteadyTime> ItemAttempt::waitingSince() const
{
    return this->replica ? std::nullopt : std::optional(this->lastLeft);
}

std::string_view ItemAttempt::waitStage() const
{
    if (this->retryTimer != 0) {
        return "its next attempt";
    }
    if (!this->slot.isOpen()) {
        return "the store, before it requests a slot";
    }
    const std::optional<PlacementClient::RequestState> request = this->context.placements.requestState(this->slot.ticket());
    return request && request->isPlaced ? "the store, after it got a slot" : "a slot";
}

void ItemAttempt::logWait(std::size_t waitingItems) const
{
    const SteadyTime now = this->context.clock.now();
    const auto request = this->context.placements.requestState(this->slot.ticket()).value_or(PlacementClient::RequestState());
    const auto ageOf = [now](std::optional<SteadyTime> time) -> std::int64_t {
        return time ? std::chrono::duration_cast<std::chrono::milliseconds>(now - *time).count() : -1;
    };
    log(LogLevel::Info,
        "batch item waits",
        {{"job", this->origin.job.value()},
         {"item", this->item.id.value()},
         {"waits_for", std::string(this->waitStage())},
         {"waited_ms", ageOf(this->lastLeft)},
         {"service", this->target.service.value()},
         {"version", this->version.value()},
         {"avoided", namesOf(this->avoided)},
         {"ticket", static_cast<std::int64_t>(this->slot.ticket())},
         {"requested_ms", ageOf(request.firstSent)},
         {"answered_ms", ageOf(request.lastAnswer)},
         {"items_waiting", static_cast<std::int64_t>(waitingItems)}});
}

void ItemAttempt::handleHead(const MessageHead &head)
{
    const ReplicaAnswer read = decodeReplicaAnswer(head);
    this->answer = head;
    const bool isGood = isSuccess(read.status);
    const bool isError = read.isSigned && !read.isNotExecuted && read.status >= statusServerError;
    this->measurement.recordHead(read.stated ? read.stated->pace : 0, isError);
    if (read.isNotExecuted) {
        const bool isFull = read.status == statusUnavailable;
        this->continueElsewhere(isFull ? PlacementVerdict::Rejected : PlacementVerdict::Unreachable,
                                "the replica did not run the request");
    } else if (!read.isSigned) {
        this->continueElsewhere(PlacementVerdict::Broken, "an answer without the replica's signature");
    } else if (read.status == statusUnprocessable) {
        this->finish(End::Impossible);
    } else if (!isGood) {
        log(LogLevel::Info,
            "batch item failed at its replica",
            {{"job", this->origin.job.value()},
             {"item", this->item.id.value()},
             {"replica", this->replica->instance.value()},
             {"status", read.status}});
        this->finish(End::Failed);
    } else {
        // The dispatcher waits for this report: it places no second item at the replica before its load is known.
        const StatedLoad stated = read.stated.value_or(StatedLoad());
        this->context.placements.reportStarted(this->slot.ticket(), stated.load, stated.pace);
    }
}

void ItemAttempt::handleBody(std::string_view data)
{
    if (!this->replica || this->isOver) {
        return;
    }
    const std::vector<StreamEvent> events = this->splitter.feed(data);
    for (const StreamEvent &event : events) {
        const std::uint64_t expected = this->lastEvent.value_or(0) + 1;
        if (event.id != expected) {
            this->continueElsewhere(PlacementVerdict::Broken, "an event is out of order");
            return;
        }
        this->output.append(expected > 1 ? "\n" : "").append(event.data);
        this->version = this->replica->version;
        if (expected == this->savedEvent + 1) {
            this->firstUnsaved = this->run;
        }
        this->lastGenerated = this->run;
        this->lastEvent = event.id;
    }
    this->measurement.recordEvents(static_cast<std::uint32_t>(events.size()), this->context.clock.now());
    if (this->eventsOfRun() >= minEventsOfServedPrompt) {
        this->recordPromptServed();
    }
    if (this->output.size() > this->context.answerBytes) {
        this->cutOutput();
    } else if (this->splitter.isBroken()) {
        this->continueElsewhere(PlacementVerdict::Broken, "an event is too large");
    } else {
        if (!events.empty()) {
            this->armResponseTimer();
        }
        this->held.record(this->output.capacity() + this->splitter.memory());
    }
}

void ItemAttempt::dropForMemory()
{
    const std::shared_ptr<ItemAttempt> self = this->shared_from_this();
    log(LogLevel::Warning,
        "output of a batch item dropped, all answers take too much memory",
        {{"item", this->item.id.value()},
         {"replica", this->replica ? this->replica->instance.value() : std::string()},
         {"bytes", static_cast<std::int64_t>(this->output.size())}});
    this->context.metrics.countEvent("answer cut for memory");
    this->dropOutput();
    this->splitter = EventSplitter(maxStreamEventBytes);
    if (this->replica) {
        this->continueElsewhere(PlacementVerdict::Broken, "all answers take too much memory");
    }
}

void ItemAttempt::cutOutput()
{
    log(LogLevel::Warning,
        "output of a batch item cut",
        {{"item", this->item.id.value()},
         {"replica", this->replica->instance.value()},
         {"bytes", static_cast<std::int64_t>(this->output.size())}});
    this->context.metrics.countEvent("output of a batch item cut");
    this->leaveReplica(PlacementVerdict::Broken);
    // Another replica would continue behind this output, so the item fails and starts from the beginning if it is retried.
    this->finish(End::Failed);
}

void ItemAttempt::handleEnd(CallEnd end)
{
    this->call = 0;
    if (this->isOver || !this->replica) {
        return;
    }
    if (end == CallEnd::NotSent) {
        this->continueElsewhere(PlacementVerdict::Unreachable, "no connection to the replica");
    } else if (end == CallEnd::Incomplete) {
        this->handleBrokenStream("the connection to the replica broke");
    } else if (this->splitter.hasRemainder() || (!this->lastEvent && this->answer->framing == BodyFraming::UntilClose)) {
        // A replica that crashes closes its connection just as after a complete stream.
        this->handleBrokenStream("the stream ended inside an event");
    } else if (this->answer->framing == BodyFraming::UntilClose) {
        this->checkEnd();
    } else {
        this->complete();
    }
}

void ItemAttempt::checkEnd()
{
    this->context.loop.cancel(std::exchange(this->responseTimer, 0));
    const auto handle = [self = this->shared_from_this(), checkedRun = this->run.name](bool isProven) {
        if (self->isOver || !self->replica || self->run.name != checkedRun) {
            return;
        }
        if (isProven) {
            self->complete();
        } else {
            self->handleBrokenStream("the answer has no length and its end is not proven");
        }
    };
    this->context.answerEnds.start(this->replica->instance, this->replica->address, handle);
}

void ItemAttempt::handleBrokenStream(std::string_view reason)
{
    this->recordLostConnection();
    this->continueElsewhere(PlacementVerdict::Broken, reason);
}

void ItemAttempt::complete()
{
    this->logCompletion();
    this->finish(End::Completed);
}

void ItemAttempt::logCompletion() const
{
    log(LogLevel::Info,
        "batch item completed",
        {{"job", this->origin.job.value()},
         {"item", this->item.id.value()},
         {"replica", this->replica->instance.value()},
         {"version", this->version.value()},
         {"framing", std::string(nameOf(this->answer->framing))},
         {"resumed_after", static_cast<std::int64_t>(this->run.after)},
         {"last_event", static_cast<std::int64_t>(this->lastEvent.value_or(0))},
         {"max_tokens", static_cast<std::int64_t>(this->maxOutputTokens)}});
}

void ItemAttempt::leaveReplica(PlacementVerdict verdict)
{
    this->context.loop.cancel(std::exchange(this->responseTimer, 0));
    if (this->replica) {
        const std::uint64_t generated = this->lastEvent.value_or(0) - this->run.after;
        this->lastLeft = this->context.clock.now();
        this->context.itemEstimates[this->target.service].recordRun(generated, this->lastLeft - this->sentAt);
    }
    if (this->call != 0) {
        this->context.replicaConnections.cancel(std::exchange(this->call, 0));
    }
    this->slot.release(verdict, this->replica ? this->measurement.timing() : RunTiming());
    if (this->replica && verdict != PlacementVerdict::Finished) {
        this->avoided.push_back(this->replica->instance);
        if (this->avoided.size() > maxAvoided) {
            this->avoided.erase(this->avoided.begin());
        }
    } else {
        this->avoided.clear();
    }
    this->replica.reset();
}

void ItemAttempt::continueElsewhere(PlacementVerdict verdict, std::string_view reason)
{
    log(LogLevel::Info,
        "batch item goes on elsewhere",
        {{"item", this->item.id.value()},
         {"replica", this->replica ? this->replica->instance.value() : std::string()},
         {"reason", std::string(reason)},
         {"last_event", static_cast<std::int64_t>(this->lastEvent.value_or(0))}});
    this->context.metrics.countEvent("batch item went on elsewhere");
    this->leaveReplica(verdict);
    this->requestPlacementLater();
}

void ItemAttempt::armResponseTimer()
{
    const auto pause = std::max(this->target.longestPause * responseTimeoutPauses, minResponseTimeout);
    this->context.loop.cancel(this->responseTimer);
    this->responseTimer = this->context.loop.schedule(pause, [self = this->shared_from_this()] {
        self->responseTimer = 0;
        if (self->replica && !self->isOver) {
            self->continueElsewhere(PlacementVerdict::Broken, "the replica is unresponsive");
        }
    });
}

void ItemAttempt::finish(End end)
{
    this->leaveReplica(PlacementVerdict::Finished);
    // The rest of an item may be a single event.
    this->recordPromptServed();
    if (end == End::Completed) {
        this->context.recordRequestServed(this->fingerprint);
        this->context.itemEstimates[this->target.service].recordCompleted(this->lastEvent.value_or(0));
    }
    this->end(end);
}

void ItemAttempt::end(End end)
{
    this->held.release();
    // The handler may restart or cancel this attempt.
    const std::function<void(End, std::string)> ended = this->hooks.ended;
    ended(end, std::move(this->output));
}

} // namespace Dogwoodkeel
