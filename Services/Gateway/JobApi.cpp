#include <Services/Gateway/JobApi.h>

#include <LibBase/Log.h>
#include <LibProxy/HttpStatus.h>
#include <platform/RequestFormat.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace Dogwoodkeel
{

namespace
{

/** Sent with a refusal: about the time until the store is reachable again, or until some items are completed. */
constexpr std::chrono::milliseconds storePause{300};
constexpr std::chrono::milliseconds fullPause{1000};
constexpr std::size_t maxAnswerBytes = 900'000;

int statusOf(SubmitOutcome outcome)
{
    switch (outcome) {
    case SubmitOutcome::Accepted:
    case SubmitOutcome::Known:
        return statusAccepted;
    case SubmitOutcome::Full:
        return statusTooManyRequests;
    case SubmitOutcome::NotStored:
        return statusUnavailable;
    case SubmitOutcome::Unknown:
        return statusBadGateway;
    }
    return statusBadGateway;
}

std::string_view nameOf(SubmitOutcome outcome)
{
    switch (outcome) {
    case SubmitOutcome::Accepted:
        return "accepted";
    case SubmitOutcome::Known:
        return "known already";
    case SubmitOutcome::Full:
        return "the route is full";
    case SubmitOutcome::NotStored:
        return "not stored";
    case SubmitOutcome::Unknown:
        return "possibly stored";
    }
    return "invalid";
}

int statusOf(JobReadOutcome outcome)
{
    switch (outcome) {
    case JobReadOutcome::Found:
        return statusOk;
    case JobReadOutcome::Absent:
        return statusNotFound;
    case JobReadOutcome::Failed:
        return statusUnavailable;
    }
    return statusUnavailable;
}

/** @return the workspace's name, or an empty one if callers need no key. */
WorkspaceName nameOf(const Workspace *workspace)
{
    return workspace != nullptr ? workspace->name : WorkspaceName();
}

} // namespace

JobApi::JobApi(GatewayContext &context, JobStore &store, JobHook accepted, JobHook broadcastEnd)
    : context(context), store(store), accepted(std::move(accepted)), broadcastEnd(std::move(broadcastEnd))
{
}

void JobApi::reply(const Exchange &exchange, const std::string &what, const JobId &job, int status, const std::string &body)
{
    log(LogLevel::Info, "job call answered", {{"call", what}, {"job", job.value()}, {"status", status}});
    this->context.metrics.countEvent("job " + what + " " + std::to_string(status));
    HeaderList headers;
    if (status == statusUnavailable) {
        headers = retryHeaders(storePause);
    } else if (status == statusTooManyRequests) {
        headers = retryHeaders(fullPause);
    }
    if (!body.empty()) {
        headers.add("Content-Type", "application/json");
    }
    exchange->send(status, headers, body);
}

void JobApi::submit(const Route &route, const Workspace *workspace, const Exchange &exchange)
{
    const RequestTraits traits = decodeTraits(exchange->head().headers);
    std::optional<std::vector<JobItem>> items = decodeSubmission(exchange->body());
    const WorkspaceName owner = nameOf(workspace);
    const JobId job = JobRows::jobOf(owner, traits.id);
    if (!items || traits.id.empty()) {
        this->reply(exchange, "submit", job, statusBadRequest, R"({"error":"the body lists no items, or the job has no id"})");
        return;
    }
    Submission submission;
    submission.id = job;
    submission.route = route.name;
    submission.host = route.host;
    submission.workspace = owner;
    submission.waitingTokensLimit = route.waitingTokens;
    submission.completionTarget = route.completionTarget;
    submission.items = *std::move(items);
    const SteadyTime arrived = this->context.clock.now();
    submission.deadline = arrived + traits.timeout.value_or(defaultTimeout);
    const std::size_t count = submission.items.size();
    this->store.submit(std::move(submission), [this, exchange, job, arrived, count](SubmitOutcome outcome) {
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(this->context.clock.now() - arrived);
        log(LogLevel::Info,
            "job submission decided",
            {{"job", job.value()},
             {"items", static_cast<std::int64_t>(count)},
             {"outcome", std::string(nameOf(outcome))},
             {"took_ms", took.count()},
             {"caller_left", exchange->isOver()}});
        this->reply(exchange, "submit", job, statusOf(outcome));
        if (outcome == SubmitOutcome::Accepted) {
            this->accepted(job);
        }
    });
}

void JobApi::answer(const JobCall &call, const Workspace *workspace, const Exchange &exchange)
{
    const WorkspaceName owner = nameOf(workspace);
    if (const auto *const results = std::get_if<ReadResultsCall>(&call)) {
        this->readResults(JobRows::jobOf(owner, results->job.value()), results->from, exchange);
    } else if (const auto *const item = std::get_if<ReadItemCall>(&call)) {
        this->readItem(JobRows::jobOf(owner, item->job.value()), item->item, exchange);
    } else if (const auto *const end = std::get_if<EndJobCall>(&call)) {
        this->end(JobRows::jobOf(owner, end->job.value()), exchange);
    }
}

void JobApi::readResults(const JobId &job, std::uint64_t from, const Exchange &exchange)
{
    this->store.readResults(job, from, [this, job, from, exchange](JobResults read) {
        if (read.outcome != JobReadOutcome::Found) {
            this->reply(exchange, "results", job, statusOf(read.outcome));
            return;
        }
        std::size_t bytes = 0;
        const auto fits = [&bytes](const ItemResult &result) {
            bytes += result.output.size();
            return bytes <= maxAnswerBytes;
        };
        const auto firstOver = std::ranges::find_if_not(read.results, fits);
        const auto kept = std::max<std::ptrdiff_t>(firstOver - read.results.begin(), read.results.empty() ? 0 : 1);
        read.results.resize(static_cast<std::size_t>(kept));
        const std::uint64_t next = from + read.results.size();
        this->reply(exchange, "results", job, statusOk, encodeResults(read.total, next, read.results));
    });
}

void JobApi::readItem(const JobId &job, const ItemId &item, const Exchange &exchange)
{
    this->store.load(job, [this, job, item, exchange](const LoadedJob &loaded) {
        if (loaded.outcome != JobReadOutcome::Found || loaded.head.isEnded) {
            const bool isFailed = loaded.outcome == JobReadOutcome::Failed;
            this->reply(exchange, "item", job, isFailed ? statusUnavailable : statusNotFound);
            return;
        }
        const auto found = std::ranges::find(loaded.items, item, &JobItem::id);
        if (found == loaded.items.end()) {
            this->reply(exchange, "item", job, statusNotFound);
            return;
        }
        log(LogLevel::Info, "job call answered", {{"call", "item"}, {"job", job.value()}, {"status", statusOk}});
        exchange->send(statusOk, {}, found->body);
    });
}

void JobApi::end(const JobId &job, const Exchange &exchange)
{
    const RequestTraits traits = decodeTraits(exchange->head().headers);
    const SteadyTime deadline = this->context.clock.now() + traits.timeout.value_or(defaultTimeout);
    this->store.end(job, deadline, [this, job, exchange](JobReadOutcome outcome) {
        if (outcome == JobReadOutcome::Found) {
            this->broadcastEnd(job);
        }
        this->reply(exchange, "end", job, statusOf(outcome));
    });
}

} // namespace Dogwoodkeel
