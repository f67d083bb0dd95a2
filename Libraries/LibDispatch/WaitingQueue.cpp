#include <LibDispatch/WaitingQueue.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace Dogwoodkeel
{

WaitingQueue::WaitingQueue(const Clock &clock) : clock(clock)
{
}

WaitingQueue::Queue &WaitingQueue::queueOf(WorkClass work)
{
    return work == WorkClass::Online ? this->online : this->batch;
}

const WaitingQueue::Queue &WaitingQueue::of(WorkClass work) const
{
    return work == WorkClass::Online ? this->online : this->batch;
}

bool WaitingQueue::contains(TicketId id) const
{
    return this->positions.contains(id);
}

WaitingQueue::Waiting *WaitingQueue::find(TicketId id)
{
    const auto found = this->positions.find(id);
    if (found == this->positions.end()) {
        return nullptr;
    }
    return &this->queueOf(found->second.work).at(found->second.key);
}

void WaitingQueue::add(const PlacementRequest &request, SteadyTime lastRequested)
{
    const bool isOnline = request.work == WorkClass::Online;
    const bool isLate = this->clock.now() > request.due;
    const Key key(request.priority, isLate, isOnline ? request.arrived : request.due, request.id);
    this->queueOf(request.work).insert_or_assign(key, Waiting{request, lastRequested});
    this->positions.insert_or_assign(request.id, Position{request.work, key});
    if (isOnline && !isLate) {
        ++this->onTime[request.priority];
    }
}

void WaitingQueue::remove(TicketId id)
{
    const auto found = this->positions.find(id);
    if (found == this->positions.end()) {
        return;
    }
    const auto &[work, key] = found->second;
    const auto &[priority, isLate, order, ticket] = key;
    if (work == WorkClass::Online && !isLate) {
        --this->onTime[priority];
    }
    this->queueOf(work).erase(key);
    this->positions.erase(found);
}

void WaitingQueue::removeIf(const std::function<bool(const Waiting &)> &isRemoved)
{
    for (Queue *const queue : {&this->online, &this->batch}) {
        for (auto waiting = queue->begin(); waiting != queue->end();) {
            const auto next = std::next(waiting);
            if (isRemoved(waiting->second)) {
                this->remove(waiting->second.request.id);
            }
            waiting = next;
        }
    }
}

void WaitingQueue::demoteLate()
{
    const SteadyTime now = this->clock.now();
    std::vector<TicketId> late;
    for (const Queue *const queue : {&this->online, &this->batch}) {
        for (const auto &[key, waiting] : *queue) {
            if (!std::get<1>(key) && now > waiting.request.due) {
                late.push_back(waiting.request.id);
            }
        }
    }
    for (const TicketId id : late) {
        this->demoteIfLate(id);
    }
}

bool WaitingQueue::demoteIfLate(TicketId id)
{
    const auto found = this->positions.find(id);
    if (found == this->positions.end() || std::get<1>(found->second.key)) {
        return false;
    }
    const Waiting waiting = this->queueOf(found->second.work).at(found->second.key);
    if (this->clock.now() <= waiting.request.due) {
        return false;
    }
    this->remove(id);
    this->add(waiting.request, waiting.lastRequested);
    return true;
}

std::size_t WaitingQueue::onTimeAhead(std::uint32_t priority) const
{
    std::size_t ahead = 0;
    for (auto count = this->onTime.begin(); count != this->onTime.end() && count->first <= priority; ++count) {
        ahead += count->second;
    }
    return ahead;
}

bool WaitingQueue::isAnyOnTime() const
{
    return std::ranges::any_of(this->onTime, [](const auto &count) {
        return count.second > 0;
    });
}

} // namespace Dogwoodkeel
