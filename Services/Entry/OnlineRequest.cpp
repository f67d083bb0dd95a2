#include <Services/Entry/OnlineRequest.h>

#include <LibBase/Log.h>
#include <LibRouting/ReplicaChoice.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::string_view streamEnd = "[DONE]";
constexpr std::size_t eventLimit = 1048576;
constexpr std::chrono::milliseconds joinWait{2000};
/** How long to look for an owner that can decide, before a request that has not run is refused. */
constexpr std::chrono::milliseconds claimPatience{5000};
constexpr std::chrono::seconds comeBack{1};
constexpr std::chrono::milliseconds commitRetry{500};
/** How long a runner keeps a result that its owner does not have durably. */
constexpr std::chrono::minutes commitPatience{30};

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusUnprocessable = 422;
constexpr int statusServerError = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

std::chrono::microseconds since(SteadyTime start, SteadyTime now)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(now - start);
}

} // namespace

OnlineRequest::OnlineRequest(EntryContext &context, DurableRequest request, std::shared_ptr<HttpReply> reply)
    : context(context)
    , request(std::move(request))
    , reply(std::move(reply))
    , started(context.clock.now())
    , deadline(this->started + this->request.timeout)
    , claimNumber(context.random())
    , events(eventLimit)
{
}

void OnlineRequest::start()
{
    this->claim();
}

bool OnlineRequest::isStreaming() const
{
    return this->request.completion && this->request.completion->isStream;
}

void OnlineRequest::claim()
{
    const ClaimRequest claim{this->request.id,
                             this->request.fingerprint,
                             this->request.isNonIdempotent,
                             this->context.self,
                             this->claimNumber,
                             joinWait};
    const SteadyTime patience = std::min(this->deadline, this->context.clock.now() + claimPatience);
    this->context.owners.call<ClaimRequest>(
        this->request.id.value(),
        claim,
        joinWait,
        patience,
        [isNonIdempotent = this->request.isNonIdempotent](const ClaimResponse &response) {
            // Without the platform a non-idempotent request cannot run for now: its caller is told at once.
            const bool isUndecided = response.decision == ClaimDecision::Unavailable && !isNonIdempotent;
            return response.decision != ClaimDecision::NotOwner && !isUndecided;
        },
        [self = this->shared_from_this()](const std::optional<ClaimResponse> &response) {
            self->onClaim(response);
        });
}

void OnlineRequest::onClaim(const std::optional<ClaimResponse> &response)
{
    if (!response) {
        this->refuse({statusUnavailable, "no_owner", "no node can take the request now", RunState::NotRun, comeBack});
        return;
    }
    switch (response->decision) {
    case ClaimDecision::Run:
        this->dispatch();
        return;
    case ClaimDecision::Done:
        this->finish(response->answer, "committed");
        return;
    case ClaimDecision::Mismatch:
        this->refuse(
            {statusUnprocessable, "id_reused", "this Idempotency-Key was used for another request", RunState::NotRun, {}});
        return;
    case ClaimDecision::OutcomeUnknown:
        this->refuse({statusConflict, "outcome_unknown", "it may have run once, and will not run again", RunState::Unknown, {}});
        return;
    case ClaimDecision::StillRunning:
        if (this->context.clock.now() < this->deadline) {
            this->claim();
        } else {
            this->refuse({statusGatewayTimeout, "still_running", "it is still running; ask again", RunState::Unknown, comeBack});
        }
        return;
    case ClaimDecision::Unavailable:
        this->refuse({statusUnavailable,
                      "platform_unavailable",
                      "it must not be repeated, and that it runs cannot be recorded now",
                      RunState::NotRun,
                      comeBack});
        return;
    case ClaimDecision::NotOwner:
        return;
    }
}

