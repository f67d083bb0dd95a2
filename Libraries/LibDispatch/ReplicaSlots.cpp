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
constexpr std::chrono::milliseconds othersRetained{800};

} // namespace

void ReplicaSlots::take(WorkClass work)
{
    (work == WorkClass::Batch ? this->batchCount : this->onlineCount) += 1;
    this->itemsUnanswered += work == WorkClass::Batch ? 1 : 0;
}

void ReplicaSlots::release(WorkClass work, SteadyTime now)
{
    (work == WorkClass::Batch ? this->batchCount : this->onlineCount) -= 1;
    if (work == WorkClass::Batch && this->itemsUnanswered > 0) {
        --this->itemsUnanswered;
    }
    this->forgetReleased(now);
    this->released.push_back(now);
}

void ReplicaSlots::noteReported(const ReportedLoad &load, SteadyTime now)
{
    this->forgetReleased(now);
    const std::uint64_t reported = std::uint64_t{load.running} + load.waiting;
    const std::uint64_t placed = std::uint64_t{this->onlineCount} + this->batchCount;
    // What was released a moment ago may still be in what it tells, or not: what is believed so far decides between the two.
    const std::uint64_t most = reported > placed ? reported - placed : 0;
    const std::uint64_t least = most > this->released.size() ? most - this->released.size() : 0;
    this->hasReport = true;
    this->others = static_cast<std::uint32_t>(std::clamp<std::uint64_t>(this->others, least, most));
    this->othersReported = now;
    this->itemsUnanswered = 0;
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
    return this->onlineCount + this->batchCount + (this->isFresh(now) ? this->others : 0);
}

std::optional<SteadyTime> ReplicaSlots::forgetsAt(SteadyTime now) const
{
    if (this->others == 0 || !this->isFresh(now)) {
        return std::nullopt;
    }
    return this->othersReported + othersRetained + SteadyTime::duration(1);
}

bool ReplicaSlots::mayTakeItem(SteadyTime now) const
{
    const bool isKnown = this->hasReport && (this->others == 0 || this->isFresh(now));
    return isKnown || this->itemsUnanswered == 0;
}

bool ReplicaSlots::isFresh(SteadyTime now) const
{
    return now - this->othersReported <= othersRetained;
}

void ReplicaSlots::forgetReleased(SteadyTime now)
{
    while (!this->released.empty() && now - this->released.front() > reportLag) {
        this->released.pop_front();
    }
}

} // namespace Dogwoodkeel
