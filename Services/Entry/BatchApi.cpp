#include <Services/Entry/BatchApi.h>

#include <LibBase/Encoding.h>
#include <LibBase/JsonDepth.h>
#include <LibHttp/QueryNumbers.h>
#include <Services/Entry/ApiErrors.h>
#include <Services/Entry/JobSubmission.h>
#include <Services/Entry/StoredFile.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
constexpr std::chrono::milliseconds timeout{10000};
constexpr std::chrono::seconds retryAfter{1};
constexpr std::size_t idBytes = 12;
constexpr std::uint32_t defaultResultsPerPage = 1000;
constexpr std::uint32_t maxListedJobs = 100;
/** Maximum size of a request that references a file; a larger body holds items. */
constexpr std::size_t maxFileRequestBytes = 16384;

/** @return a job id derived from the idempotency key, so that a resend reaches the same owner and finds the job. */
JobId jobIdOf(const Caller &caller, const std::optional<std::string> &key)
{
    if (!key) {
        return JobId("batch-" + randomHex(idBytes));
    }
    const std::string name = caller.tenant.value() + '\n' + *key;
    return JobId("batch-" + contentHash(name));
}

const char *nameOf(JobState state)
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

/** @return the input_file_id of a request that references a file, or nothing if the body is no such request. */
std::optional<std::string> requestedFileId(const std::string &body)
{
    const nlohmann::json request = nlohmann::json::parse(body, nullptr, false);
    const bool isNamed = request.is_object() && request.contains("input_file_id") && request["input_file_id"].is_string();
    return isNamed ? std::optional(request["input_file_id"].get<std::string>()) : std::nullopt;
}

nlohmann::json progressJson(const JobId &id, const JobProgress &progress)
{
    return {{"id", id.value()},
            {"status", nameOf(progress.state)},
            {"model", progress.model},
            {"items", progress.itemCount},
            {"succeeded", progress.succeeded},
            {"failed", progress.failed},
            {"created_at", unixSeconds(progress.created)},
            {"due_at", unixSeconds(progress.due)}};
}

std::string resultLine(const ItemRecord &result, const std::optional<std::string> &customId)
{
    nlohmann::json line{{"index", result.index}};
    if (customId) {
        line["custom_id"] = *customId;
    }
    if (result.status == ItemStatus::Succeeded) {
        nlohmann::json response
            = isNestedTooDeep(result.body) ? nlohmann::json(result.body) : nlohmann::json::parse(result.body, nullptr, false);
        line["response"] = response.is_discarded() ? nlohmann::json(result.body) : std::move(response);
    } else {
        line["error"] = result.body;
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
}

/** @return the time in which a job is due, as its caller requests; zero: as the settings say. */
std::chrono::seconds dueIn(QueryNumbers &numbers)
{
    return std::chrono::seconds(numbers.number<std::uint32_t>("due_in", 0));
}

void refuseQuery(HttpReply &reply, const QueryNumbers &numbers)
{
    reply.send(refusalResponse({statusBadRequest, "bad_query", numbers.error(), RunState::NotRun, {}}));
}

void refuseUnreachable(HttpReply &reply)
{
    reply.send(
        refusalResponse({statusUnavailable, "no_owner", "no node can answer for this job now", RunState::NotRun, retryAfter}));
}

void refuseUnknownJob(HttpReply &reply)
{
    reply.send(refusalResponse({statusNotFound, "no_such_job", "there is no such job", RunState::NotRun, {}}));
}

void sendProgress(const JobId &job, HttpReply &reply, const std::optional<JobStatusResponse> &response)
{
    if (!response) {
        refuseUnreachable(reply);
    } else if (response->progress.state == JobState::Absent) {
        refuseUnknownJob(reply);
    } else {
        reply.send(jsonResponse(statusOk, progressJson(job, response->progress).dump() + '\n'));
    }
}

bool isOwned(const JobStatusResponse &response)
{
    return response.progress.state != JobState::NotOwner;
}

} // namespace

BatchApi::BatchApi(EntryContext &context) : context(context), customIds(context.platform.objects())
{
}

