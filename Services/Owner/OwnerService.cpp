#include <Services/Owner/OwnerService.h>

#include <LibWire/Codec.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** How long a commit may wait for the platform before the runner gets the answer that the result is held. */
constexpr std::chrono::milliseconds holdAfter{500};
/** How long an intent may wait for the platform before the claimer gets the answer that the request was not run. */
constexpr std::chrono::milliseconds intentTimeout{1000};

ShardKeeper::Options keeperOptions(const Settings &settings, std::function<void(const Member &)> onReleased)
{
    ShardKeeper::Options options;
    options.shards = static_cast<std::uint32_t>(settings.owner.shards);
    options.state.claimLease = settings.owner.claimLease;
    options.state.itemLease = settings.batch.itemLease;
    options.state.recentBytes = static_cast<std::size_t>(settings.owner.recentBytes);
    options.checkpoint.bytes = static_cast<std::size_t>(settings.owner.checkpointBytes);
    options.checkpoint.groups = static_cast<std::uint64_t>(settings.owner.checkpointGroups);
    options.checkpoint.retention = settings.owner.resultRetention;
    options.unknownOwnerTimeout = settings.membership.suspicion * 3;
    options.pauseLimit = settings.membership.suspicion;
    options.onReleased = std::move(onReleased);
    return options;
}

/** Sends only the first of several possible responses. */
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

OwnerService::OwnerService(Scheduler &scheduler,
                           const Clock &clock,
                           Platform &platform,
                           const SettingsHandle &settings,
                           SessionNumber self,
                           std::function<void()> onFenced,
                           BatchOwner::NotifyStopped notifyStopped,
                           std::function<void(const Member &)> onReleased)
    : scheduler(scheduler)
    , settings(settings)
    , onFenced(std::move(onFenced))
    , journal(platform, scheduler, clock, self, this->journalOptions())
    , keeper(platform, scheduler, clock, self, this->journal, keeperOptions(settings.current(), std::move(onReleased)))
    , batch(scheduler, clock, this->keeper, this->journal, platform.objects(), std::move(notifyStopped))
{
}

JournalWriter::Options OwnerService::journalOptions()
{
    JournalWriter::Options options;
    options.pace.minInterval = this->settings->owner.groupInterval;
    options.pace.gatherTime = this->settings->owner.groupGather;
    options.rowBytes = static_cast<std::size_t>(this->settings->platform.rowBytes);
    options.onFenced = [this] {
        this->keeper.fenced();
        if (this->onFenced) {
            this->onFenced();
        }
    };
    return options;
}

OwnerService::~OwnerService()
{
    *this->alive = false;
}

void OwnerService::serve(PeerServer &server)
{
    this->batch.serve(server);
    server.handle<ClaimRequest>([this](const auto &request, auto respond) {
        this->claim(request, respond);
    });
    server.handle<CommitRequest>([this](const auto &request, auto respond) {
        this->commit(request, respond);
    });
    server.handle<ReleaseRequest>([this](const auto &request, auto respond) {
        this->release(request, respond);
    });
    server.handle<ShardsReleasedRequest>([this](const auto &, auto respond) {
        this->keeper.checkSoon();
        respond({});
    });
    server.handle<ResultRequest>([this](const auto &request, auto respond) {
        this->result(request, respond);
    });
}

void OwnerService::start()
{
    this->keeper.start();
    this->batch.start();
}

void OwnerService::setView(const MemberViewPointer &view)
{
    this->batch.setView(view);
    this->keeper.setView(view);
    const auto budget = static_cast<double>(this->settings->platform.writesPerSecond);
    this->journal.setWritesPerSecond(journalWritesPerSecond(budget, view->journalCount()));
}

void OwnerService::stop(std::function<void()> stopped)
{
    this->keeper.releaseAll(std::move(stopped));
}

Backlog OwnerService::backlog()
{
    return this->batch.backlog();
}

std::size_t OwnerService::resultsInMemory() const
{
    std::size_t count = 0;
    for (const auto &[shard, state] : this->keeper.owned()) {
        count += state->requests.size();
    }
    return count;
}

std::size_t OwnerService::shardCount() const
{
    return this->keeper.owned().size();
}

BatchOwner &OwnerService::batches()
{
    return this->batch;
}

const JournalWriter &OwnerService::journalWriter() const
{
    return this->journal;
}

ShardState *OwnerService::stateOf(const std::string &id)
{
    return this->keeper.serving(this->keeper.shardOf(id));
}

