#include <LibJournal/RequestTable.h>

#include <LibWire/Codec.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

RequestTable::RequestTable(const Clock &clock, std::chrono::milliseconds lease, std::size_t recentBytes)
    : clock(clock), lease(lease), recentBytes(recentBytes)
{
}

ClaimVerdict RequestTable::claim(const ClaimRequest &request)
{
    const auto [found, isNew] = this->entries.try_emplace(request.requestId);
    Entry &entry = found->second;
    if (!isNew) {
        return this->claimExisting(entry, request);
    }
    entry.fingerprint = request.fingerprint;
    this->assignRunner(entry, request);
    entry.stage = request.isNonIdempotent ? Stage::IntentPending : Stage::Claimed;
    return request.isNonIdempotent ? ClaimVerdict::RunAfterIntent : ClaimVerdict::Run;
}

ClaimVerdict RequestTable::claimExisting(Entry &entry, const ClaimRequest &request)
{
    if (entry.fingerprint != request.fingerprint) {
        return ClaimVerdict::Mismatch;
    }
    const bool hasExpired = this->clock.now() >= entry.leaseEnd;
    switch (entry.stage) {
    case Stage::Done:
        return ClaimVerdict::Done;
    case Stage::IntentOrphaned:
        return ClaimVerdict::OutcomeUnknown;
    case Stage::Claimed:
        if (isHolder(entry, request) || hasExpired) {
            this->assignRunner(entry, request);
            return ClaimVerdict::Run;
        }
        return ClaimVerdict::Join;
    case Stage::IntentDurable:
        // The response to this claim was lost. The runner acts on one response only, so the request has not run yet.
        if (isHolder(entry, request)) {
            return ClaimVerdict::Run;
        }
        // The claimer's session has not ended, but the claimer may not have received the permission to run, or may not have
        // reported the result. A resend would wait forever, so after the lease it gets an unknown outcome, because the
        // request may have run. A result that still arrives is accepted.
        return hasExpired ? ClaimVerdict::OutcomeUnknown : ClaimVerdict::Join;
    case Stage::IntentPending:
    case Stage::WithdrawPending:
    case Stage::ResultPending:
        return ClaimVerdict::Join;
    }
    return ClaimVerdict::Join;
}

void RequestTable::assignRunner(Entry &entry, const ClaimRequest &request)
{
    entry.runner = request.runner;
    entry.claim = request.claim;
    entry.leaseEnd = this->clock.now() + this->lease;
}

template <typename Request>
bool RequestTable::isHolder(const Entry &entry, const Request &request)
{
    return entry.runner == request.runner && entry.claim == request.claim;
}

IntentVerdict RequestTable::intentJournalled(const RequestId &id)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end() || found->second.stage != Stage::IntentPending) {
        return IntentVerdict::NotPending;
    }
    Entry &entry = found->second;
    entry.hasIntent = true;
    entry.stage = entry.isAbandoned ? Stage::WithdrawPending : Stage::IntentDurable;
    if (entry.isAbandoned) {
        return IntentVerdict::Withdraw;
    }
    this->notifyWaiting(entry);
    return IntentVerdict::Run;
}

void RequestTable::abandonIntent(const ClaimRequest &request)
{
    const auto found = this->entries.find(request.requestId);
    const bool isPending = found != this->entries.end() && found->second.stage == Stage::IntentPending;
    if (isPending && isHolder(found->second, request)) {
        found->second.isAbandoned = true;
    }
}

void RequestTable::withdrawn(const RequestId &id)
{
    const auto found = this->entries.find(id);
    if (found != this->entries.end() && found->second.stage == Stage::WithdrawPending) {
        this->remove(found);
    }
}