BodyHooks BatchApi::submit(const Caller &caller, const HttpRequest &head, const std::shared_ptr<HttpReply> &reply)
{
    QueryNumbers numbers(head.query);
    dueIn(numbers);
    if (!numbers.isValid()) {
        refuseQuery(*reply, numbers);
        return {};
    }
    /** Buffers the beginning of a body, until it is known whether it references a file or holds items. */
    struct BodyStart
    {
        std::string body;
        BodyHooks upload;
    };
    const auto start = std::make_shared<BodyStart>();
    start->upload = this->uploadJob(caller, head, reply);
    return {.onData =
                [start](std::string_view data) {
                    if (start->body.size() <= maxFileRequestBytes) {
                        start->body.append(data);
                        data = start->body.size() > maxFileRequestBytes ? std::string_view(start->body) : std::string_view();
                    }
                    start->upload.onData(data);
                },
            .onEnd =
                [this, start, caller, head, reply] {
                    if (start->body.size() > maxFileRequestBytes) {
                        start->upload.onEnd();
                    } else if (const auto file = requestedFileId(start->body)) {
                        this->submitFile(caller, head, *file, reply);
                    } else {
                        start->upload.onData(start->body);
                        start->upload.onEnd();
                    }
                },
            .onAborted = start->upload.onAborted};
}

BodyHooks BatchApi::uploadJob(const Caller &caller, const HttpRequest &head, const std::shared_ptr<HttpReply> &reply)
{
    // Adds a key to the head if it has none, so that the objects and the record of the job have the same id.
    HttpRequest headWithKey = head;
    headWithKey.headers.try_emplace("Idempotency-Key", randomHex(idBytes));
    const std::string folder = "items/" + jobIdOf(caller, headerValue(headWithKey.headers, "Idempotency-Key")).value() + '/';
    const auto upload
        = std::make_shared<JobUpload>(this->context, folder, reply, [this, caller, headWithKey, reply](StoredItems items) {
              this->submitItems(caller, headWithKey, std::move(items), reply);
          });
    return upload->hooks();
}

BodyHooks BatchApi::uploadFile(const Caller &caller, const std::shared_ptr<HttpReply> &reply)
{
    const std::string folder = "items/" + contentHash(caller.tenant.value()) + '/';
    const auto upload
        = std::make_shared<JobUpload>(this->context, folder, reply, [this, caller, reply](const StoredItems &items) {
              this->storeFile(caller, items, reply);
          });
    return upload->hooks();
}

void BatchApi::storeFile(const Caller &caller, const StoredItems &items, const std::shared_ptr<HttpReply> &reply)
{
    const std::string id = StoredFile::idOf(caller.tenant, items);
    this->context.platform.objects().putIfAbsent(
        StoredFile::keyOf(id), StoredFile::encode(caller.tenant, items), [id, items, reply](WriteOutcome outcome) {
            if (outcome != WriteOutcome::Done && outcome != WriteOutcome::Refused) {
                reply->send(refusalResponse({statusUnavailable,
                                             "not_stored",
                                             "the file could not be stored; send it again",
                                             RunState::NotRun,
                                             retryAfter}));
                return;
            }
            const nlohmann::json body{{"id", id}, {"object", "file"}, {"purpose", "batch"}, {"items", items.itemCount}};
            reply->send(jsonResponse(statusOk, body.dump() + '\n'));
        });
}

void BatchApi::submitFile(const Caller &caller,
                          const HttpRequest &head,
                          const std::string &file,
                          const std::shared_ptr<HttpReply> &reply)
{
    this->context.platform.objects().get(StoredFile::keyOf(file), [this, caller, head, reply](const ObjectResult &result) {
        if (result.outcome == ReadOutcome::Failed) {
            reply->send(
                refusalResponse({statusUnavailable, "no_platform", "the file cannot be read now", RunState::NotRun, retryAfter}));
            return;
        }
        auto items = StoredFile::decode(caller.tenant, result.content);
        if (!items) {
            reply->send(refusalResponse({statusNotFound, "no_such_file", "there is no such file", RunState::NotRun, {}}));
            return;
        }
        this->submitItems(caller, head, std::move(*items), reply);
    });
}

void BatchApi::submitItems(const Caller &caller,
                           const HttpRequest &head,
                           StoredItems items,
                           const std::shared_ptr<HttpReply> &reply)
{
    if (this->context.replicas.of(items.model).empty()) {
        reply->send(refusalResponse(
            {statusNotFound, "no_such_model", "no endpoint serves the model " + items.model, RunState::NotRun, {}}));
        return;
    }
    JobRecord job;
    job.jobId = jobIdOf(caller, headerValue(head.headers, "Idempotency-Key"));
    job.tenant = caller.tenant;
    job.fingerprint = items.fingerprint;
    job.model = items.model;
    job.created = this->context.clock.wallNow();
    QueryNumbers numbers(head.query);
    const std::chrono::seconds requested = dueIn(numbers);
    job.due = job.created + (requested.count() > 0 ? requested : this->context.settings->batch.due);
    job.itemCount = items.itemCount;
    job.itemsPerObject = items.itemsPerObject;
    job.itemObjects = std::move(items.objects);
    std::make_shared<JobSubmission>(this->context, std::move(job), std::move(items.idObjects), reply)->start();
}

