#include <Services/Entry/OnlineRequest.h>

#include <LibBase/Log.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::string_view streamEnd = "[DONE]";
constexpr std::size_t eventLimit = 1048576;
constexpr std::chrono::milliseconds joinWait{2000};
/** How long to retry the claim until an owner can decide, before the caller is refused. */
constexpr std::chrono::milliseconds claimTimeout{5000};
/**
 * Timeout of one claim call for a request that may be repeated. The owner decides such a claim from memory, so a
 * longer wait means that the call was lost with its connection.
 */
constexpr std::chrono::milliseconds claimAnswerTimeout{1000};
constexpr std::chrono::seconds usualRetryAfter{1};
/** How long an owner may hold a commit before it answers Held. */
constexpr std::chrono::milliseconds commitWait{500};
constexpr std::chrono::milliseconds firstCommitPause{500};
constexpr std::chrono::milliseconds maxCommitPause{10000};
/** How long a caller waits for a durable result when no owner answers. */
constexpr std::chrono::milliseconds pendingAfter{5000};
/** How long a runner keeps a result that its owner has not stored durably. */
constexpr std::chrono::minutes commitTimeout{30};

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusUnprocessable = 422;
constexpr int statusTooManyRequests = 429;
constexpr int statusServerError = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

std::chrono::microseconds since(SteadyTime start, SteadyTime now)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(now - start);
}

ProgressLimits progressLimits(const EntrySettings &settings)
{
    return {settings.connectTimeout, settings.firstByteTimeout, settings.progressTimeout};
}

} // namespace

OnlineRequest::OnlineRequest(EntryContext &context, DurableRequest request, std::shared_ptr<HttpReply> reply)
    : context(context)
    , request(std::move(request))
    , reply(std::move(reply),
            this->request.id,
            this->request.completion && this->request.completion->isStream ? &*this->request.completion : nullptr)
    , started(context.clock.now())
    , deadline(this->started + this->request.timeout)
    , runner(context.self)
    , claimNumber(context.random())
    , events(eventLimit)
    , commitPause(firstCommitPause)
{
}

void OnlineRequest::start()
{
    this->context.metrics.countRequest(this->request.tenant);
    this->armDeadline(this->request.timeout);
    this->claim();
}

void OnlineRequest::armDeadline(std::chrono::milliseconds wait)
{
    this->context.loop.cancel(this->deadlineTimer);
    this->deadlineTimer = this->context.loop.schedule(wait, [self = this->shared_from_this()] {
        self->deadlineTimer = 0;
        self->onDeadline();
    });
}

std::string OnlineRequest::kind() const
{
    return this->request.completion ? "online" : "service";
}

void OnlineRequest::claim()
{
    const SteadyTime now = this->context.clock.now();
    const auto remainingTime = std::chrono::ceil<std::chrono::milliseconds>(this->deadline - now);
    const ClaimRequest claim{this->request.id,
                             this->request.fingerprint,
                             this->request.isNonIdempotent,
                             this->runner,
                             this->claimNumber,
                             std::min(joinWait, remainingTime)};
    this->context.owners.call<ClaimRequest>(
        this->request.id.value(),
        claim,
        claim.wait,
        std::min(this->deadline, now + claimTimeout),
        [isNonIdempotent = this->request.isNonIdempotent](const ClaimResponse &response) {
            // Without the platform a non-idempotent request cannot run, so its caller is refused at once.
            const bool isUndecided = response.decision == ClaimDecision::Unavailable && !isNonIdempotent;
            return response.decision != ClaimDecision::NotOwner && !isUndecided;
        },
        [self = this->shared_from_this()](const std::optional<ClaimResponse> &response) {
            self->onClaim(response);
        },
        this->request.isNonIdempotent ? std::nullopt : std::optional(claimAnswerTimeout));
}

