#include <Services/Entry/PlainCall.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr int statusUnprocessable = 422;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr std::chrono::seconds usualRetryAfter{1};

} // namespace

PlainCall::PlainCall(EntryContext &context,
                     const ServiceSettings &service,
                     WorkspaceName tenant,
                     HttpRequest request,
                     std::chrono::milliseconds timeout,
                     std::shared_ptr<HttpReply> reply,
                     LimitSharing::Hold hold)
    : context(context)
    , service(service)
    , tenant(std::move(tenant))
    , request(std::move(request))
    , content(contentFingerprint(service.name, this->request.method + ' ' + this->request.target() + '\n' + this->request.body))
    , reply(std::move(reply))
    , hold(std::move(hold))
    , started(context.clock.now())
    , timeout(timeout)
{
}

void PlainCall::start()
{
    this->context.metrics.countRequest(this->tenant);
    this->deadlineTimer = this->context.loop.schedule(this->timeout, [self = this->shared_from_this()] {
        self->deadlineTimer = 0;
        self->onDeadline();
    });
    this->waitForCapacity();
}

void PlainCall::waitForCapacity()
{
    const auto self = this->shared_from_this();
    this->ticket = this->context.admission.enter(
        this->service.name,
        this->started + this->timeout,
        {.run =
             [self] {
                 self->dispatch();
             },
         .refuse =
             [self](std::chrono::milliseconds retryAfter) {
                 self->refuse(statusUnavailable,
                              "overloaded",
                              "it would not be answered by its deadline",
                              std::max(usualRetryAfter, std::chrono::ceil<std::chrono::seconds>(retryAfter)));
             }});
}

void PlainCall::dispatch()
{
    const Quarantine &quarantine = this->context.suspects.quarantine();
    if (quarantine.status(this->content) == QuarantineStatus::Quarantined) {
        const auto remainingTime = std::chrono::ceil<std::chrono::seconds>(quarantine.remaining(this->content));
        this->refuse(statusUnprocessable, "quarantined", "endpoints were lost while they ran it", remainingTime);
        return;
    }
    const SelectionQuery query{FailureDomain(this->context.settings->node.failureDomain), this->tried, this->failedDomain};
    Replica *const selected = this->context.selector.select(this->service.name, query);
    const bool isExhausted = this->tried.size() >= static_cast<std::size_t>(this->context.settings->entry.attempts);
    if (selected == nullptr || isExhausted) {
        this->refuse(statusUnavailable, "no_endpoint", "no endpoint can serve the request now", usualRetryAfter);
        return;
    }
    if (!this->tried.empty() && !this->mayRetryAt(*selected)) {
        return;
    }
    this->sendTo(*selected, ConnectionChoice::Pooled);
}

bool PlainCall::mayRetryAt(const Replica &selected)
{
    if (this->context.retries.tryConsume(this->tenant, selected.name)) {
        this->context.metrics.countRetry(this->lastFailure);
        return true;
    }
    this->refuse(statusUnavailable, "retry_budget", "too many requests have to be retried", usualRetryAfter);
    return false;
}

void PlainCall::sendTo(Replica &replica, ConnectionChoice choice)
{
    this->replica = &replica;
    this->context.fleet.begin(replica);
    this->tried.push_back(replica.name);
    this->sent = this->context.clock.now();
    this->response = {};
    if (this->tried.size() == 1) {
        const auto waited = std::chrono::duration_cast<std::chrono::microseconds>(this->sent - this->started);
        this->context.metrics.observeQueueing("lookup", waited);
        this->context.metrics.observeQueueing(this->tenant, waited);
    }
    Attempt::Hooks hooks{
        .onHeaders =
            [this](int status, const HttpHeaders &headers) {
                this->context.watch.observeHeaders(*this->replica, headers);
                this->response.status = status;
                this->response.headers = forwardedHeaders(headers);
                this->response.headers.try_emplace("Content-Type", "application/octet-stream");
            },
        .onData =
            [this](std::string_view data) {
                this->response.body.append(data);
            },
        .onEnd =
            [self = this->shared_from_this()](AttemptEnd end) {
                self->onEnd(end);
            },
    };
    const EntrySettings &entry = this->context.settings->entry;
    const ProgressLimits limits{entry.connectTimeout, this->service.firstByteTimeout, entry.progressTimeout};
    this->attempt = std::make_unique<Attempt>(this->context.loop, this->context.clock, this->context.http, limits);
    this->attempt->start(replica.address, this->request, choice, std::move(hooks));
}