template <typename Record>
void OwnerService::append(ShardNumber shard, RecordKind kind, const Record &record, const JournalWriter::Appended &appended)
{
    this->journal.append({shard, kind, encode(record)}, appended);
}

void OwnerService::lookUp(const RequestId &id, const LookedUp &then)
{
    ShardState *const state = this->stateOf(id.value());
    if (state == nullptr) {
        then(nullptr, true);
        return;
    }
    if (state->requests.state(id) != RequestState::Absent || !state->index.mayContain(id)) {
        then(state, true);
        return;
    }
    const auto onRead = [this, id, then, epoch = state->row.epoch, generation = state->index.generation(), alive = this->alive](
                            ReadOutcome outcome, const std::optional<ResultRecord> &found) {
        if (!*alive) {
            return;
        }
        ShardState *const state = this->stateOf(id.value());
        const bool isChanged = state != nullptr && (state->row.epoch != epoch || state->index.generation() != generation);
        if (isChanged) {
            // While the object was read, a result of the id may have been committed and moved from memory to a new run.
            this->lookUp(id, then);
            return;
        }
        if (state != nullptr && found) {
            state->requests.restore(*found);
        }
        then(state, outcome != ReadOutcome::Failed);
    };
    state->index.find(id, onRead);
}

void OwnerService::claim(const ClaimRequest &request, const Respond<ClaimResponse> &respond)
{
    this->lookUp(request.requestId, [this, request, respond](ShardState *state, bool isCertain) {
        if (state == nullptr) {
            respond({ClaimDecision::NotOwner, {}});
        } else if (!isCertain) {
            // The result may be in an object that cannot be read now. If the request ran again, it would have two results.
            respond({ClaimDecision::Unavailable, {}});
        } else {
            this->claimAt(*state, request, respond);
        }
    });
}

