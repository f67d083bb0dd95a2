#include <Services/Entry/BatchApi.h>

#include <LibBase/Encoding.h>
#include <LibBase/Hash.h>
#include <Services/Entry/ApiErrors.h>
#include <Services/Entry/JobParser.h>
#include <Services/Entry/JobSubmission.h>

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
constexpr std::chrono::milliseconds patience{10000};
constexpr std::chrono::seconds comeBack{1};
constexpr std::size_t idBytes = 12;
constexpr std::uint32_t resultsPerPage = 1000;

std::string hexOfHash(std::string_view text, std::uint64_t seed)
{
    const std::uint64_t hash = stableHash(text, seed);
    return encodeHex(std::string_view(reinterpret_cast<const char *>(&hash), sizeof(hash)));
}

/** A job's id: of its key, so that a resend reaches the same owner and finds the job. */
JobId jobIdOf(const Caller &caller, const std::optional<std::string> &key)
{
    if (!key) {
        return JobId("batch-" + randomHex(idBytes));
    }
    const std::string name = caller.tenant.value() + '\n' + *key;
    return JobId("batch-" + hexOfHash(name, 1) + hexOfHash(name, 2));
}

const char *wordOf(JobState state)
{
    switch (state) {
    case JobState::Running:
        return "running";
    case JobState::Completed:
        return "completed";
    case JobState::Cancelled:
        return "cancelled";
    default:
        return "absent";
    }
}

std::int64_t unixSeconds(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

std::string progressJson(const JobId &id, const JobProgress &progress)
{
    const nlohmann::json body{{"id", id.value()},
                              {"status", wordOf(progress.state)},
                              {"model", progress.model},
                              {"items", progress.itemCount},
                              {"succeeded", progress.succeeded},
                              {"failed", progress.failed},
                              {"created_at", unixSeconds(progress.created)},
                              {"due_at", unixSeconds(progress.due)}};
    return body.dump() + '\n';
}

std::string resultLine(const ItemRecord &result)
{
    nlohmann::json line{{"index", result.index}};
    if (result.status == ItemStatus::Succeeded) {
        const nlohmann::json response = nlohmann::json::parse(result.body, nullptr, false);
        line["response"] = response.is_discarded() ? nlohmann::json(result.body) : response;
    } else {
        line["error"] = result.body;
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
}

std::uint32_t numberOr(const std::optional<std::string> &text, std::uint32_t fallback)
{
    std::uint32_t number = fallback;
    if (text) {
        std::from_chars(text->data(), text->data() + text->size(), number);
    }
    return number;
}

void refuseUnreachable(HttpReply &reply)
{
    reply.send(
        refusalResponse({statusUnavailable, "no_owner", "no node can answer for this job now", RunState::NotRun, comeBack}));
}

void refuseUnknownJob(HttpReply &reply)
{
    reply.send(refusalResponse({statusNotFound, "no_such_job", "there is no such job", RunState::NotRun, {}}));
}

void answerProgress(const JobId &job, HttpReply &reply, const std::optional<JobStatusResponse> &response)
{
    if (!response) {
        refuseUnreachable(reply);
    } else if (response->progress.state == JobState::Absent) {
        refuseUnknownJob(reply);
    } else {
        reply.send(jsonResponse(statusOk, progressJson(job, response->progress)));
    }
}

bool isOwned(const JobStatusResponse &response)
{
    return response.progress.state != JobState::NotOwner;
}

} // namespace

BatchApi::BatchApi(EntryContext &context) : context(context)
{
}

void BatchApi::submit(const Caller &caller, const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    const BatchSettings &batch = this->context.settings->batch;
    const JobBounds bounds{static_cast<std::size_t>(batch.items),
                           static_cast<std::size_t>(batch.itemBytes),
                           static_cast<std::size_t>(batch.itemsPerObject)};
    Findings findings;
    ParsedJob parsed = parseJob(request.body, bounds, findings);
    if (!findings.isEmpty()) {
        reply->send(refusalResponse({statusBadRequest, "bad_items", findings.toString(), RunState::NotRun, {}}));
        return;
    }
    JobRecord job;
    job.jobId = jobIdOf(caller, headerValue(request.headers, "Idempotency-Key"));
    job.tenant = caller.tenant;
    job.fingerprint = stableHash(request.body);
    job.model = parsed.model;
    job.created = this->context.clock.wallNow();
    const std::uint32_t dueInSeconds = numberOr(queryValue(request.query, "due_in"), 0);
    job.due = job.created + (dueInSeconds > 0 ? std::chrono::seconds(dueInSeconds) : batch.due);
    job.itemCount = parsed.itemCount;
    job.itemsPerObject = static_cast<std::uint32_t>(batch.itemsPerObject);
    const std::string folder = "items/" + job.jobId.value() + '/' + hexOfHash(request.body, 0) + '/';
    for (std::size_t i = 0; i < parsed.objects.size(); ++i) {
        job.itemObjects.push_back(folder + std::to_string(i));
    }
    std::make_shared<JobSubmission>(this->context, std::move(job), std::move(parsed.objects), reply)->start();
}

void BatchApi::status(const Caller &caller, const JobId &job, const std::shared_ptr<HttpReply> &reply)
{
    this->context.owners.call<JobStatusRequest>(job.value(),
                                                {job, caller.tenant},
                                                std::chrono::milliseconds(0),
                                                this->context.clock.now() + patience,
                                                isOwned,
                                                [job, reply](const std::optional<JobStatusResponse> &response) {
                                                    answerProgress(job, *reply, response);
                                                });
}

void BatchApi::cancel(const Caller &caller, const JobId &job, const std::shared_ptr<HttpReply> &reply)
{
    this->context.owners.call<CancelJobRequest>(job.value(),
                                                {job, caller.tenant},
                                                std::chrono::milliseconds(0),
                                                this->context.clock.now() + patience,
                                                isOwned,
                                                [job, reply](const std::optional<JobStatusResponse> &response) {
                                                    answerProgress(job, *reply, response);
                                                });
}

void BatchApi::results(const Caller &caller, const JobId &job, const std::string &query, const std::shared_ptr<HttpReply> &reply)
{
    const std::uint32_t from = numberOr(queryValue(query, "from"), 0);
    const std::uint32_t limit = numberOr(queryValue(query, "limit"), resultsPerPage);
    this->context.owners.call<JobResultsRequest>(
        job.value(),
        {job, caller.tenant, from, limit},
        std::chrono::milliseconds(0),
        this->context.clock.now() + patience,
        [](const JobResultsResponse &response) {
            return response.state != JobState::NotOwner;
        },
        [reply](const std::optional<JobResultsResponse> &response) {
            if (!response) {
                refuseUnreachable(*reply);
                return;
            }
            if (response->state == JobState::Absent) {
                refuseUnknownJob(*reply);
                return;
            }
            std::string lines;
            for (const ItemRecord &result : response->results) {
                lines += resultLine(result);
            }
            HttpResponse page{statusOk, {{"Content-Type", "application/x-ndjson"}}, std::move(lines)};
            page.headers["Dogwoodkeel-Next"] = std::to_string(response->next);
            page.headers["Dogwoodkeel-Job"] = wordOf(response->state);
            reply->send(page);
        });
}

} // namespace Dogwoodkeel
