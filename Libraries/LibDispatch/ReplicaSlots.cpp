#include <LibDispatch/ReplicaSlots.h>

#include <algorithm>
#include <chrono>

namespace Dogwoodkeel
{

namespace
{

/** What a replica tells may be older than what is known here: the word of an end and the replica's own answer travel by two
 * ways. A datagram's way and a node's longest pause between two events. */
constexpr std::chrono::milliseconds reportLag{60};
/** Nobody says when what others have placed ends. Items are told of anew at each that begins; a replica without news is taken to
 * be free for requests again after about the time of a run; items go on one by one. */
constexpr std::chrono::milliseconds reportRetention{800};

} // namespace

void ReplicaSlots::acquire(WorkClass work)
{
    (work == WorkClass::Batch ? this->batchCount : this->onlineCount) += 1;
    this->itemsSinceReport += work == WorkClass::Batch ? 1 : 0;
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
    // What was released a moment ago may still be in what it tells, or not: what is believed so far decides between the two.
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
