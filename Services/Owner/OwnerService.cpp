#include <Services/Owner/OwnerService.h>

#include <LibWire/Codec.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

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
    Scheduler &scheduler, const Clock &clock, Platform &platform, const SettingsHandle &settings, SessionNumber self)
    : scheduler(scheduler)
    , settings(settings)
    , journal(platform, scheduler, clock, self, journalOptions(settings.current()))
    , keeper(platform, scheduler, clock, self, this->journal, keeperOptions(settings.current()))
    , batch(this->keeper, this->journal, platform.objects())
{
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
    server.handle<ResultRequest>([this](const auto &request, auto respond) {
        this->result(request, respond);
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
    return this->batch.backlog();
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

} // namespace Dogwoodkeel
