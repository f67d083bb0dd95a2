#include <LibJournal/RequestTable.h>

#include <utility>

namespace Dogwoodkeel
{

RequestTable::RequestTable(const Clock &clock, std::chrono::milliseconds lease) : clock(clock), lease(lease)
{
}

ClaimVerdict RequestTable::claim(const ClaimRequest &request)
{
    const auto [found, isNew] = this->entries.try_emplace(request.requestId);
    Entry &entry = found->second;
    if (isNew) {
        entry.fingerprint = request.fingerprint;
        entry.runner = request.runner;
        entry.claim = request.claim;
        entry.leaseEnd = this->clock.now() + this->lease;
        entry.stage = request.isNonIdempotent ? Stage::IntentPending : Stage::Claimed;
        return request.isNonIdempotent ? ClaimVerdict::RunAfterIntent : ClaimVerdict::Run;
    }
    if (entry.fingerprint != request.fingerprint) {
        return ClaimVerdict::Mismatch;
    }
    switch (entry.stage) {
    case Stage::Done:
        return ClaimVerdict::Done;
    case Stage::IntentOrphaned:
        return ClaimVerdict::OutcomeUnknown;
    case Stage::Claimed:
        if (isHolder(entry, request) || this->clock.now() >= entry.leaseEnd) {
            entry.runner = request.runner;
            entry.claim = request.claim;
            entry.leaseEnd = this->clock.now() + this->lease;
            return ClaimVerdict::Run;
        }
        return ClaimVerdict::Join;
    case Stage::IntentDurable:
        // The answer to this very claim was lost on its way. The runner acts on one answer only, so it has not run yet.
        return isHolder(entry, request) ? ClaimVerdict::Run : ClaimVerdict::Join;
    case Stage::IntentPending:
    case Stage::ResultPending:
        return ClaimVerdict::Join;
    }
    return ClaimVerdict::Join;
}

bool RequestTable::isHolder(const Entry &entry, const ClaimRequest &request)
{
    return entry.runner == request.runner && entry.claim == request.claim;
}

void RequestTable::intentJournalled(const RequestId &id, bool isDurable)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end() || found->second.stage != Stage::IntentPending) {
        return;
    }
    if (isDurable) {
        found->second.stage = Stage::IntentDurable;
        this->tellWaiting(found->second);
        return;
    }
    auto removed = this->entries.extract(found);
    this->tellWaiting(removed.mapped());
}

CommitVerdict RequestTable::commit(const CommitRequest &request)
{
    // A commit for an unknown id is taken: its claim was lost with a former owner, the work was done all the same.
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
    if (found == this->entries.end()) {
        return;
    }
    found->second.stage = Stage::Done;
    this->tellWaiting(found->second);
}

bool RequestTable::release(const ReleaseRequest &request)
{
    const auto found = this->entries.find(request.requestId);
    if (found == this->entries.end() || found->second.stage != Stage::Claimed) {
        return false;
    }
    if (found->second.runner != request.runner || found->second.claim != request.claim) {
        return false;
    }
    auto removed = this->entries.extract(found);
    this->tellWaiting(removed.mapped());
    return true;
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

void RequestTable::await(const RequestId &id, std::function<void()> told)
{
    this->entries.at(id).waiting.push_back(std::move(told));
}

void RequestTable::replay(const IntentRecord &record)
{
    const auto [found, isNew] = this->entries.try_emplace(record.requestId);
    if (isNew) {
        found->second.stage = Stage::IntentOrphaned;
        found->second.fingerprint = record.fingerprint;
    }
}

void RequestTable::replay(const ResultRecord &record)
{
    Entry &entry = this->entries.try_emplace(record.requestId).first->second;
    if (entry.stage == Stage::Done) {
        return;
    }
    entry.stage = Stage::Done;
    entry.fingerprint = record.fingerprint;
    entry.answer = record.answer;
}

std::size_t RequestTable::size() const
{
    return this->entries.size();
}

void RequestTable::tellWaiting(Entry &entry)
{
    for (const std::function<void()> &told : std::exchange(entry.waiting, {})) {
        told();
    }
}

} // namespace Dogwoodkeel