void OnlineRequest::dispatch()
{
    const ChoiceWish wish{FailureDomain(this->context.settings->node.failureDomain), this->tried, this->failedDomain};
    Replica *const chosen = chooseReplica(this->context.replicas.of(this->request.serves), wish, this->context.random);
    const bool isExhausted = this->attempts >= static_cast<std::uint32_t>(this->context.settings->entry.attempts);
    if (chosen == nullptr || isExhausted || this->context.clock.now() >= this->deadline) {
        const RunState run = this->mayHaveRun ? RunState::Unknown : RunState::NotRun;
        this->refuse({statusUnavailable, "no_endpoint", "no endpoint can serve the request now", run, comeBack});
        return;
    }
    this->sendTo(*chosen);
}

void OnlineRequest::sendTo(Replica &replica)
{
    ++this->attempts;
    this->replica = &replica;
    ++replica.inFlight;
    this->context.notices.changed(replica);
    this->tried.push_back(replica.name);
    this->status = 0;
    this->body.clear();
    this->sawEnd = false;
    this->events = ServerSentEvents(eventLimit);

    HttpRequest message = this->request.request;
    if (this->request.completion) {
        message.body = this->request.completion->engineBody(this->completion.text, this->completion.tokens);
    }
    // A non-idempotent call gets a connection of its own: an idle one may have gone silent unnoticed, and the call could
    // then neither be known to have run nor be sent again.
    const auto choice = this->request.isNonIdempotent ? ConnectionChoice::Fresh : ConnectionChoice::Pooled;
    // NOTE: Each attempt's hooks carry its number. What an abandoned attempt still tells is dropped here, so that a late
    // answer never mixes with another attempt's.
    const auto current = [self = this->shared_from_this(), number = this->attempts] {
        return self->attempts == number && self->replica;
    };
    ExchangeHooks hooks{
        .onHeaders =
            [self = this->shared_from_this(), current](int status, const HttpHeaders &headers) {
                if (current()) {
                    self->onHeaders(status, headers);
                }
            },
        .onData =
            [self = this->shared_from_this(), current](std::string_view data) {
                if (current()) {
                    self->onData(data);
                }
            },
        .onEnd =
            [self = this->shared_from_this(), current](ExchangeEnd end) {
                if (current()) {
                    self->onEnd(end);
                }
            },
    };
    this->exchange = this->context.http.start(replica.address, message, choice, std::move(hooks));
    this->lastProgress = this->context.clock.now();
    this->armProgress();
}

void OnlineRequest::armProgress()
{
    this->context.loop.cancel(this->progressTimer);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(this->deadline - this->context.clock.now());
    const auto wait = std::max(std::chrono::milliseconds(0), std::min(left, this->context.settings->entry.progressTimeout));
    this->progressTimer = this->context.loop.schedule(wait, [self = this->shared_from_this()] {
        self->onSilence();
    });
}

void OnlineRequest::onSilence()
{
    this->progressTimer = 0;
    if (this->replica == nullptr) {
        return;
    }
    // The connection may have gone silent for good while new ones work, so the idle ones of its age are closed as well,
    // and the request goes on elsewhere over a new one.
    this->context.http.cancel(this->exchange);
    this->context.http.retireIdle(this->replica->address);
    this->attemptFailed(RunState::Unknown, "silent");
}

void OnlineRequest::onHeaders(int status, const HttpHeaders &headers)
{
    this->status = status;
    this->contentType = headerValue(headers, "Content-Type").value_or("application/octet-stream");
    this->armProgress();
}

void OnlineRequest::onData(std::string_view data)
{
    this->armProgress();
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
        this->sawEnd = true;
        return;
    }
    const auto delta = CompletionDelta::parse(data);
    if (!delta) {
        return;
    }
    const SteadyTime now = this->context.clock.now();
    if (this->completion.tokens == 0) {
        this->context.metrics.observeFirstToken("online", since(this->started, now));
    } else {
        this->context.metrics.observeBetweenTokens("online", since(this->lastProgress, now));
    }
    this->lastProgress = now;
    this->completion.add(*delta);
    if (this->isStreaming() && !delta->text.empty()) {
        this->startStream();
        const CompletionDelta shown{delta->text, {}};
        this->reply->write(ServerSentEvents::format(
            shown.format(this->request.completion->form, this->request.id, this->request.completion->model)));
    }
}

