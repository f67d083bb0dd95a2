#include <LibDispatch/WaitingQueue.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

namespace
{

/** Number of own items ahead of an item at which it gives way by half of what it can at most. */
constexpr double itemsToYield = 10;
/** An item of a workspace with debt gives way by at most this share of the time that is left until it has to start. */
constexpr double maxYieldedSlack = 0.5;

} // namespace

WaitingQueue::WaitingQueue(const Clock &clock, bool hasShares) : clock(clock), hasShares(hasShares)
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

const WaitingQueue::Waiting *WaitingQueue::find(TicketId id) const
{
    const auto found = this->positions.find(id);
    return found == this->positions.end() ? nullptr : &this->of(found->second.work).at(found->second.key);
}

void WaitingQueue::add(const PlacementRequest &request, SteadyTime lastRequested)
{
    this->remove(request.id);
    this->isAnyWorkspaceSeen = this->isAnyWorkspaceSeen || !request.workspace.value().empty();
    Waiting waiting{request, lastRequested};
    if (this->isShared()) {
        waiting.request.cost = std::max<std::uint32_t>(request.cost, 1);
        waiting.request.weight = request.weight > 0 ? request.weight : 1;
        waiting.startTag = this->sharesOf(request.work)
                               .add(request.workspace, waiting.request.cost, waiting.request.weight, request.isReserved);
        waiting.isCharged = true;
    }
    this->insert(std::move(waiting));
}

void WaitingQueue::insert(Waiting waiting)
{
    const PlacementRequest &request = waiting.request;
    const TicketId id = request.id;
    const WorkClass work = request.work;
    const bool isOnline = work == WorkClass::Online;
    const bool isLate = this->clock.now() > request.due;
    const Key key(request.priority, isLate, isOnline ? waiting.startTag : 0, this->orderOf(waiting), id);
    if (isOnline && !isLate) {
        ++this->onTime[request.priority];
    }
    this->queueOf(work).insert_or_assign(key, std::move(waiting));
    this->positions.insert_or_assign(id, Position{work, key});
}

SteadyTime WaitingQueue::orderOf(const Waiting &waiting) const
{
    const PlacementRequest &request = waiting.request;
    if (request.work == WorkClass::Online) {
        return request.arrived;
    }
    const SteadyTime now = this->clock.now();
    const double debt = waiting.isCharged ? this->batchShares.debtOf(waiting.startTag) : 0;
    if (debt <= 0 || now >= request.due) {
        return request.due;
    }
    // An item with little slack hardly gives way, so that it never waits for one that has much.
    const double share = maxYieldedSlack * debt / (debt + itemsToYield * request.cost / request.weight);
    return request.due + std::chrono::duration_cast<SteadyTime::duration>(share * (request.due - now));
}

void WaitingQueue::remove(TicketId id)
{
    const std::optional<Waiting> removed = this->extract(id);
    if (removed && removed->isCharged) {
        const PlacementRequest &request = removed->request;
        this->sharesOf(request.work).withdraw(request.workspace, request.cost, request.weight);
    }
}

void WaitingQueue::removePlaced(TicketId id)
{
    const std::optional<Waiting> removed = this->extract(id);
    if (removed && removed->isCharged) {
        this->sharesOf(removed->request.work).recordService(removed->request.workspace, removed->startTag);
    }
}

std::optional<WaitingQueue::Waiting> WaitingQueue::extract(TicketId id)
{
    const auto found = this->positions.find(id);
    if (found == this->positions.end()) {
        return std::nullopt;
    }
    const auto &[work, key] = found->second;
    if (work == WorkClass::Online && !std::get<1>(key)) {
        --this->onTime[std::get<0>(key)];
    }
    auto removed = this->queueOf(work).extract(key);
    this->positions.erase(found);
    return std::move(removed.mapped());
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
    if (this->clock.now() <= this->queueOf(found->second.work).at(found->second.key).request.due) {
        return false;
    }
    this->insert(*this->extract(id));
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

bool WaitingQueue::isShared() const
{
    return this->hasShares && this->isAnyWorkspaceSeen;
}

WorkspaceShares &WaitingQueue::sharesOf(WorkClass work)
{
    return work == WorkClass::Online ? this->onlineShares : this->batchShares;
}

const WorkspaceShares &WaitingQueue::sharesOf(WorkClass work) const
{
    return work == WorkClass::Online ? this->onlineShares : this->batchShares;
}

} // namespace Dogwoodkeel