CommitVerdict RequestTable::commit(const CommitRequest &request)
{
    // A commit for an unknown id is accepted: the claim was lost with a former owner, but the request has run.
    Entry &entry = this->entries.try_emplace(request.requestId).first->second;
    if (entry.stage == Stage::Done) {
        return CommitVerdict::Superseded;
    }
    if (entry.stage == Stage::ResultPending) {
        return CommitVerdict::Wait;
    }
    entry.stage = Stage::ResultPending;
    entry.fingerprint = request.fingerprint;
    entry.answer = request.answer;
    return CommitVerdict::Journal;
}

void RequestTable::resultJournalled(const RequestId &id)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end() || found->second.stage != Stage::ResultPending) {
        return;
    }
    this->finish(id, found->second);
    this->notifyWaiting(found->second);
}

void RequestTable::finish(const RequestId &id, Entry &entry)
{
    entry.stage = Stage::Done;
    this->notIndexed.push_back(id);
    this->notIndexedBytes += sizeOf(id, entry);
}

std::size_t RequestTable::sizeOf(const RequestId &id, const Entry &entry)
{
    return id.value().size() + entry.answer.body.size() + entry.answer.contentType.size() + sizeof(Entry);
}

std::vector<ResultRecord> RequestTable::unindexed() const
{
    std::vector<ResultRecord> results;
    for (const RequestId &id : this->notIndexed) {
        const Entry &entry = this->entries.at(id);
        results.push_back({id, entry.fingerprint, entry.answer});
    }
    std::ranges::sort(results, {}, &ResultRecord::requestId);
    return results;
}

std::size_t RequestTable::unindexedBytes() const
{
    return this->notIndexedBytes;
}

void RequestTable::indexed(const std::vector<ResultRecord> &results)
{
    for (const ResultRecord &result : results) {
        const auto found = this->entries.find(result.requestId);
        if (found != this->entries.end() && found->second.stage == Stage::Done && !found->second.isIndexed) {
            found->second.isIndexed = true;
            this->notIndexedBytes -= sizeOf(found->first, found->second);
            this->keepRecent(found->first, found->second);
        }
    }
    std::erase_if(this->notIndexed, [this](const RequestId &id) {
        const auto found = this->entries.find(id);
        return found == this->entries.end() || found->second.isIndexed;
    });
}

void RequestTable::keepRecent(const RequestId &id, Entry &entry)
{
    this->bytesOfRecent += sizeOf(id, entry);
    this->recent.push_back(id);
    // The result just added stays regardless of its size, because the caller of restore() is about to answer from it.
    while (this->bytesOfRecent > this->recentBytes && this->recent.size() > 1) {
        const auto oldest = this->entries.find(this->recent.front());
        this->bytesOfRecent -= sizeOf(oldest->first, oldest->second);
        this->entries.erase(oldest);
        this->recent.pop_front();
    }
}

void RequestTable::restore(const ResultRecord &result)
{
    const auto [found, isNew] = this->entries.try_emplace(result.requestId);
    if (!isNew) {
        return;
    }
    Entry &entry = found->second;
    entry.stage = Stage::Done;
    entry.fingerprint = result.fingerprint;
    entry.answer = result.answer;
    entry.isIndexed = true;
    this->keepRecent(result.requestId, entry);
}

std::vector<std::pair<RecordKind, std::string>> RequestTable::checkpointRecords() const
{
    std::vector<std::pair<RecordKind, std::string>> records;
    for (const auto &[id, entry] : this->entries) {
        if (entry.hasIntent && entry.stage != Stage::Done) {
            records.emplace_back(RecordKind::Intent, encode(IntentRecord{id, entry.fingerprint, entry.runner, entry.claim}));
        }
    }
    return records;
}

ReleaseVerdict RequestTable::release(const ReleaseRequest &request)
{
    const auto found = this->entries.find(request.requestId);
    if (found == this->entries.end() || !isHolder(found->second, request)) {
        return ReleaseVerdict::Refused;
    }
    switch (found->second.stage) {
    case Stage::Claimed:
        this->remove(found);
        return ReleaseVerdict::Released;
    case Stage::IntentPending:
        found->second.isAbandoned = true;
        return ReleaseVerdict::Released;
    case Stage::IntentDurable:
        found->second.stage = Stage::WithdrawPending;
        return ReleaseVerdict::Withdraw;
    case Stage::WithdrawPending:
        return ReleaseVerdict::Released;
    case Stage::IntentOrphaned:
    case Stage::ResultPending:
    case Stage::Done:
        return ReleaseVerdict::Refused;
    }
    return ReleaseVerdict::Refused;
}

