#include <LibBatch/JobTable.h>

#include <LibWire/Codec.h>

#include <algorithm>

namespace Dogwoodkeel
{

JobTable::JobTable(const Clock &clock, std::chrono::milliseconds itemLease, std::chrono::milliseconds takeoverHold)
    : clock(clock), itemLease(itemLease), takeoverHold(takeoverHold)
{
}

JobTable::Submission JobTable::submit(const JobRecord &job)
{
    const auto [found, isNew] = this->jobs.try_emplace(job.jobId, job);
    if (isNew) {
        return {SubmitDecision::Accepted, true};
    }
    const Job &entry = found->second;
    const bool isSame = entry.record().fingerprint == job.fingerprint && entry.record().tenant == job.tenant;
    if (!isSame) {
        return {SubmitDecision::Mismatch, false};
    }
    // While the first submission is still being journalled, a repeated one is not accepted.
    return {entry.isDurable ? SubmitDecision::Accepted : SubmitDecision::Unavailable, false};
}

void JobTable::apply(const JobRecord &record)
{
    const auto [found, isReplayed] = this->jobs.try_emplace(record.jobId, record);
    Job &job = found->second;
    job.isDurable = true;
    if (isReplayed) {
        // Runners continue the items that an earlier owner leased to them; leasing these out at once would run them twice.
        job.holdUntil = this->clock.now() + this->takeoverHold;
        this->timed.insert(record.jobId);
    }
    this->markChanged(job);
}

void JobTable::apply(const ItemRecord &item)
{
    const auto found = this->jobs.find(item.jobId);
    if (found == this->jobs.end()) {
        return;
    }
    Job &job = found->second;
    const std::size_t before = job.resultBytes();
    if (job.apply(item)) {
        this->completePages.emplace_back(item.jobId, job.pageOf(item.index));
    }
    this->bytesOfResults += job.resultBytes() - before;
    this->withResults.insert(item.jobId);
    this->markChanged(job);
}

void JobTable::apply(const PageRecord &page)
{
    const auto found = this->jobs.find(page.jobId);
    if (found == this->jobs.end()) {
        return;
    }
    Job &job = found->second;
    this->bytesOfResults -= job.resultBytes();
    job.apply(page);
    this->bytesOfResults += job.resultBytes();
    if (job.resultBytes() == 0) {
        this->withResults.erase(page.jobId);
    }
    this->markChanged(job);
}

void JobTable::apply(const CancelRecord &cancel)
{
    const auto found = this->jobs.find(cancel.jobId);
    if (found != this->jobs.end()) {
        found->second.cancel();
        this->markChanged(found->second);
    }
}

std::optional<LeasedItems> JobTable::lease(const JobId &id, std::uint32_t limit, SessionNumber runner)
{
    const auto found = this->jobs.find(id);
    const SteadyTime now = this->clock.now();
    if (found == this->jobs.end() || found->second.holdUntil > now) {
        return std::nullopt;
    }
    const auto span = found->second.lease(limit, runner, now + this->itemLease);
    if (!span) {
        return std::nullopt;
    }
    this->timed.insert(id);
    this->markChanged(found->second);
    return LeasedItems{id, *span};
}

void JobTable::returnItem(const JobId &id, std::uint32_t index, SessionNumber runner)
{
    const auto found = this->jobs.find(id);
    if (found != this->jobs.end()) {
        found->second.returnItem(index, runner);
        this->markChanged(found->second);
    }
}

ItemVerdict JobTable::commit(const ItemRecord &result)
{
    const auto found = this->jobs.find(result.jobId);
    if (found == this->jobs.end()) {
        return ItemVerdict::Unknown;
    }
    const ItemVerdict verdict = found->second.commit(result);
    this->markChanged(found->second);
    return verdict;
}

bool JobTable::renew(const HeldItems &held, SessionNumber runner, std::vector<ItemSpan> &lost)
{
    const auto found = this->jobs.find(held.jobId);
    if (found == this->jobs.end() || found->second.state() != JobState::Running) {
        return false;
    }
    Job &job = found->second;
    const SteadyTime end = this->clock.now() + this->itemLease;
    for (const ItemSpan &span : held.spans) {
        const std::uint32_t last = std::min(span.first + span.count, job.record().itemCount);
        for (std::uint32_t index = span.first; index < last; ++index) {
            if (!job.confirmLease(index, runner, end)) {
                lost.push_back({index, 1});
            }
        }
        job.renew(span, runner, end);
    }
    this->timed.insert(held.jobId);
    this->markChanged(job);
    return true;
}

void JobTable::removeRunner(SessionNumber runner)
{
    for (const JobId &id : this->timed) {
        Job &job = this->jobs.at(id);
        if (job.returnRunner(runner)) {
            this->markChanged(job);
        }
    }
}

void JobTable::expire()
{
    const SteadyTime now = this->clock.now();
    std::erase_if(this->timed, [this, now](const JobId &id) {
        Job &job = this->jobs.at(id);
        const bool wasHeld = job.holdUntil != SteadyTime();
        if (wasHeld && job.holdUntil <= now) {
            job.holdUntil = SteadyTime();
        }
        if (job.returnExpired(now) || (wasHeld && job.holdUntil == SteadyTime())) {
            this->markChanged(job);
        }
        return job.holdUntil == SteadyTime() && job.leases().isEmpty();
    });
}

void JobTable::markChanged(Job &job)
{
    const JobId &id = job.record().jobId;
    this->waitingItems -= std::exchange(job.waitingInTotal, job.waiting());
    this->waitingItems += job.waitingInTotal;
    this->dirty.insert(id);
}

JobDemand JobTable::demand(const JobId &id) const
{
    const Job &job = this->jobs.at(id);
    const JobRecord &record = job.record();
    const bool isHeld = job.holdUntil > this->clock.now();
    return {record.jobId, record.model, record.tenant, record.due, job.remaining(), isHeld ? 0 : job.waiting()};
}

std::vector<JobDemand> JobTable::drainChanged()
{
    std::vector<JobDemand> demands;
    demands.reserve(this->dirty.size());
    for (const JobId &id : std::exchange(this->dirty, {})) {
        demands.push_back(this->demand(id));
    }
    return demands;
}

std::optional<PageDraft> JobTable::nextDraft(std::size_t memoryBound)
{
    while (!this->completePages.empty()) {
        const auto [id, page] = this->completePages.front();
        this->completePages.pop_front();
        if (auto draft = this->jobs.at(id).draft(page)) {
            return draft;
        }
    }
    return this->bytesOfResults > memoryBound ? this->draftIncompletePage() : std::nullopt;
}

std::optional<PageDraft> JobTable::draftIncompletePage()
{
    for (const JobId &id : this->withResults) {
        Job &job = this->jobs.at(id);
        const std::vector<std::uint32_t> pages = job.movablePages();
        if (!pages.empty()) {
            return job.draft(pages.front());
        }
    }
    return std::nullopt;
}

void JobTable::discardDraft(const PageDraft &draft)
{
    this->jobs.at(draft.jobId).discardDraft(draft.page);
    this->completePages.emplace_back(draft.jobId, draft.page);
}

PageRecord JobTable::recordOf(const PageDraft &draft, std::string objectKey) const
{
    const std::uint32_t size = this->jobs.at(draft.jobId).record().itemsPerObject;
    ItemBits done(size);
    ItemBits failed(size);
    for (const ItemRecord &result : draft.results) {
        done.set(result.index % size);
        if (result.status == ItemStatus::Failed) {
            failed.set(result.index % size);
        }
    }
    return {draft.jobId, draft.page, std::move(objectKey), done.slice(0, size), failed.slice(0, size)};
}

const Job *JobTable::find(const JobId &id) const
{
    const auto found = this->jobs.find(id);
    return found != this->jobs.end() ? &found->second : nullptr;
}

JobProgress JobTable::progress(const JobId &id) const
{
    const Job *const job = this->find(id);
    if (job == nullptr || !job->isDurable) {
        return {};
    }
    const JobRecord &record = job->record();
    JobProgress progress;
    progress.state = job->state();
    progress.itemCount = record.itemCount;
    progress.succeeded = job->succeeded();
    progress.failed = job->failed();
    progress.created = record.created;
    progress.due = record.due;
    progress.model = record.model;
    return progress;
}

std::vector<ListedJob> JobTable::list(const WorkspaceName &tenant, std::size_t limit) const
{
    std::vector<ListedJob> listed;
    for (const auto &[id, job] : this->jobs) {
        if (job.isDurable && job.record().tenant == tenant) {
            listed.push_back({id, this->progress(id)});
        }
    }
    std::ranges::sort(listed, [](const ListedJob &left, const ListedJob &right) {
        return left.progress.created > right.progress.created;
    });
    listed.resize(std::min(listed.size(), limit));
    return listed;
}

bool JobTable::markWarned(const JobId &id)
{
    const auto found = this->jobs.find(id);
    return found != this->jobs.end() && !std::exchange(found->second.isWarned, true);
}

std::size_t JobTable::waiting() const
{
    return this->waitingItems;
}

std::size_t JobTable::size() const
{
    return this->jobs.size();
}

std::size_t JobTable::resultBytes() const
{
    return this->bytesOfResults;
}

std::vector<std::pair<RecordKind, std::string>> JobTable::checkpointRecords() const
{
    std::vector<std::pair<RecordKind, std::string>> records;
    for (const auto &[id, job] : this->jobs) {
        if (!job.isDurable) {
            continue;
        }
        records.emplace_back(RecordKind::Job, encode(job.record()));
        for (const PageRecord &page : job.movedPages()) {
            records.emplace_back(RecordKind::Page, encode(page));
        }
        for (const ItemRecord &item : job.resultsInMemory()) {
            records.emplace_back(RecordKind::Item, encode(item));
        }
        if (job.isCancelled()) {
            records.emplace_back(RecordKind::Cancel, encode(CancelRecord{id}));
        }
    }
    return records;
}

} // namespace Dogwoodkeel
