#include <Services/Owner/BatchOwner.h>

#include <LibWire/Codec.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t itemObjectsKept = 64;
constexpr std::size_t resultsPerPage = 1000;

} // namespace

BatchOwner::BatchOwner(ShardKeeper &keeper, JournalWriter &journal, ObjectStore &objects)
    : keeper(keeper), journal(journal), items(objects, itemObjectsKept)
{
}

void BatchOwner::serve(PeerServer &server)
{
    server.handle<SubmitJobRequest>([this](const auto &request, auto respond) {
        this->submit(request, respond);
    });
    server.handle<JobStatusRequest>([this](const auto &request, auto respond) {
        this->status(request, respond);
    });
    server.handle<CancelJobRequest>([this](const auto &request, auto respond) {
        this->cancel(request, respond);
    });
    server.handle<JobResultsRequest>([this](const auto &request, auto respond) {
        this->results(request, respond);
    });
    server.handle<PullItemsRequest>([this](const auto &request, auto respond) {
        this->pull(request, respond);
    });
    server.handle<CommitItemsRequest>([this](const auto &request, auto respond) {
        this->commitItems(request, respond);
    });
    server.handle<RenewItemsRequest>([this](const auto &request, auto respond) {
        this->renew(request, respond);
    });
}

std::size_t BatchOwner::backlog() const
{
    std::size_t count = 0;
    for (const auto &[shard, state] : this->keeper.owned()) {
        count += state->jobs.waiting();
    }
    return count;
}

ShardState *BatchOwner::stateOf(const JobId &id)
{
    return this->keeper.find(this->keeper.shardOf(id.value()));
}

template <typename Record>
void BatchOwner::append(ShardNumber shard, RecordKind kind, const Record &record, const JournalWriter::Appended &appended)
{
    this->journal.append({shard, kind, encode(record)}, appended);
}

void BatchOwner::submit(const SubmitJobRequest &request, const Respond<SubmitJobResponse> &respond)
{
    const ShardNumber shard = this->keeper.shardOf(request.job.jobId.value());
    ShardState *const state = this->keeper.find(shard);
    if (state == nullptr) {
        respond({SubmitDecision::NotOwner});
        return;
    }
    const JobTable::Submission submission = state->jobs.submit(request.job);
    if (!submission.isNew) {
        respond({submission.decision});
        return;
    }
    this->append(shard, RecordKind::Job, request.job, [this, shard, job = request.job, respond](AppendOutcome outcome) {
        if (outcome == AppendOutcome::Fenced) {
            respond({SubmitDecision::NotOwner});
            return;
        }
        if (ShardState *const state = this->keeper.find(shard)) {
            state->jobs.apply(job);
        }
        respond({SubmitDecision::Accepted});
    });
}

const JobRecord *BatchOwner::jobOf(ShardState *state, const JobId &id, const TenantName &tenant) const
{
    const JobRecord *const job = state->jobs.job(id);
    return job != nullptr && job->tenant == tenant ? job : nullptr;
}

void BatchOwner::status(const JobStatusRequest &request, const Respond<JobStatusResponse> &respond)
{
    ShardState *const state = this->stateOf(request.jobId);
    if (state == nullptr) {
        respond({{.state = JobState::NotOwner}});
        return;
    }
    const bool isKnown = this->jobOf(state, request.jobId, request.tenant) != nullptr;
    respond({isKnown ? state->jobs.progress(request.jobId) : JobProgress()});
}

void BatchOwner::cancel(const CancelJobRequest &request, const Respond<JobStatusResponse> &respond)
{
    const ShardNumber shard = this->keeper.shardOf(request.jobId.value());
    ShardState *const state = this->keeper.find(shard);
    if (state == nullptr) {
        respond({{.state = JobState::NotOwner}});
        return;
    }
    if (this->jobOf(state, request.jobId, request.tenant) == nullptr) {
        respond({});
        return;
    }
    const CancelRecord record{request.jobId};
    this->append(shard, RecordKind::Cancel, record, [this, shard, record, respond](AppendOutcome outcome) {
        ShardState *const state = this->keeper.find(shard);
        if (outcome == AppendOutcome::Fenced || state == nullptr) {
            respond({{.state = JobState::NotOwner}});
            return;
        }
        state->jobs.apply(record);
        respond({state->jobs.progress(record.jobId)});
    });
}

void BatchOwner::results(const JobResultsRequest &request, const Respond<JobResultsResponse> &respond)
{
    ShardState *const state = this->stateOf(request.jobId);
    if (state == nullptr) {
        respond({.state = JobState::NotOwner});
        return;
    }
    if (this->jobOf(state, request.jobId, request.tenant) == nullptr) {
        respond({});
        return;
    }
    const std::size_t limit = std::min<std::size_t>(request.limit, resultsPerPage);
    respond(state->jobs.results(request.jobId, request.from, limit));
}

void BatchOwner::pull(const PullItemsRequest &request, const Respond<PullItemsResponse> &respond)
{
    struct Pull
    {
        PullItemsResponse response;
        std::size_t pending = 0;
    };
    const auto pull = std::make_shared<Pull>();
    std::vector<ItemPlace> places;
    for (const auto &[shard, state] : this->keeper.owned()) {
        if (places.size() < request.limit) {
            std::ranges::move(state->jobs.lease(request.model, request.limit - places.size(), request.runner),
                              std::back_inserter(places));
        }
    }
    pull->pending = places.size();
    if (places.empty()) {
        respond({});
        return;
    }
    for (const ItemPlace &place : places) {
        const JobRecord job = *this->stateOf(place.jobId)->jobs.job(place.jobId);
        this->items.read(job, place.index, [this, pull, job, place, respond](std::optional<std::string> body) {
            if (body) {
                pull->response.items.push_back({place.jobId, place.index, job.tenant, job.due, std::move(*body)});
            } else if (ShardState *const state = this->stateOf(place.jobId)) {
                state->jobs.unlease(place);
            }
            if (--pull->pending == 0) {
                respond(pull->response);
            }
        });
    }
}

void BatchOwner::commitItems(const CommitItemsRequest &request, const Respond<CommitItemsResponse> &respond)
{
    struct Commit
    {
        CommitItemsResponse response{.isJournalled = true};
        std::size_t pending = 1;
    };
    const auto commit = std::make_shared<Commit>();
    const auto finishOne = [commit, respond] {
        if (--commit->pending == 0) {
            respond(commit->response);
        }
    };
    for (const ItemRecord &result : request.results) {
        const ShardNumber shard = this->keeper.shardOf(result.jobId.value());
        ShardState *const state = this->keeper.find(shard);
        if (state == nullptr) {
            commit->response.notOwned.push_back(result.jobId);
            continue;
        }
        if (state->jobs.commit(result) != ItemVerdict::Journal) {
            continue;
        }
        ++commit->pending;
        this->append(shard, RecordKind::Item, result, [this, shard, result, commit, finishOne](AppendOutcome outcome) {
            ShardState *const state = this->keeper.find(shard);
            if (outcome == AppendOutcome::Fenced) {
                commit->response.notOwned.push_back(result.jobId);
            } else if (state != nullptr) {
                state->jobs.apply(result);
            }
            finishOne();
        });
    }
    finishOne();
}

void BatchOwner::renew(const RenewItemsRequest &request, const Respond<RenewItemsResponse> &respond)
{
    RenewItemsResponse response;
    for (const JobId &job : request.jobs) {
        ShardState *const state = this->stateOf(job);
        if (state != nullptr && !state->jobs.renew(job, request.runner)) {
            response.stopped.push_back(job);
        }
    }
    respond(response);
}

} // namespace Dogwoodkeel
