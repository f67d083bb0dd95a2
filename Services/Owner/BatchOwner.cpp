#include <Services/Owner/BatchOwner.h>

#include <LibBase/Encoding.h>
#include <LibBase/Hash.h>
#include <LibBase/Log.h>
#include <LibBatch/BacklogModels.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t itemCacheBytes = 16777216;
/** Results kept in memory before unfinished pages are moved to objects as well. */
constexpr std::size_t resultBytesInMemory = 16777216;
constexpr std::size_t movesAtOnce = 4;
constexpr std::size_t warningsAtOnce = 100;
constexpr std::chrono::milliseconds tickInterval{200};
constexpr std::chrono::milliseconds rateWindow{10000};
constexpr std::chrono::milliseconds warningInterval{10000};
/** How long a model stays advertised after its last item was leased, because each change is sent to every node. */
constexpr std::chrono::milliseconds backlogRetention{5000};
/** Delays of repeated notifications, as a datagram may be lost. Runners also detect a cancelled job on lease renewal. */
constexpr std::chrono::milliseconds notifyRetryDelays[] = {std::chrono::milliseconds(200), std::chrono::milliseconds(1000)};

std::shared_ptr<const std::vector<std::string>> splitLines(const std::string &content)
{
    auto lines = std::make_shared<std::vector<std::string>>();
    std::istringstream stream(content);
    for (std::string line; std::getline(stream, line);) {
        lines->push_back(std::move(line));
    }
    return lines;
}

} // namespace

struct BatchOwner::Pull
{
    PullItemsRequest request;
    Respond<PullItemsResponse> respond;
    std::map<std::size_t, std::vector<BatchItem>> read;
    std::size_t pending = 0;
};

struct BatchOwner::Commit
{
    Respond<CommitItemsResponse> respond;
    CommitItemsResponse response;
    std::size_t pending = 1;

    void finishOne()
    {
        if (--this->pending == 0) {
            this->respond(this->response);
        }
    }
};

BatchOwner::BatchOwner(Scheduler &scheduler,
                       const Clock &clock,
                       ShardKeeper &keeper,
                       JournalWriter &journal,
                       ObjectStore &objects,
                       NotifyStopped notifyStopped)
    : scheduler(scheduler)
    , clock(clock)
    , keeper(keeper)
    , journal(journal)
    , objects(objects)
    , notifyStopped(std::move(notifyStopped))
    , view(std::make_shared<MemberView>(std::vector<Member>()))
    , items(objects, itemCacheBytes, splitLines)
    , resultReader(objects)
    , schedule({})
{
}

BatchOwner::~BatchOwner()
{
    *this->alive = false;
}

void BatchOwner::serve(PeerServer &server)
{
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
    server.handle<ReturnItemsRequest>([this](const auto &request, auto respond) {
        this->returnItems(request, respond);
    });
}

void BatchOwner::start()
{
    this->tick();
}

void BatchOwner::setView(MemberViewPointer view)
{
    for (const Member &member : this->view->members()) {
        if (view->find(member.session) != nullptr) {
            continue;
        }
        // The runner is considered failed. If it still runs, its results count if they arrive first.
        for (const auto &[shard, state] : this->keeper.owned()) {
            state->jobs.removeRunner(member.session);
        }
    }
    this->view = std::move(view);
}

void BatchOwner::tick()
{
    this->refreshSchedule();
    this->moveResults();
    if (this->clock.now() - this->lastWarning >= warningInterval) {
        this->lastWarning = this->clock.now();
        this->warnOfLateJobs();
    }
    this->scheduler.schedule(tickInterval, [this, alive = this->alive] {
        if (*alive) {
            this->tick();
        }
    });
}

void BatchOwner::refreshSchedule()
{
    const auto &owned = this->keeper.owned();
    std::erase_if(this->scheduled, [this, &owned](const auto &entry) {
        const auto found = owned.find(entry.first);
        if (found != owned.end() && found->second->row.epoch == entry.second.epoch) {
            return false;
        }
        for (const JobId &job : entry.second.jobs) {
            this->schedule.remove(job);
        }
        return true;
    });
    for (const auto &[shard, state] : owned) {
        state->jobs.expire();
        Scheduled &known = this->scheduled[shard];
        known.epoch = state->row.epoch;
        for (const JobDemand &demand : state->jobs.drainChanged()) {
            this->schedule.update(demand);
            if (demand.remaining > 0) {
                known.jobs.insert(demand.jobId);
            } else {
                known.jobs.erase(demand.jobId);
            }
        }
    }
    for (auto &[model, rate] : this->rates) {
        this->schedule.setTimePerItem(model, rate.timePerItem());
    }
}

