#include <LibBatch/JobTable.h>

#include <LibWire/Codec.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

JobTable::JobTable(const Clock &clock, std::chrono::milliseconds itemLease) : clock(clock), itemLease(itemLease)
{
}

JobTable::Submission JobTable::submit(const JobRecord &job)
{
    const auto [found, isNew] = this->jobs.try_emplace(job.jobId);
    Job &entry = found->second;
    if (isNew) {
        entry.record = job;
        entry.items.assign(job.itemCount, Stage::Waiting);
        return {SubmitDecision::Accepted, true};
    }
    const bool isSame = entry.record.fingerprint == job.fingerprint && entry.record.tenant == job.tenant;
    if (!isSame) {
        return {SubmitDecision::Mismatch, false};
    }
    // A resend while the first submission is still being journalled is not accepted before that is done.
    return {entry.isDurable ? SubmitDecision::Accepted : SubmitDecision::Unavailable, false};
}

void JobTable::apply(const JobRecord &job)
{
    Job &entry = this->jobs.try_emplace(job.jobId).first->second;
    if (entry.items.empty()) {
        entry.record = job;
        entry.items.assign(job.itemCount, Stage::Waiting);
    }
    entry.isDurable = true;
}

void JobTable::apply(const ItemRecord &item)
{
    const auto found = this->jobs.find(item.jobId);
    if (found == this->jobs.end() || item.index >= found->second.items.size()) {
        return;
    }
    Job &job = found->second;
    if (job.items[item.index] == Stage::Done) {
        return;
    }
    job.items[item.index] = Stage::Done;
    job.leases.erase(item.index);
    job.results.emplace(item.index, item);
    ++(item.status == ItemStatus::Succeeded ? job.succeeded : job.failed);
}

void JobTable::apply(const CancelRecord &cancel)
{
    const auto found = this->jobs.find(cancel.jobId);
    if (found != this->jobs.end()) {
        found->second.isCancelled = true;
        found->second.leases.clear();
    }
}

std::vector<ItemPlace> JobTable::lease(const std::string &model, std::size_t limit, SessionNumber runner)
{
    std::vector<Job *> candidates;
    for (auto &[id, job] : this->jobs) {
        if (job.record.model == model && job.isDurable && stateOf(job) == JobState::Running) {
            candidates.push_back(&job);
        }
    }
    std::ranges::sort(candidates, {}, [](const Job *job) {
        return job->record.due;
    });
    std::vector<ItemPlace> leased;
    for (Job *const job : candidates) {
        this->leaseFrom(*job, limit, runner, leased);
    }
    return leased;
}

void JobTable::leaseFrom(Job &job, std::size_t limit, SessionNumber runner, std::vector<ItemPlace> &leased)
{
    this->returnExpired(job);
    while (leased.size() < limit && job.firstWaiting < job.items.size()) {
        const std::uint32_t index = job.firstWaiting++;
        if (job.items[index] != Stage::Waiting) {
            continue;
        }
        job.items[index] = Stage::Leased;
        job.leases[index] = {runner, this->clock.now() + this->itemLease};
        leased.push_back({job.record.jobId, index});
    }
}

void JobTable::returnExpired(Job &job)
{
    const SteadyTime now = this->clock.now();
    for (auto lease = job.leases.begin(); lease != job.leases.end();) {
        if (lease->second.end > now) {
            ++lease;
            continue;
        }
        if (job.items[lease->first] == Stage::Leased) {
            job.items[lease->first] = Stage::Waiting;
            job.firstWaiting = std::min(job.firstWaiting, lease->first);
        }
        lease = job.leases.erase(lease);
    }
}

void JobTable::unlease(const ItemPlace &item)
{
    const auto found = this->jobs.find(item.jobId);
    if (found == this->jobs.end()) {
        return;
    }
    Job &job = found->second;
    if (job.items[item.index] == Stage::Leased) {
        job.items[item.index] = Stage::Waiting;
        job.firstWaiting = std::min(job.firstWaiting, item.index);
        job.leases.erase(item.index);
    }
}

ItemVerdict JobTable::commit(const ItemRecord &result)
{
    const auto found = this->jobs.find(result.jobId);
    if (found == this->jobs.end() || result.index >= found->second.items.size()) {
        return ItemVerdict::Unknown;
    }
    Stage &stage = found->second.items[result.index];
    if (stage == Stage::ResultPending || stage == Stage::Done) {
        return ItemVerdict::Superseded;
    }
    stage = Stage::ResultPending;
    return ItemVerdict::Journal;
}

bool JobTable::renew(const JobId &id, SessionNumber runner)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end() || stateOf(found->second) != JobState::Running) {
        return false;
    }
    const SteadyTime end = this->clock.now() + this->itemLease;
    for (auto &[index, lease] : found->second.leases) {
        if (lease.runner == runner) {
            lease.end = end;
        }
    }
    return true;
}

const JobRecord *JobTable::job(const JobId &id) const
{
    const auto found = this->jobs.find(id);
    return found != this->jobs.end() ? &found->second.record : nullptr;
}

JobState JobTable::stateOf(const Job &job)
{
    if (job.succeeded + job.failed == job.items.size()) {
        return JobState::Completed;
    }
    return job.isCancelled ? JobState::Cancelled : JobState::Running;
}

JobProgress JobTable::progress(const JobId &id) const
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end() || !found->second.isDurable) {
        return {};
    }
    const Job &job = found->second;
    return {stateOf(job), job.record.itemCount, job.succeeded, job.failed, job.record.created, job.record.due, job.record.model};
}

JobResultsResponse JobTable::results(const JobId &id, std::uint32_t from, std::size_t limit) const
{
    JobResultsResponse page;
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) {
        return page;
    }
    const Job &job = found->second;
    page.state = stateOf(job);
    page.next = job.record.itemCount;
    for (auto result = job.results.lower_bound(from); result != job.results.end(); ++result) {
        if (page.results.size() == limit) {
            page.next = result->first;
            break;
        }
        page.results.push_back(result->second);
    }
    return page;
}

std::vector<std::pair<RecordKind, std::string>> JobTable::checkpointRecords() const
{
    std::vector<std::pair<RecordKind, std::string>> records;
    for (const auto &[id, job] : this->jobs) {
        if (!job.isDurable) {
            continue;
        }
        records.emplace_back(RecordKind::Job, encode(job.record));
        for (const auto &[index, result] : job.results) {
            records.emplace_back(RecordKind::Item, encode(result));
        }
        if (job.isCancelled) {
            records.emplace_back(RecordKind::Cancel, encode(CancelRecord{id}));
        }
    }
    return records;
}

std::size_t JobTable::waiting() const
{
    std::size_t count = 0;
    for (const auto &[id, job] : this->jobs) {
        if (job.isDurable && stateOf(job) == JobState::Running) {
            count += job.items.size() - job.succeeded - job.failed - job.leases.size();
        }
    }
    return count;
}

} // namespace Dogwoodkeel
