#include <LibDispatch/ReplicaSlots.h>

#include <algorithm>
#include <chrono>

namespace Dogwoodkeel
{

namespace
{

/**
 * How long a release may be missing from a report: the end of a request and the replica's report arrive by different
 * routes. Covers one datagram and a node's longest pause between two events.
 */
constexpr std::chrono::milliseconds reportLag{60};
/**
 * How long other requests of a report count, as their end is not reported. Each item that starts brings a new report. A
 * replica without one counts as free for online requests after about the duration of a run; items are then placed one
 * at a time.
 */
constexpr std::chrono::milliseconds reportRetention{800};

} // namespace

void ReplicaSlots::acquire(WorkClass work)
{
    this->adopt(work);
    this->itemsSinceReport += work == WorkClass::Batch ? 1 : 0;
}

void ReplicaSlots::adopt(WorkClass work)
{
    (work == WorkClass::Batch ? this->batchCount : this->onlineCount) += 1;
}

void ReplicaSlots::release(WorkClass work, SteadyTime now)
{
    (work == WorkClass::Batch ? this->batchCount : this->onlineCount) -= 1;
    if (work == WorkClass::Batch && this->itemsSinceReport > 0) {
        --this->itemsSinceReport;
    }
    this->removeOldReleases(now);
    this->recentReleases.push_back(now);
}

void ReplicaSlots::recordReport(const ReportedLoad &load, SteadyTime now)
{
    this->removeOldReleases(now);
    const std::uint64_t reported = std::uint64_t{load.running} + load.waiting;
    const std::uint64_t placed = std::uint64_t{this->onlineCount} + this->batchCount;
    // The report may or may not still include the recent releases, so the previous value is kept if it lies within the
    // possible range.
    const std::uint64_t maxOthers = reported > placed ? reported - placed : 0;
    const std::uint64_t minOthers = maxOthers > this->recentReleases.size() ? maxOthers - this->recentReleases.size() : 0;
    this->hasReport = true;
    this->otherRequests = static_cast<std::uint32_t>(std::clamp<std::uint64_t>(this->otherRequests, minOthers, maxOthers));
    this->reportedAt = now;
    this->itemsSinceReport = 0;
}

std::uint32_t ReplicaSlots::online() const
{
    return this->onlineCount;
}

std::uint32_t ReplicaSlots::batch() const
{
    return this->batchCount;
}

std::uint32_t ReplicaSlots::used(SteadyTime now) const
{
    return this->onlineCount + this->batchCount + (this->isReportFresh(now) ? this->otherRequests : 0);
}

std::optional<SteadyTime> ReplicaSlots::reportExpiresAt(SteadyTime now) const
{
    if (this->otherRequests == 0 || !this->isReportFresh(now)) {
        return std::nullopt;
    }
    return this->reportedAt + reportRetention + SteadyTime::duration(1);
}

bool ReplicaSlots::mayAcceptItem(SteadyTime now) const
{
    const bool isKnown = this->hasReport && (this->otherRequests == 0 || this->isReportFresh(now));
    return isKnown || this->itemsSinceReport == 0;
}

bool ReplicaSlots::isReportFresh(SteadyTime now) const
{
    return now - this->reportedAt <= reportRetention;
}

void ReplicaSlots::removeOldReleases(SteadyTime now)
{
    while (!this->recentReleases.empty() && now - this->recentReleases.front() > reportLag) {
        this->recentReleases.pop_front();
    }
}

} // namespace Dogwoodkeel