void RequestTable::dropRunners(const std::function<bool(SessionNumber)> &hasEnded)
{
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const auto current = entry++;
        Entry &each = current->second;
        const bool isRunning
            = each.stage == Stage::Claimed || each.stage == Stage::IntentPending || each.stage == Stage::IntentDurable;
        const bool isStaleClaim = each.stage == Stage::Claimed && this->clock.now() >= each.leaseEnd + this->lease;
        if (!isStaleClaim && (!isRunning || !hasEnded(each.runner))) {
            continue;
        }
        switch (each.stage) {
        case Stage::Claimed:
            this->remove(current);
            break;
        case Stage::IntentPending:
            // The claimer has not received permission to run, and will not receive it.
            each.isAbandoned = true;
            break;
        default:
            each.stage = Stage::IntentOrphaned;
            this->notifyWaiting(each);
            break;
        }
    }
}

void RequestTable::abandon()
{
    Entries dropped = std::exchange(this->entries, {});
    this->notIndexed.clear();
    this->notIndexedBytes = 0;
    this->recent.clear();
    this->bytesOfRecent = 0;
    for (auto &[id, entry] : dropped) {
        this->notifyWaiting(entry);
    }
}

RequestState RequestTable::state(const RequestId &id) const
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return RequestState::Absent;
    }
    switch (found->second.stage) {
    case Stage::Done:
        return RequestState::Done;
    case Stage::IntentOrphaned:
        return RequestState::OutcomeUnknown;
    default:
        return RequestState::Running;
    }
}

const Answer *RequestTable::answer(const RequestId &id) const
{
    const auto found = this->entries.find(id);
    const bool isDone = found != this->entries.end() && found->second.stage == Stage::Done;
    return isDone ? &found->second.answer : nullptr;
}

void RequestTable::await(const RequestId &id, std::function<void()> reported)
{
    this->entries.at(id).waiting.push_back(std::move(reported));
}

void RequestTable::replay(const IntentRecord &record)
{
    const auto [found, isNew] = this->entries.try_emplace(record.requestId);
    if (!isNew) {
        return;
    }
    // The owner that journalled the intent no longer owns the shard, but the runner may still be active; dropRunners() decides.
    Entry &entry = found->second;
    entry.stage = Stage::IntentDurable;
    entry.hasIntent = true;
    entry.fingerprint = record.fingerprint;
    entry.runner = record.runner;
    entry.claim = record.claim;
    entry.leaseEnd = this->clock.now() + this->lease;
}

void RequestTable::replay(const WithdrawRecord &record)
{
    const auto found = this->entries.find(record.requestId);
    if (found != this->entries.end() && found->second.stage != Stage::Done) {
        this->entries.erase(found);
    }
}

void RequestTable::replay(const ResultRecord &record)
{
    Entry &entry = this->entries.try_emplace(record.requestId).first->second;
    if (entry.stage == Stage::Done) {
        return;
    }
    entry.fingerprint = record.fingerprint;
    entry.answer = record.answer;
    this->finish(record.requestId, entry);
}

std::size_t RequestTable::size() const
{
    return this->entries.size();
}

void RequestTable::remove(Entries::iterator entry)
{
    auto removed = this->entries.extract(entry);
    this->notifyWaiting(removed.mapped());
}

void RequestTable::notifyWaiting(Entry &entry)
{
    for (const std::function<void()> &reported : std::exchange(entry.waiting, {})) {
        reported();
    }
}

} // namespace Dogwoodkeel