void OnlineRequest::onClaim(const std::optional<ClaimResponse> &response)
{
    const Refusal noOwner{statusUnavailable, "no_owner", "no node can take the request now", this->runState(), usualRetryAfter};
    if (!response) {
        this->refuse(noOwner);
        this->repeatUncertainClaim();
        return;
    }
    this->hasClaim = response->decision == ClaimDecision::Run;
    const bool isStillPending = this->phase == Phase::Ended && response->decision == ClaimDecision::StillRunning;
    if (response->decision == ClaimDecision::Unavailable || (isStillPending && this->request.isNonIdempotent)) {
        this->release();
    }
    if (this->phase == Phase::Ended) {
        this->closeClaim(noOwner);
        return;
    }
    switch (response->decision) {
    case ClaimDecision::Run:
        this->waitForCapacity();
        return;
    case ClaimDecision::Done:
        this->finish(response->answer, "committed");
        return;
    case ClaimDecision::Mismatch:
        this->refuse(
            {statusUnprocessable, "id_reused", "this Idempotency-Key was used for another request", RunState::Unknown, {}});
        return;
    case ClaimDecision::OutcomeUnknown:
        this->refuse({statusConflict, "outcome_unknown", "it may have run once, and will not run again", RunState::Unknown, {}});
        return;
    case ClaimDecision::StillRunning:
        this->claim();
        return;
    case ClaimDecision::Unavailable:
        this->refuse({statusUnavailable,
                      "platform_unavailable",
                      "it must not be repeated, and that it runs cannot be recorded now",
                      this->runState(),
                      usualRetryAfter});
        return;
    case ClaimDecision::Full:
        this->refuse({statusUnavailable,
                      "platform_unavailable",
                      "no more results can be held until the platform takes writes again",
                      RunState::NotRun,
                      usualRetryAfter});
        return;
    case ClaimDecision::NotOwner:
        return;
    }
}

void OnlineRequest::repeatUncertainClaim()
{
    if (!this->request.isNamedByCaller) {
        return;
    }
    // The claim may have been granted and the answer lost. Every resend would then wait for a runner that does not
    // exist until the lease ends, and for a non-idempotent request forever. The same claim is repeated until its
    // state is known.
    const ClaimRequest claim{this->request.id,
                             this->request.fingerprint,
                             this->request.isNonIdempotent,
                             this->runner,
                             this->claimNumber,
                             std::chrono::milliseconds(0)};
    this->context.owners.call<ClaimRequest>(
        this->request.id.value(),
        claim,
        claim.wait,
        this->context.clock.now() + this->context.settings->owner.claimLease,
        [](const ClaimResponse &response) {
            return response.decision != ClaimDecision::NotOwner && response.decision != ClaimDecision::Unavailable;
        },
        [self = this->shared_from_this()](const std::optional<ClaimResponse> &response) {
            if (response) {
                self->onClaim(response);
            }
        });
}

void OnlineRequest::closeClaim(const Refusal &refusal)
{
    if (!std::exchange(this->hasClaim, false)) {
        return;
    }
    if (this->request.isNonIdempotent && this->mayHaveRun) {
        // The request must not run again, so the refusal is committed as its answer and every resend gets it.
        const HttpResponse response = refusalResponse(refusal);
        this->commit({static_cast<std::uint16_t>(response.status), "application/json", response.body});
        return;
    }
    // The request was not sent and will not be. A stored refusal would be returned to every resend, although
    // Retry-After invites the caller to retry; with the claim released, a resend runs.
    this->release();
}

void OnlineRequest::release()
{
    this->context.owners.call<ReleaseRequest>(
        this->request.id.value(),
        ReleaseRequest{this->request.id, this->runner, this->claimNumber},
        std::chrono::milliseconds(0),
        this->context.clock.now() + this->context.settings->owner.claimLease,
        [](const ReleaseResponse &response) {
            return response.isOwner;
        },
        [](const std::optional<ReleaseResponse> &) {});
}

void OnlineRequest::waitForCapacity()
{
    this->phase = Phase::Waiting;
    const auto self = this->shared_from_this();
    this->ticket = this->context.admission.enter(
        this->request.serves,
        this->deadline,
        {.run =
             [self] {
                 self->phase = Phase::Running;
                 self->dispatch();
             },
         .refuse =
             [self](std::chrono::milliseconds retryAfter) {
                 self->refuse({statusUnavailable,
                               "overloaded",
                               "it would not be answered by its deadline",
                               self->runState(),
                               std::max(usualRetryAfter, std::chrono::ceil<std::chrono::seconds>(retryAfter))});
             }});
}