void BatchOwner::warnOfLateJobs()
{
    for (const JobId &id : this->schedule.startingBefore(this->clock.wallNow(), warningsAtOnce)) {
        ShardState *const state = this->stateOf(id);
        if (state == nullptr || !state->jobs.markWarned(id)) {
            continue;
        }
        const JobDemand demand = state->jobs.demand(id);
        const auto time = this->schedule.timePerItem(demand.model) * demand.remaining;
        log(LogLevel::Warning,
            "batch job will be late",
            {{"job", id.value()},
             {"tenant", demand.tenant.value()},
             {"remaining", static_cast<std::int64_t>(demand.remaining)},
             {"work_seconds", std::chrono::duration<double>(time).count()},
             {"due_in_seconds", std::chrono::duration<double>(demand.due - this->clock.wallNow()).count()}});
    }
}

Backlog BatchOwner::backlog()
{
    this->refreshSchedule();
    Backlog found;
    const SteadyTime now = this->clock.now();
    for (const std::string &model : this->schedule.models()) {
        this->lastBacklog[model] = now;
        found.items += static_cast<std::uint32_t>(this->schedule.waiting(model));
    }
    std::erase_if(this->lastBacklog, [now](const auto &entry) {
        return now - entry.second > backlogRetention;
    });
    for (const auto &[model, seen] : this->lastBacklog) {
        found.models |= backlogBit(model);
        found.items = std::max(found.items, 1U);
    }
    return found;
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

const Job *BatchOwner::jobOf(ShardState *state, const JobId &id, const WorkspaceName &tenant) const
{
    const Job *const job = state->jobs.find(id);
    return job != nullptr && job->isDurable && job->record().tenant == tenant ? job : nullptr;
}

JobProgress BatchOwner::progressOf(const ShardState &state, const JobId &id) const
{
    JobProgress progress = state.jobs.progress(id);
    const auto time = this->schedule.timePerItem(progress.model);
    if (progress.state == JobState::Running && time.count() > 0) {
        const std::uint32_t remaining = progress.itemCount - progress.succeeded - progress.failed;
        progress.expectedEnd = this->clock.wallNow() + std::chrono::duration_cast<WallTime::duration>(time * remaining);
    }
    return progress;
}

void BatchOwner::status(const JobStatusRequest &request, const Respond<JobStatusResponse> &respond)
{
    ShardState *const state = this->stateOf(request.jobId);
    if (state == nullptr) {
        respond({{.state = JobState::NotOwner}});
        return;
    }
    if (this->jobOf(state, request.jobId, request.tenant) == nullptr) {
        this->confirmAbsent(request.jobId, [respond](JobState found) {
            respond({{.state = found}});
        });
        return;
    }
    respond({this->progressOf(*state, request.jobId)});
}

void BatchOwner::confirmAbsent(const JobId &id, const std::function<void(JobState)> &reported)
{
    // Another node may have acquired the shard unnoticed by this one and may have accepted the job. Accepted work must
    // not be reported as unknown, so the row of the shard is read first.
    this->keeper.confirmOwned(this->keeper.shardOf(id.value()), [reported](bool isOwned) {
        reported(isOwned ? JobState::Absent : JobState::NotOwner);
    });
}

void BatchOwner::list(const ListJobsRequest &request, const Respond<ListJobsResponse> &respond)
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

void BatchOwner::cancel(const CancelJobRequest &request, const Respond<JobStatusResponse> &respond)
{
    const ShardNumber shard = this->keeper.shardOf(request.jobId.value());
    ShardState *const state = this->keeper.find(shard);
    if (state == nullptr) {
        respond({{.state = JobState::NotOwner}});
        return;
    }
    if (this->jobOf(state, request.jobId, request.tenant) == nullptr) {
        this->confirmAbsent(request.jobId, [respond](JobState found) {
            respond({{.state = found}});
        });
        return;
    }
    const CancelRecord record{request.jobId};
    this->append(shard, RecordKind::Cancel, record, [this, shard, record, respond](AppendOutcome outcome) {
        ShardState *const state = this->keeper.find(shard);
        if (outcome == AppendOutcome::Fenced || state == nullptr) {
            respond({{.state = JobState::NotOwner}});
            return;
        }
        const Job *const job = state->jobs.find(record.jobId);
        const std::vector<SessionNumber> runners = job != nullptr ? job->leases().runners() : std::vector<SessionNumber>();
        state->jobs.apply(record);
        this->notifyRunners(record.jobId, runners);
        respond({this->progressOf(*state, record.jobId)});
    });
}

void BatchOwner::notifyRunners(const JobId &job, const std::vector<SessionNumber> &runners)
{
    std::vector<Address> lanes;
    for (const SessionNumber runner : runners) {
        if (const Member *const member = this->view->find(runner)) {
            lanes.push_back(member->lane);
        }
    }
    const auto notify = [this, job, lanes, alive = this->alive] {
        for (const Address &lane : lanes) {
            if (*alive && this->notifyStopped) {
                this->notifyStopped(lane, {job});
            }
        }
    };
    notify();
    for (const std::chrono::milliseconds delay : notifyRetryDelays) {
        this->scheduler.schedule(delay, notify);
    }
}

void BatchOwner::results(const JobResultsRequest &request, const Respond<JobResultsResponse> &respond)
{
    ShardState *const state = this->stateOf(request.jobId);
    if (state == nullptr) {
        respond({.state = JobState::NotOwner});
        return;
    }
    const Job *const job = this->jobOf(state, request.jobId, request.tenant);
    if (job == nullptr) {
        this->confirmAbsent(request.jobId, [respond](JobState found) {
            respond({.state = found});
        });
        return;
    }
    this->resultReader.read(request, job->resultsFrom(request.from), respond);
}

std::vector<LeasedItems> BatchOwner::leaseNext(const PullItemsRequest &request)
{
    std::vector<LeasedItems> leased;
    std::uint32_t free = request.limit;
    while (free > 0) {
        const std::optional<JobId> id = this->schedule.next(request.model);
        ShardState *const state = id ? this->stateOf(*id) : nullptr;
        if (state == nullptr) {
            break;
        }
        const auto items = state->jobs.lease(*id, free, request.runner);
        if (items) {
            this->schedule.leased(*id, items->span.count);
            free -= items->span.count;
            leased.push_back(*items);
        }
        this->schedule.update(state->jobs.demand(*id));
    }
    return leased;
}

void BatchOwner::pull(const PullItemsRequest &request, const Respond<PullItemsResponse> &respond)
{
    this->refreshSchedule();
    const std::vector<LeasedItems> leased = this->leaseNext(request);
    const auto pull = std::make_shared<Pull>(Pull{request, respond, {}, leased.size() + 1});
    for (const LeasedItems &each : leased) {
        this->readLeased(pull, each);
    }
    if (--pull->pending == 0) {
        this->answerPull(*pull);
    }
}

void BatchOwner::answerPull(Pull &pull)
{
    PullItemsResponse response;
    for (auto &[order, items] : pull.read) {
        std::ranges::move(items, std::back_inserter(response.items));
    }
    response.waiting = static_cast<std::uint32_t>(this->schedule.waiting(pull.request.model));
    response.latestStart = this->schedule.latestStart(pull.request.model).value_or(WallTime());
    pull.respond(response);
}

void BatchOwner::readLeased(const std::shared_ptr<Pull> &pull, const LeasedItems &leased)
{
    const JobRecord &job = this->stateOf(leased.jobId)->jobs.find(leased.jobId)->record();
    const std::uint32_t object = leased.span.first / job.itemsPerObject;
    const std::uint32_t line = leased.span.first % job.itemsPerObject;
    const std::size_t order = pull->read.size();
    pull->read.emplace(order, std::vector<BatchItem>());
    const BatchItem blank{leased.jobId, 0, job.tenant, job.due, {}};
    this->items.read(job.itemObjects.at(object),
                     [this, pull, leased, line, order, blank](const std::shared_ptr<const Lines> &lines) {
                         for (std::uint32_t i = 0; i < leased.span.count; ++i) {
                             BatchItem item = blank;
                             item.index = leased.span.first + i;
                             if (lines != nullptr && line + i < lines->size()) {
                                 item.body = (*lines)[line + i];
                                 pull->read[order].push_back(std::move(item));
                             } else if (ShardState *const state = this->stateOf(leased.jobId)) {
                                 state->jobs.returnItem(leased.jobId, item.index, pull->request.runner);
                             }
                         }
                         if (--pull->pending == 0) {
                             this->answerPull(*pull);
                         }
                     });
    // Prefetches the next object, one ahead.
    const bool isPastHalf = (line + leased.span.count) * 2 > job.itemsPerObject;
    if (isPastHalf && object + 1 < job.itemObjects.size()) {
        this->items.read(job.itemObjects[object + 1], [](const std::shared_ptr<const Lines> &) {});
    }
}

void BatchOwner::commitItems(const CommitItemsRequest &request, const Respond<CommitItemsResponse> &respond)
{
    const auto commit = std::make_shared<Commit>(Commit{respond, {.isJournalled = true, .notOwned = {}}});
    for (const ItemRecord &result : request.results) {
        this->commitOne(commit, result);
    }
    commit->finishOne();
}

void BatchOwner::commitOne(const std::shared_ptr<Commit> &commit, const ItemRecord &result)
{
    const ShardNumber shard = this->keeper.shardOf(result.jobId.value());
    ShardState *const state = this->keeper.find(shard);
    if (state == nullptr) {
        commit->response.notOwned.push_back(result.jobId);
        return;
    }
    if (state->jobs.commit(result) != ItemVerdict::Journal) {
        return;
    }
    ++commit->pending;
    this->append(shard, RecordKind::Item, result, [this, shard, result, commit](AppendOutcome outcome) {
        ShardState *const state = this->keeper.find(shard);
        if (outcome == AppendOutcome::Fenced) {
            commit->response.notOwned.push_back(result.jobId);
        } else if (state != nullptr) {
            state->jobs.apply(result);
            const std::string &model = state->jobs.demand(result.jobId).model;
            this->rates.try_emplace(model, this->clock, rateWindow).first->second.finished(1);
        }
        commit->finishOne();
    });
}

void BatchOwner::moveResults()
{
    for (const auto &[shard, state] : this->keeper.owned()) {
        while (this->moving < movesAtOnce) {
            const auto draft = state->jobs.nextDraft(resultBytesInMemory);
            if (!draft) {
                break;
            }
            this->move(shard, *draft);
        }
    }
}

void BatchOwner::move(ShardNumber shard, const PageDraft &draft)
{
    ++this->moving;
    const std::string content = encode(ResultPage{draft.results});
    const std::uint64_t hash = stableHash(content);
    // The key contains a hash of the content, so a repeated write after a lost response, or by the next owner, yields the
    // same object.
    const std::string key = "results/" + draft.jobId.value() + '/' + std::to_string(draft.page) + '-'
        + encodeHex(std::string_view(reinterpret_cast<const char *>(&hash), sizeof(hash)));
    this->objects.putIfAbsent(key, content, [this, shard, draft, key, alive = this->alive](WriteOutcome outcome) {
        if (!*alive) {
            return;
        }
        --this->moving;
        ShardState *const state = this->keeper.find(shard);
        if (state == nullptr || state->jobs.find(draft.jobId) == nullptr) {
            return;
        }
        if (outcome != WriteOutcome::Done && outcome != WriteOutcome::Refused) {
            state->jobs.discardDraft(draft);
            return;
        }
        const PageRecord record = state->jobs.recordOf(draft, key);
        this->append(shard, RecordKind::Page, record, [this, shard, record](AppendOutcome outcome) {
            ShardState *const state = this->keeper.find(shard);
            if (outcome == AppendOutcome::Written && state != nullptr) {
                state->jobs.apply(record);
            }
        });
    });
}

void BatchOwner::renew(const RenewItemsRequest &request, const Respond<RenewItemsResponse> &respond)
{
    RenewItemsResponse response;
    for (const HeldItems &held : request.held) {
        ShardState *const state = this->stateOf(held.jobId);
        // Only a job that is known to have ended is reported as stopped. If an unknown job were reported so, its runner
        // would drop its items and for a while reject further items of the job.
        if (state == nullptr || state->jobs.find(held.jobId) == nullptr) {
            response.notOwned.push_back(held.jobId);
            continue;
        }
        HeldItems lost{held.jobId, {}};
        if (!state->jobs.renew(held, request.runner, lost.spans)) {
            response.stopped.push_back(held.jobId);
        } else if (!lost.spans.empty()) {
            response.lost.push_back(std::move(lost));
        }
    }
    respond(response);
}

void BatchOwner::returnItems(const ReturnItemsRequest &request, const Respond<ReturnItemsResponse> &respond)
{
    ReturnItemsResponse response;
    for (const HeldItems &held : request.items) {
        ShardState *const state = this->stateOf(held.jobId);
        if (state == nullptr) {
            response.notOwned.push_back(held.jobId);
            continue;
        }
        for (const ItemSpan &span : held.spans) {
            const Job *const job = state->jobs.find(held.jobId);
            const std::uint32_t end = job != nullptr ? std::min(span.first + span.count, job->record().itemCount) : 0;
            for (std::uint32_t index = span.first; index < end; ++index) {
                state->jobs.returnItem(held.jobId, index, request.runner);
            }
        }
    }
    respond(response);
}

} // namespace Dogwoodkeel
