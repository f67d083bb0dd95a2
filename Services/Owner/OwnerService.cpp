#include <Services/Owner/OwnerService.h>

#include <LibWire/Codec.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t itemObjectsKept = 64;
constexpr std::size_t resultsPerPage = 1000;
/** How long a commit may wait for the platform before its runner is told that the result is held. */
constexpr std::chrono::milliseconds holdAfter{500};

JournalWriter::Options journalOptions(const Settings &settings)
{
    JournalWriter::Options options;
    options.groupInterval = settings.owner.groupInterval;
    options.rowBytes = static_cast<std::size_t>(settings.platform.rowBytes);
    return options;
}

ShardKeeper::Options keeperOptions(const Settings &settings)
{
    ShardKeeper::Options options;
    options.shards = static_cast<std::uint32_t>(settings.owner.shards);
    options.claimLease = settings.owner.claimLease;
    options.itemLease = settings.batch.itemLease;
    options.strangerGrace = settings.membership.suspicion * 3;
    return options;
}

/** Answers once, whatever comes first. */
template <typename Response>
std::function<void(const Response &)> onlyOnce(std::function<void(const Response &)> respond)
{
    return [answered = std::make_shared<bool>(false), respond = std::move(respond)](const Response &response) {
        if (!std::exchange(*answered, true)) {
            respond(response);
        }
    };
}

} // namespace

OwnerService::OwnerService(
    Scheduler &scheduler, const Clock &clock, Platform &platform, const Settings &settings, SessionNumber self)
    : scheduler(scheduler)
    , settings(settings)
    , journal(platform, scheduler, clock, self, journalOptions(settings))
    , keeper(platform, scheduler, clock, self, this->journal, keeperOptions(settings))
    , items(platform.objects(), itemObjectsKept)
{
}

OwnerService::~OwnerService()
{
    *this->alive = false;
}