void OnlineRequest::dispatch()
{
    const SuspectNotices &suspects = this->context.suspects;
    if (suspects.quarantine().status(this->request.content) == QuarantineStatus::Quarantined) {
        const auto remainingTime
            = std::chrono::ceil<std::chrono::seconds>(suspects.quarantine().remaining(this->request.content));
        this->refuse(
            {statusUnprocessable, "quarantined", "endpoints were lost while they ran it", this->runState(), remainingTime});
        return;
    }
    SelectionQuery query{FailureDomain(this->context.settings->node.failureDomain), this->tried, this->failedDomain};
    query.prefix = this->request.prefix;
    Replica *const selected = this->context.selector.select(this->request.serves, query);
    const bool isExhausted = this->attempts >= static_cast<std::uint32_t>(this->context.settings->entry.attempts);
    if (selected == nullptr || isExhausted) {
        this->refuse(
            {statusUnavailable, "no_endpoint", "no endpoint can serve the request now", this->runState(), usualRetryAfter});
        return;
    }
    if (this->attempts > 0 && !this->mayRetryAt(*selected)) {
        return;
    }
    // A non-idempotent call gets a new connection. A reused one may have become unresponsive unnoticed, and the call
    // could then neither be known to have run nor be sent again.
    this->sendTo(*selected, this->request.isNonIdempotent ? ConnectionChoice::Fresh : ConnectionChoice::Pooled);
}

bool OnlineRequest::mayRetryAt(const Replica &selected)
{
    if (this->context.retries.tryConsume(this->request.tenant, selected.name)) {
        this->context.metrics.countRetry(this->lastFailure);
        return true;
    }
    this->refuse({statusUnavailable, "retry_budget", "too many requests have to be retried", this->runState(), usualRetryAfter});
    return false;
}

void OnlineRequest::sendTo(Replica &replica, ConnectionChoice choice)
{
    ++this->attempts;
    this->replica = &replica;
    this->context.fleet.begin(replica);
    this->tokensBefore = this->completion.tokens;
    this->context.notices.changed(replica);
    this->tried.push_back(replica.name);
    this->status = 0;
    this->body.clear();
    this->isStreamEnded = false;
    this->events = ServerSentEvents(eventLimit);
    this->sent = this->context.clock.now();
    if (this->attempts == 1) {
        this->context.metrics.observeQueueing(this->kind(), since(this->started, this->sent));
        this->context.metrics.observeQueueing(this->request.tenant, since(this->started, this->sent));
    }

    HttpRequest message = this->request.request;
    if (this->request.completion) {
        message.body = this->request.completion->engineBody(this->completion.text, this->completion.tokens);
    }
    // NOTE: The attempt does not outlive this request and calls no hook after its end, so its hooks hold no shared
    // pointer, except onEnd.
    Attempt::Hooks hooks{
        .onHeaders =
            [this](int status, const HttpHeaders &headers) {
                this->onHeaders(status, headers);
            },
        .onData =
            [this](std::string_view data) {
                this->onData(data);
            },
        .onEnd =
            [self = this->shared_from_this()](AttemptEnd end) {
                self->onEnd(end);
            },
    };
    this->attempt = std::make_unique<Attempt>(
        this->context.loop, this->context.clock, this->context.http, progressLimits(this->context.settings->entry));
    this->attempt->start(replica.address, message, choice, std::move(hooks));
}

void OnlineRequest::onHeaders(int status, const HttpHeaders &headers)
{
    this->status = status;
    this->context.watch.observeHeaders(*this->replica, headers);
    this->contentType = headerValue(headers, "Content-Type").value_or("application/octet-stream");
}

void OnlineRequest::onData(std::string_view data)
{
    if (!this->request.completion || this->status != statusOk) {
        this->body.append(data);
        return;
    }
    for (const std::string &event : this->events.feed(data)) {
        this->onEvent(event);
    }
}

void OnlineRequest::onEvent(const std::string &data)
{
    if (data == streamEnd) {
        this->isStreamEnded = true;
        return;
    }
    const auto delta = CompletionDelta::parse(data);
    if (!delta) {
        return;
    }
    const SteadyTime now = this->context.clock.now();
    if (this->completion.tokens == 0) {
        this->context.metrics.observeFirstToken("online", since(this->started, now));
        this->context.metrics.observeFirstToken(this->request.tenant, since(this->started, now));
    } else {
        this->context.metrics.observeBetweenTokens("online", since(this->lastToken, now));
        this->context.metrics.observeBetweenTokens(this->request.tenant, since(this->lastToken, now));
    }
    if (this->completion.tokens == this->tokensBefore) {
        this->attemptFirstToken = now;
    }
    this->lastToken = now;
    this->completion.add(*delta);
    this->reply.write(delta->text);
}

bool OnlineRequest::isComplete() const
{
    // An engine may be lost between its last token and the end of its stream; nothing remains to resume then.
    return this->request.completion && this->status == statusOk
        && (this->isStreamEnded || !this->completion.finishReason.empty());
}