void PlainCall::onEnd(AttemptEnd end)
{
    this->attempt = nullptr;
    switch (end) {
    case AttemptEnd::Complete:
        if (this->response.status == statusUnavailable) {
            this->failed(AttemptOutcome::Refused, RunState::NotRun, "refused");
        } else {
            this->answer();
        }
        return;
    case AttemptEnd::NotConnected:
        this->failed(AttemptOutcome::NotConnected, RunState::NotRun, "not_connected");
        return;
    case AttemptEnd::ConnectionLost:
        this->context.suspects.recordLoss(
            this->content, {this->replica->name, this->replica->failureDomain, this->sent, this->context.clock.now()});
        this->failed(AttemptOutcome::Failed, RunState::Unknown, "broken");
        return;
    case AttemptEnd::UnresponsiveFresh:
        this->failed(AttemptOutcome::Unresponsive, RunState::Unknown, "silent");
        return;
    case AttemptEnd::UnresponsiveReused: {
        // The connection is assumed to have failed, not the endpoint; the call is repeated at the same endpoint over
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

void PlainCall::leaveReplica(const AttemptResult &result)
{
    Replica &previous = *std::exchange(this->replica, nullptr);
    this->context.fleet.end(previous, result);
    const auto taken = std::chrono::duration_cast<std::chrono::microseconds>(this->context.clock.now() - this->sent);
    this->context.admission.served(this->service.name, taken);
}

void PlainCall::failed(AttemptOutcome outcome, RunState run, std::string_view reason)
{
    this->failedDomain = this->replica->failureDomain;
    this->mayHaveRun = this->mayHaveRun || run == RunState::Unknown;
    this->leaveReplica({outcome, {}});
    this->lastFailure = reason;
    this->dispatch();
}

void PlainCall::answer()
{
    this->context.suspects.recordSuccess(this->content);
    this->context.retries.recordSuccess(this->tenant, this->replica->name);
    const auto taken = std::chrono::duration_cast<std::chrono::microseconds>(this->context.clock.now() - this->sent);
    this->leaveReplica({AttemptOutcome::Succeeded, taken});
    this->context.loop.cancel(std::exchange(this->deadlineTimer, 0));
    this->context.metrics.countAnswer("lookup", std::to_string(this->response.status));
    const auto total = std::chrono::duration_cast<std::chrono::microseconds>(this->context.clock.now() - this->started);
    this->context.metrics.observeTotal("lookup", total);
    this->context.metrics.observeTotal(this->tenant, total);
    this->reply->send(this->response);
}

void PlainCall::onDeadline()
{
    if (this->replica != nullptr) {
        // The caller's deadline has passed, which is not counted as a failure of the endpoint.
        this->attempt = nullptr;
        this->mayHaveRun = true;
        this->leaveReplica({AttemptOutcome::Abandoned, {}});
    } else {
        this->context.admission.leave(this->service.name, this->ticket);
    }
    this->refuse(statusGatewayTimeout, "deadline_exceeded", "it was not answered by its deadline", usualRetryAfter);
}

void PlainCall::refuse(int status, std::string_view reason, std::string message, std::chrono::seconds retryAfter)
{
    this->context.loop.cancel(std::exchange(this->deadlineTimer, 0));
    this->context.metrics.countAnswer("lookup", std::string(reason));
    const RunState run = this->mayHaveRun ? RunState::Unknown : RunState::NotRun;
    this->reply->send(refusalResponse({status, reason, std::move(message), run, retryAfter}));
}

} // namespace Dogwoodkeel