void BatchApi::list(const Caller &caller, const std::string &query, const std::shared_ptr<HttpReply> &reply)
{
    QueryNumbers numbers(query);
    const std::uint32_t limit = std::clamp(numbers.number("limit", maxListedJobs), 1U, maxListedJobs);
    if (!numbers.isValid()) {
        refuseQuery(*reply, numbers);
        return;
    }
    this->context.owners.callAll<ListJobsRequest>(
        {caller.tenant, limit}, [limit, reply](const std::vector<ListJobsResponse> &responses, std::size_t unresponsiveNodes) {
            std::vector<ListedJob> jobs;
            for (const ListJobsResponse &response : responses) {
                jobs.insert(jobs.end(), response.jobs.begin(), response.jobs.end());
            }
            std::ranges::sort(jobs, [](const ListedJob &left, const ListedJob &right) {
                return left.progress.created > right.progress.created;
            });
            jobs.resize(std::min<std::size_t>(jobs.size(), limit));
            nlohmann::json data = nlohmann::json::array();
            for (const ListedJob &job : jobs) {
                data.push_back(progressJson(job.jobId, job.progress));
            }
            // A node that did not answer may own jobs that are missing here; is_complete reports this to the caller.
            const nlohmann::json body{{"data", data}, {"is_complete", unresponsiveNodes == 0}};
            reply->send(jsonResponse(statusOk, body.dump() + '\n'));
        });
}

void BatchApi::status(const Caller &caller, const JobId &job, const std::shared_ptr<HttpReply> &reply)
{
    this->context.owners.call<JobStatusRequest>(job.value(),
                                                {job, caller.tenant},
                                                std::chrono::milliseconds(0),
                                                this->context.clock.now() + timeout,
                                                isOwned,
                                                [job, reply](const std::optional<JobStatusResponse> &response) {
                                                    sendProgress(job, *reply, response);
                                                });
}

void BatchApi::cancel(const Caller &caller, const JobId &job, const std::shared_ptr<HttpReply> &reply)
{
    this->context.owners.call<CancelJobRequest>(job.value(),
                                                {job, caller.tenant},
                                                std::chrono::milliseconds(0),
                                                this->context.clock.now() + timeout,
                                                isOwned,
                                                [job, reply](const std::optional<JobStatusResponse> &response) {
                                                    sendProgress(job, *reply, response);
                                                });
}

void BatchApi::results(const Caller &caller, const JobId &job, const std::string &query, const std::shared_ptr<HttpReply> &reply)
{
    QueryNumbers numbers(query);
    const auto from = numbers.number<std::uint32_t>("from", 0);
    const std::uint32_t limit = numbers.number("limit", defaultResultsPerPage);
    if (!numbers.isValid()) {
        refuseQuery(*reply, numbers);
        return;
    }
    this->context.owners.call<JobResultsRequest>(
        job.value(),
        {job, caller.tenant, from, limit},
        std::chrono::milliseconds(0),
        this->context.clock.now() + timeout,
        [](const JobResultsResponse &response) {
            return response.state != JobState::NotOwner;
        },
        [this, job, reply](const std::optional<JobResultsResponse> &response) {
            if (!response) {
                refuseUnreachable(*reply);
            } else if (response->state == JobState::Absent) {
                refuseUnknownJob(*reply);
            } else {
                this->sendResults(job, *response, reply);
            }
        });
}

void BatchApi::sendResults(const JobId &job, const JobResultsResponse &response, const std::shared_ptr<HttpReply> &reply)
{
    const std::uint32_t first = response.results.empty() ? 0 : response.results.front().index;
    const std::uint32_t end = response.results.empty() ? 0 : response.results.back().index + 1;
    this->customIds.find(job, first, end - first, [response, first, reply](const std::optional<CustomIds::Ids> &ids) {
        if (!ids) {
            reply->send(refusalResponse(
                {statusUnavailable, "no_platform", "the items' custom ids cannot be read now", RunState::NotRun, retryAfter}));
            return;
        }
        std::string lines;
        for (const ItemRecord &result : response.results) {
            const std::size_t offset = result.index - first;
            lines += resultLine(result, offset < ids->size() ? (*ids)[offset] : std::nullopt);
        }
        HttpResponse page{statusOk, {{"Content-Type", "application/x-ndjson"}}, std::move(lines)};
        page.headers["Dogwoodkeel-Next"] = std::to_string(response.next);
        page.headers["Dogwoodkeel-Job"] = nameOf(response.state);
        reply->send(page);
    });
}

} // namespace Dogwoodkeel