void OnlineRequest::onEnd(AttemptEnd end)
{
    this->attempt = nullptr;
    if (end != AttemptEnd::Complete && this->isComplete()) {
        end = AttemptEnd::Complete;
    }
    switch (end) {
    case AttemptEnd::Complete:
        this->attemptCompleted();
        return;
    case AttemptEnd::NotConnected:
        this->attemptFailed(AttemptOutcome::NotConnected, RunState::NotRun, "not_connected");
        return;
    case AttemptEnd::ConnectionLost:
        this->recordEndpointLoss();
        this->attemptFailed(AttemptOutcome::Failed, RunState::Unknown, "broken");
        return;
    case AttemptEnd::UnresponsiveFresh:
        this->attemptFailed(AttemptOutcome::Unresponsive, RunState::Unknown, "silent");
        return;
    case AttemptEnd::UnresponsiveReused: {
        // The connection is assumed to have failed, not the endpoint; the stream is resumed at the same endpoint over
        // a new one.
        this->lastFailure = "silent_connection";
        Replica &same = *this->replica;
        this->mayHaveRun = true;
        this->leaveReplica({AttemptOutcome::Abandoned, {}});
        if (this->mayRetryAt(same)) {
            this->sendTo(same, ConnectionChoice::Fresh);
        }
        return;
    }
    }
}

void OnlineRequest::recordEndpointLoss()
{
    const SteadyTime now = this->context.clock.now();
    this->context.suspects.recordLoss(this->request.content,
                                      {this->replica->name, this->replica->failureDomain, this->sent, now});
}

void OnlineRequest::attemptCompleted()
{
    if (this->status == statusUnavailable) {
        // By the endpoints' contract (docs/operators/endpoints.md) a 503 is sent before anything runs.
        this->attemptFailed(AttemptOutcome::Refused, RunState::NotRun, "refused");
        return;
    }
    const bool isCutShort = this->request.completion && this->status == statusOk && !this->isComplete();
    // Another endpoint may serve the request when this one is full or fails, so such an answer is not stored as the
    // result.
    const bool isEndpointError = this->status >= statusServerError || this->status == statusTooManyRequests;
    if (isCutShort || (isEndpointError && !this->request.isNonIdempotent)) {
        this->attemptFailed(AttemptOutcome::Failed, RunState::Unknown, isCutShort ? "cut_short" : "endpoint_error");
        return;
    }
    this->context.suspects.recordSuccess(this->request.content);
    this->context.retries.recordSuccess(this->request.tenant, this->replica->name);
    this->leaveReplica({AttemptOutcome::Succeeded, this->serviceTime()});
    if (this->request.completion && this->status == statusOk) {
        this->commit(this->completion.answer(*this->request.completion, this->request.id));
        return;
    }
    this->commit({static_cast<std::uint16_t>(this->status), this->contentType, this->body});
}

std::optional<std::chrono::microseconds> OnlineRequest::serviceTime() const
{
    if (!this->request.completion) {
        return since(this->sent, this->context.clock.now());
    }
    const std::uint32_t tokens = this->completion.tokens - this->tokensBefore;
    if (tokens < 2) {
        return {};
    }
    return since(this->attemptFirstToken, this->lastToken) / (tokens - 1);
}

void OnlineRequest::leaveReplica(const AttemptResult &result)
{
    Replica &previous = *std::exchange(this->replica, nullptr);
    this->context.fleet.end(previous, result);
    this->context.admission.served(this->request.serves, since(this->sent, this->context.clock.now()));
    this->context.notices.changed(previous);
}

void OnlineRequest::attemptFailed(AttemptOutcome outcome, RunState run, std::string_view reason)
{
    log(LogLevel::Info,
        "attempt failed",
        {{"request", this->request.id.value()},
         {"endpoint", this->replica->name.value()},
         {"failure_domain", this->replica->failureDomain.value()},
         {"reason", std::string(reason)}});
    this->failedDomain = this->replica->failureDomain;
    this->leaveReplica({outcome, {}});
    this->mayHaveRun = this->mayHaveRun || run == RunState::Unknown;
    if (this->request.isNonIdempotent && run == RunState::Unknown) {
        // The request may have run, so it must not run again. This refusal is committed as its answer and every
        // resend gets it.
        this->refuse({statusBadGateway,
                      "outcome_unknown",
                      "the endpoint was lost while it ran; it will not run again",
                      RunState::Unknown,
                      {}});
        return;
    }
    this->lastFailure = reason;
    this->dispatch();
}