void OwnerService::serve(PeerServer &server)
{
    server.handle<ClaimRequest>([this](const auto &request, auto respond) {
        this->claim(request, respond);
    });
    server.handle<CommitRequest>([this](const auto &request, auto respond) {
        this->commit(request, respond);
    });
    server.handle<ReleaseRequest>([this](const auto &request, auto respond) {
        this->release(request, respond);
    });
    server.handle<ResultRequest>([this](const auto &request, auto respond) {
        this->result(request, respond);
    });
    server.handle<SubmitJobRequest>([this](const auto &request, auto respond) {
        this->submit(request, respond);
    });
    server.handle<JobStatusRequest>([this](const auto &request, auto respond) {
        this->status(request, respond);
    });
    server.handle<ListJobsRequest>([this](const auto &request, auto respond) {
        this->list(request, respond);
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

void OwnerService::start()
{
    this->keeper.start();
}

void OwnerService::setView(MemberViewPointer view)
{
    this->keeper.setView(std::move(view));
}

void OwnerService::stop(std::function<void()> stopped)
{
    this->keeper.releaseAll(std::move(stopped));
}

std::size_t OwnerService::backlog() const
{
    std::size_t count = 0;
    for (const auto &[shard, state] : this->keeper.owned()) {
        count += state->jobs.waiting();
    }
    return count;
}

std::size_t OwnerService::shardCount() const
{
    return this->keeper.owned().size();
}

const JournalWriter &OwnerService::journalWriter() const
{
    return this->journal;
}

ShardState *OwnerService::stateOf(const std::string &id)
{
    return this->keeper.find(this->keeper.shardOf(id));
}

template <typename Record>
void OwnerService::append(ShardNumber shard, RecordKind kind, const Record &record, const JournalWriter::Appended &appended)
{
    this->journal.append({shard, kind, encode(record)}, appended);
}

void OwnerService::claim(const ClaimRequest &request, const Respond<ClaimResponse> &respond)
{
    ShardState *const state = this->stateOf(request.requestId.value());
    if (state == nullptr) {
        respond({ClaimDecision::NotOwner, {}});
        return;
    }
    if (request.isNonIdempotent && this->journal.isStalled()
        && state->requests.state(request.requestId) == RequestState::Absent) {
        // Its intent could not be journalled now, and without that it must not run.
        respond({ClaimDecision::Unavailable, {}});
        return;
    }
    switch (state->requests.claim(request)) {
    case ClaimVerdict::Run:
        respond({ClaimDecision::Run, {}});
        return;
    case ClaimVerdict::RunAfterIntent:
        this->writeIntent(request, respond);
        return;
    case ClaimVerdict::Join:
        this->join(request, respond);
        return;
    case ClaimVerdict::Done:
        respond({ClaimDecision::Done, *state->requests.answer(request.requestId)});
        return;
    case ClaimVerdict::Mismatch:
        respond({ClaimDecision::Mismatch, {}});
        return;
    case ClaimVerdict::OutcomeUnknown:
        respond({ClaimDecision::OutcomeUnknown, {}});
        return;
    }
}

void OwnerService::writeIntent(const ClaimRequest &request, const Respond<ClaimResponse> &respond)
{
    const ShardNumber shard = this->keeper.shardOf(request.requestId.value());
    const IntentRecord record{request.requestId, request.fingerprint};
    this->append(shard, RecordKind::Intent, record, [this, shard, request, respond](AppendOutcome outcome) {
        ShardState *const state = this->keeper.find(shard);
        const bool isDurable = outcome == AppendOutcome::Written;
        if (state != nullptr) {
            state->requests.intentJournalled(request.requestId, isDurable);
        }
        respond({isDurable ? ClaimDecision::Run : ClaimDecision::NotOwner, {}});
    });
}

void OwnerService::join(const ClaimRequest &request, const Respond<ClaimResponse> &respond)
{
    const auto answer = onlyOnce<ClaimResponse>(respond);
    ShardState *const state = this->stateOf(request.requestId.value());
    state->requests.await(request.requestId, [this, request, answer, alive = this->alive] {
        // Told from inside the table: looked at again from the loop.
        this->scheduler.schedule(std::chrono::milliseconds(0), [this, request, answer, alive] {
            if (*alive) {
                this->claim(request, answer);
            }
        });
    });
    this->scheduler.schedule(request.wait, [answer] {
        answer({ClaimDecision::StillRunning, {}});
    });
}

void OwnerService::commit(const CommitRequest &request, const Respond<CommitResponse> &respond)
{
    ShardState *const state = this->stateOf(request.requestId.value());
    if (state == nullptr) {
        respond({CommitDecision::NotOwner, {}});
        return;
    }
    const auto answer = onlyOnce<CommitResponse>(respond);
    switch (state->requests.commit(request)) {
    case CommitVerdict::Superseded:
        answer({CommitDecision::Superseded, *state->requests.answer(request.requestId)});
        return;
    case CommitVerdict::Journal:
        this->writeResult(request, answer);
        break;
    case CommitVerdict::Wait:
        state->requests.await(request.requestId, [this, request, answer] {
            ShardState *const state = this->stateOf(request.requestId.value());
            const Answer *const first = state != nullptr ? state->requests.answer(request.requestId) : nullptr;
            answer(first != nullptr ? CommitResponse{CommitDecision::Superseded, *first}
                                    : CommitResponse{CommitDecision::NotOwner, {}});
        });
        break;
    }
    this->scheduler.schedule(holdAfter, [answer] {
        answer({CommitDecision::Held, {}});
    });
}

void OwnerService::writeResult(const CommitRequest &request, const Respond<CommitResponse> &respond)
{
    const ShardNumber shard = this->keeper.shardOf(request.requestId.value());
    const ResultRecord record{request.requestId, request.fingerprint, request.answer};
    this->append(shard, RecordKind::Result, record, [this, shard, id = request.requestId, respond](AppendOutcome outcome) {
        if (outcome == AppendOutcome::Fenced) {
            respond({CommitDecision::NotOwner, {}});
            return;
        }
        if (ShardState *const state = this->keeper.find(shard)) {
            state->requests.resultJournalled(id);
        }
        respond({CommitDecision::Committed, {}});
    });
}

void OwnerService::release(const ReleaseRequest &request, const Respond<ReleaseResponse> &respond)
{
    ShardState *const state = this->stateOf(request.requestId.value());
    respond({state != nullptr && state->requests.release(request)});
}

void OwnerService::result(const ResultRequest &request, const Respond<ResultResponse> &respond)
{
    ShardState *const state = this->stateOf(request.requestId.value());
    if (state == nullptr) {
        respond({RequestState::NotOwner, {}});
        return;
    }
    const Answer *const answer = state->requests.answer(request.requestId);
    respond({state->requests.state(request.requestId), answer != nullptr ? *answer : Answer()});
}

void OwnerService::submit(const SubmitJobRequest &request, const Respond<SubmitJobResponse> &respond)
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

const JobRecord *OwnerService::jobOf(ShardState *state, const JobId &id, const TenantName &tenant) const
{
    const JobRecord *const job = state->jobs.job(id);
    return job != nullptr && job->tenant == tenant ? job : nullptr;
}

void OwnerService::status(const JobStatusRequest &request, const Respond<JobStatusResponse> &respond)
{
    ShardState *const state = this->stateOf(request.jobId.value());
    if (state == nullptr) {
        respond({{.state = JobState::NotOwner}});
        return;
    }
    const bool isKnown = this->jobOf(state, request.jobId, request.tenant) != nullptr;
    respond({isKnown ? state->jobs.progress(request.jobId) : JobProgress()});
}

void OwnerService::list(const ListJobsRequest &request, const Respond<ListJobsResponse> &respond)
{
    ListJobsResponse response;
    for (const auto &[shard, state] : this->keeper.owned()) {
        const std::vector<ListedJob> listed = state->jobs.list(request.tenant, request.limit);
        response.jobs.insert(response.jobs.end(), listed.begin(), listed.end());
    }
    std::ranges::sort(response.jobs, [](const ListedJob &left, const ListedJob &right) {
        return left.progress.created > right.progress.created;
    });
    response.jobs.resize(std::min<std::size_t>(response.jobs.size(), request.limit));
    respond(response);
}

void OwnerService::cancel(const CancelJobRequest &request, const Respond<JobStatusResponse> &respond)
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

void OwnerService::results(const JobResultsRequest &request, const Respond<JobResultsResponse> &respond)
{
    ShardState *const state = this->stateOf(request.jobId.value());
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

void OwnerService::pull(const PullItemsRequest &request, const Respond<PullItemsResponse> &respond)
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
        const JobRecord job = *this->stateOf(place.jobId.value())->jobs.job(place.jobId);
        this->items.read(job, place.index, [this, pull, job, place, respond](std::optional<std::string> body) {
            if (body) {
                pull->response.items.push_back({place.jobId, place.index, job.tenant, job.due, std::move(*body)});
            } else if (ShardState *const state = this->stateOf(place.jobId.value())) {
                state->jobs.unlease(place);
            }
            if (--pull->pending == 0) {
                respond(pull->response);
            }
        });
    }
}

void OwnerService::commitItems(const CommitItemsRequest &request, const Respond<CommitItemsResponse> &respond)
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

void OwnerService::renew(const RenewItemsRequest &request, const Respond<RenewItemsResponse> &respond)
{
    RenewItemsResponse response;
    for (const JobId &job : request.jobs) {
        ShardState *const state = this->stateOf(job.value());
        if (state != nullptr && !state->jobs.renew(job, request.runner)) {
            response.stopped.push_back(job);
        }
    }
    respond(response);
}

} // namespace Dogwoodkeel