void OnlineRequest::startStream()
{
    if (!this->reply->isStarted()) {
        this->reply->start(statusOk,
                           {{"Content-Type", "text/event-stream"},
                            {"Cache-Control", "no-store"},
                            {"Dogwoodkeel-Request-Id", this->request.id.value()}});
    }
}

void OnlineRequest::onEnd(ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::NotConnected:
        this->attemptFailed(RunState::NotRun, "not_connected");
        return;
    case ExchangeEnd::Broken:
        this->attemptFailed(RunState::Unknown, "broken");
        return;
    case ExchangeEnd::Complete:
        this->attemptDone();
        return;
    }
}

void OnlineRequest::attemptDone()
{
    if (this->status == statusUnavailable) {
        // By the endpoints' contract (docs/operators/endpoints.md) a 503 is given before anything is run.
        this->attemptFailed(RunState::NotRun, "refused");
        return;
    }
    const bool isCutShort = this->request.completion && this->status == statusOk && !this->sawEnd;
    const bool isEndpointError = this->status >= statusServerError;
    if (isCutShort || (isEndpointError && !this->request.isNonIdempotent)) {
        this->attemptFailed(RunState::Unknown, isCutShort ? "cut_short" : "endpoint_error");
        return;
    }
    this->leaveReplica(false);
    if (this->request.completion && this->status == statusOk) {
        this->commit(this->completion.answer(*this->request.completion, this->request.id));
        return;
    }
    this->commit({static_cast<std::uint16_t>(this->status), this->contentType, this->body});
}

void OnlineRequest::leaveReplica(bool hasFailed)
{
    this->context.loop.cancel(std::exchange(this->progressTimer, 0));
    Replica &left = *std::exchange(this->replica, nullptr);
    --left.inFlight;
    left.failuresInARow = hasFailed ? left.failuresInARow + 1 : 0;
    this->context.notices.changed(left);
}

void OnlineRequest::attemptFailed(RunState run, std::string_view reason)
{
    log(LogLevel::Info,
        "attempt failed",
        {{"request", this->request.id.value()},
         {"endpoint", this->replica->name.value()},
         {"failure_domain", this->replica->failureDomain.value()},
         {"reason", std::string(reason)}});
    this->failedDomain = this->replica->failureDomain;
    this->leaveReplica(true);
    this->mayHaveRun = this->mayHaveRun || run == RunState::Unknown;
    if (this->request.isNonIdempotent && run == RunState::Unknown) {
        // It may have run, so it must not run again. This is committed as its answer: every resend gets the same.
        const HttpResponse response = refusalResponse({statusBadGateway,
                                                       "outcome_unknown",
                                                       "the endpoint was lost while it ran; it will not run again",
                                                       RunState::Unknown,
                                                       {}});
        this->commit({static_cast<std::uint16_t>(response.status), "application/json", response.body});
        return;
    }
    this->context.metrics.countRetry(std::string(reason));
    this->dispatch();
}

void OnlineRequest::commit(const Answer &answer)
{
    const CommitRequest commit{this->request.id, this->request.fingerprint, this->context.self, answer};
    this->context.owners.call<CommitRequest>(
        this->request.id.value(),
        commit,
        commitRetry,
        this->context.clock.now() + commitPatience,
        [](const CommitResponse &response) {
            return response.decision != CommitDecision::NotOwner && response.decision != CommitDecision::Unavailable;
        },
        [self = this->shared_from_this(), answer](const std::optional<CommitResponse> &response) {
            self->onCommit(answer, response);
        });
}