void OnlineRequest::commit(const Answer &answer)
{
    this->phase = Phase::Committing;
    this->hasClaim = false;
    this->result = answer;
    this->sendCommit();
    if (this->reply.isOpen()) {
        const auto remainingTime = std::chrono::ceil<std::chrono::milliseconds>(this->deadline - this->context.clock.now());
        this->armDeadline(std::clamp(remainingTime, std::chrono::milliseconds(0), pendingAfter));
    }
}

void OnlineRequest::sendCommit()
{
    this->context.owners.call<CommitRequest>(
        this->request.id.value(),
        CommitRequest{this->request.id, this->request.fingerprint, this->runner, this->result},
        commitWait,
        this->context.clock.now() + commitTimeout,
        [](const CommitResponse &response) {
            return response.decision != CommitDecision::NotOwner && response.decision != CommitDecision::Unavailable;
        },
        [self = this->shared_from_this()](const std::optional<CommitResponse> &response) {
            self->onCommit(response);
        });
}

void OnlineRequest::onCommit(const std::optional<CommitResponse> &response)
{
    if (!response) {
        log(LogLevel::Error, "result dropped: no owner accepted it in time", {{"request", this->request.id.value()}});
        return;
    }
    switch (response->decision) {
    case CommitDecision::Committed:
        this->finish(this->result, "committed");
        return;
    case CommitDecision::Superseded:
        this->finish(response->answer, "committed");
        return;
    case CommitDecision::Held:
        // Both this node and the owner hold the result until the platform is available again, as either of them may
        // be lost.
        this->finish(this->result, "pending");
        this->context.loop.schedule(this->commitPause, [self = this->shared_from_this()] {
            self->sendCommit();
        });
        this->commitPause = std::min(this->commitPause * 2, maxCommitPause);
        return;
    case CommitDecision::NotOwner:
    case CommitDecision::Unavailable:
        return;
    }
}

void OnlineRequest::finish(const Answer &answer, std::string_view result)
{
    if (!this->reply.isOpen()) {
        return;
    }
    this->context.loop.cancel(std::exchange(this->deadlineTimer, 0));
    this->context.metrics.countAnswer(this->kind(), std::to_string(answer.status));
    this->context.metrics.observeTotal(this->kind(), since(this->started, this->context.clock.now()));
    this->context.metrics.observeTotal(this->request.tenant, since(this->started, this->context.clock.now()));
    this->reply.finish(answer, result);
    this->request.hold = nullptr;
}

void OnlineRequest::onDeadline()
{
    if (!this->reply.isOpen()) {
        return;
    }
    if (this->phase == Phase::Committing) {
        this->finish(this->result, "pending");
        return;
    }
    const Refusal refusal{
        statusGatewayTimeout, "deadline_exceeded", "it was not answered by its deadline", this->runState(), usualRetryAfter};
    if (this->replica == nullptr) {
        this->refuse(refusal);
        return;
    }
    Refusal running = refusal;
    running.run = RunState::Unknown;
    if (this->request.isNonIdempotent) {
        // The request is running and can neither be reliably stopped nor run again. The caller is refused at once; a
        // resend gets the endpoint's answer if it still arrives.
        this->context.metrics.countAnswer(this->kind(), std::string(running.reason));
        this->reply.refuse(running);
        return;
    }
    // The caller's deadline has passed, which is not counted as a failure of the endpoint; the remaining output is
    // not needed.
    this->attempt = nullptr;
    this->leaveReplica({AttemptOutcome::Abandoned, {}});
    this->refuse(running);
}

RunState OnlineRequest::runState() const
{
    // A request with an id chosen by the caller may have been sent before, here or to another node, and may have run.
    // Only the durable intent of a non-idempotent request proves that none has: it is written once, before any
    // attempt.
    const bool hasProof = !this->request.isNamedByCaller || (this->hasClaim && this->request.isNonIdempotent);
    return this->mayHaveRun || !hasProof ? RunState::Unknown : RunState::NotRun;
}

void OnlineRequest::refuse(const Refusal &refusal)
{
    if (this->phase == Phase::Waiting) {
        this->context.admission.leave(this->request.serves, this->ticket);
    }
    this->context.loop.cancel(std::exchange(this->deadlineTimer, 0));
    this->phase = Phase::Ended;
    if (this->reply.isOpen()) {
        this->context.metrics.countAnswer(this->kind(), std::string(refusal.reason));
        this->reply.refuse(refusal);
        this->request.hold = nullptr;
    }
    this->closeClaim(refusal);
}

} // namespace Dogwoodkeel