void OwnerService::claimAt(ShardState &owned, const ClaimRequest &request, const Respond<ClaimResponse> &respond)
{
    ShardState *const state = &owned;
    if (request.isNonIdempotent && this->journal.isStalled()
        && state->requests.state(request.requestId) == RequestState::Absent) {
        // The intent cannot be journalled now, and without an intent the request must not run.
        respond({ClaimDecision::Unavailable, {}});
        return;
    }
    if (this->isFull() && state->requests.state(request.requestId) == RequestState::Absent) {
        respond({ClaimDecision::Full, {}});
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

bool OwnerService::isFull() const
{
    // Results of started requests are accepted beyond the limit; their number is bounded by the requests that were
    // running when the limit was reached.
    return this->journal.waiting() >= static_cast<std::size_t>(this->settings->owner.heldResults);
}

void OwnerService::writeIntent(const ClaimRequest &request, const Respond<ClaimResponse> &respond)
{
    const auto answer = onlyOnce<ClaimResponse>(respond);
    const ShardNumber shard = this->keeper.shardOf(request.requestId.value());
    const IntentRecord record{request.requestId, request.fingerprint, request.runner, request.claim};
    this->append(shard, RecordKind::Intent, record, [this, request, answer](AppendOutcome outcome) {
        this->onIntent(request, answer, outcome);
    });
    this->scheduler.schedule(intentTimeout, [this, shard, request, answer, alive = this->alive] {
        if (!*alive) {
            return;
        }
        // The claimer reports to its caller that the request was not run. If the intent still becomes durable, it is
        // withdrawn; otherwise every resend would be wrongly answered with "it may have run".
        if (ShardState *const state = this->keeper.find(shard)) {
            state->requests.abandonIntent(request);
        }
        answer({ClaimDecision::Unavailable, {}});
    });
}

void OwnerService::onIntent(const ClaimRequest &request, const Respond<ClaimResponse> &respond, AppendOutcome outcome)
{
    const ShardNumber shard = this->keeper.shardOf(request.requestId.value());
    ShardState *const state = this->keeper.find(shard);
    if (outcome == AppendOutcome::Fenced || state == nullptr) {
        // The shard was released meanwhile. The new owner finds the intent and lets the claimer run when it claims there.
        respond({ClaimDecision::NotOwner, {}});
        return;
    }
    switch (state->requests.intentJournalled(request.requestId)) {
    case IntentVerdict::Run:
        respond({ClaimDecision::Run, {}});
        return;
    case IntentVerdict::Withdraw:
        respond({ClaimDecision::Unavailable, {}});
        this->writeWithdrawal(shard, request.requestId);
        return;
    case IntentVerdict::NotPending:
        respond({ClaimDecision::NotOwner, {}});
        return;
    }
}

void OwnerService::writeWithdrawal(ShardNumber shard, const RequestId &id)
{
    this->append(shard, RecordKind::Withdraw, WithdrawRecord{id}, [this, shard, id](AppendOutcome outcome) {
        ShardState *const state = this->keeper.find(shard);
        if (outcome == AppendOutcome::Written && state != nullptr) {
            state->requests.withdrawn(id);
        }
    });
}

void OwnerService::join(const ClaimRequest &request, const Respond<ClaimResponse> &respond)
{
    ShardState *const state = this->stateOf(request.requestId.value());
    const auto isWaiting = std::make_shared<bool>(true);
    // NOTE: claim() has just found the request there.
    state->requests.await(request.requestId, [this, request, respond, isWaiting, alive = this->alive] {
        // This is called from inside the table, so the table is read again later, from the event loop.
        this->scheduler.schedule(std::chrono::milliseconds(0), [this, request, respond, isWaiting, alive] {
            // A caller that got "still running" may have left. A claim granted to it would keep the request from running.
            if (*alive && std::exchange(*isWaiting, false)) {
                this->claim(request, respond);
            }
        });
    });
    this->scheduler.schedule(request.wait, [respond, isWaiting] {
        if (std::exchange(*isWaiting, false)) {
            respond({ClaimDecision::StillRunning, {}});
        }
    });
}

void OwnerService::commit(const CommitRequest &request, const Respond<CommitResponse> &respond)
{
    this->lookUp(request.requestId, [this, request, respond](ShardState *state, bool isCertain) {
        if (state == nullptr) {
            respond({CommitDecision::NotOwner, {}});
        } else if (!isCertain) {
            respond({CommitDecision::Unavailable, {}});
        } else {
            this->commitAt(*state, request, respond);
        }
    });
}

void OwnerService::commitAt(ShardState &owned, const CommitRequest &request, const Respond<CommitResponse> &respond)
{
    ShardState *const state = &owned;
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
    if (state == nullptr) {
        respond({.isOwner = false, .isReleased = false});
        return;
    }
    const ReleaseVerdict verdict = state->requests.release(request);
    if (verdict == ReleaseVerdict::Withdraw) {
        this->writeWithdrawal(this->keeper.shardOf(request.requestId.value()), request.requestId);
    }
    const bool isRefused = verdict == ReleaseVerdict::Refused;
    if (isRefused || state->requests.state(request.requestId) == RequestState::Absent) {
        respond({.isOwner = true, .isReleased = !isRefused});
        return;
    }
    // If the release were confirmed before the withdrawal is durable, the claimer would not repeat it. If this owner were
    // then lost, the next one would find an intent whose runner is alive, and resends would wait until its lease ends. On
    // the answer "not the owner", the claimer repeats the release at the next owner.
    state->requests.await(request.requestId, [this, id = request.requestId, respond] {
        const ShardState *const state = this->stateOf(id.value());
        const bool isReleased = state != nullptr && state->requests.state(id) == RequestState::Absent;
        respond({.isOwner = state != nullptr, .isReleased = isReleased});
    });
}

void OwnerService::result(const ResultRequest &request, const Respond<ResultResponse> &respond)
{
    this->lookUp(request.requestId, [this, request, respond](const ShardState *state, bool isCertain) {
        if (state == nullptr || !isCertain) {
            respond({RequestState::NotOwner, {}});
            return;
        }
        if (const Answer *const answer = state->requests.answer(request.requestId)) {
            respond({RequestState::Done, *answer});
            return;
        }
        this->confirmNoResult(request, respond);
    });
}

void OwnerService::confirmNoResult(const ResultRequest &request, const Respond<ResultResponse> &respond)
{
    // Another node may have acquired the shard unnoticed by this one and may have committed a result since. So the absence
    // of a result is reported only if the row of the shard still names this node.
    this->keeper.confirmOwned(this->keeper.shardOf(request.requestId.value()), [this, request, respond](bool isOwned) {
        const ShardState *const state = this->stateOf(request.requestId.value());
        if (!isOwned || state == nullptr) {
            respond({RequestState::NotOwner, {}});
            return;
        }
        const Answer *const answer = state->requests.answer(request.requestId);
        respond({state->requests.state(request.requestId), answer != nullptr ? *answer : Answer()});
    });
}

} // namespace Dogwoodkeel