void OnlineRequest::onCommit(const Answer &own, const std::optional<CommitResponse> &response)
{
    if (!response) {
        log(LogLevel::Error, "result was not taken by any owner", {{"request", this->request.id.value()}});
        return;
    }
    switch (response->decision) {
    case CommitDecision::Committed:
        this->finish(own, "committed");
        return;
    case CommitDecision::Superseded:
        this->finish(response->answer, "committed");
        return;
    case CommitDecision::Held:
        this->finish(own, "pending");
        this->keepCommitting(own);
        return;
    case CommitDecision::NotOwner:
    case CommitDecision::Unavailable:
        return;
    }
}

void OnlineRequest::keepCommitting(const Answer &own)
{
    // This node and the owner both hold the result until the platform is back: one of them may be lost.
    this->context.loop.schedule(commitRetry, [self = this->shared_from_this(), own] {
        self->commit(own);
    });
}

void OnlineRequest::finish(const Answer &answer, std::string_view result)
{
    if (this->reply == nullptr) {
        return;
    }
    this->context.metrics.countAnswer(this->request.completion ? "online" : "service", std::to_string(answer.status));
    this->context.metrics.observeTotal(this->request.completion ? "online" : "service",
                                       since(this->started, this->context.clock.now()));
    if (this->isStreaming() && answer.status == statusOk) {
        this->finishStream(answer, result);
    } else {
        this->reply->send({answer.status,
                           {{"Content-Type", answer.contentType},
                            {"Dogwoodkeel-Request-Id", this->request.id.value()},
                            {"Dogwoodkeel-Result", std::string(result)}},
                           answer.body});
    }
    this->reply = nullptr;
}

void OnlineRequest::finishStream(const Answer &answer, std::string_view result)
{
    const CompletionRequest &asked = *this->request.completion;
    CompletionDelta last = CompletionDelta::parse(answer.body).value_or(CompletionDelta());
    if (this->reply->isStarted()) {
        // The caller has the text already, unless another runner's result was first: then this stream must not end as
        // if it were the answer.
        const bool isSame = last.text == this->completion.text;
        if (!isSame) {
            const nlohmann::json event{
                {"error", {{"reason", "superseded"}, {"message", "another run's answer counts; read it by its id"}}}};
            this->reply->write(ServerSentEvents::format(event.dump()));
            this->reply->finish();
            return;
        }
        last.text.clear();
    }
    this->startStream();
    this->reply->write(ServerSentEvents::format(last.format(asked.form, this->request.id, asked.model)));
    this->reply->write(": result " + std::string(result) + "\n\n");
    this->reply->write(ServerSentEvents::format(streamEnd));
    this->reply->finish();
}

void OnlineRequest::refuse(const Refusal &refusal)
{
    // It has not run, so a resend may. Also when no owner answered: one may have got the claim all the same, and would let
    // resends wait for a runner that is not there.
    const bool mayHoldClaim
        = refusal.reason == "no_endpoint" || refusal.reason == "no_owner" || refusal.reason == "platform_unavailable";
    if (mayHoldClaim && (refusal.run == RunState::NotRun || !this->request.isNonIdempotent)) {
        const ReleaseRequest release{this->request.id, this->context.self, this->claimNumber};
        this->context.owners.call<ReleaseRequest>(
            this->request.id.value(),
            release,
            std::chrono::milliseconds(0),
            this->context.clock.now() + claimPatience,
            [](const ReleaseResponse &) {
                return true;
            },
            [](const std::optional<ReleaseResponse> &) {});
    }
    this->context.metrics.countAnswer(this->request.completion ? "online" : "service", std::string(refusal.reason));
    const HttpResponse response = refusalResponse(refusal);
    if (this->reply->isStarted()) {
        this->reply->write(ServerSentEvents::format(response.body.substr(0, response.body.size() - 1)));
        this->reply->finish();
    } else {
        this->reply->send(response);
    }
    this->reply = nullptr;
}

} // namespace Dogwoodkeel
