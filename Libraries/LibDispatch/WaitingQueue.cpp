#include <LibDispatch/WaitingQueue.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

namespace
{

/** Number of own items ahead, or of debt, at which an item gives way by half of what it can at most. */
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
    Waiting waiting{request, lastRequested, this->clock.now()};
    if (this->isShared()) {
        const bool hasWeight = request.weight > 0 && !request.workspace.value().empty();
        waiting.request.cost = std::max<std::uint32_t>(request.cost, 1);
        waiting.request.weight = hasWeight ? request.weight : 1;
        waiting.isShared = true;
        WorkspaceShares &shares = this->sharesOf(request.work, request.priority);
        shares.addWaiting(request.workspace, waiting.request.weight);
        waiting.arrivedTag = shares.currentTag();
    }
    this->insert(std::move(waiting));
}

void WaitingQueue::insert(Waiting waiting)
{
    const WorkClass work = waiting.request.work;
    const bool isLate = this->clock.now() > waiting.request.due;
    waiting.startTag = this->tagOf(waiting, isLate);
    // The position of an item depends on those that were added before it.
    const SteadyTime order = this->orderOf(waiting);
    const bool isFollower = this->addToChain(waiting, isLate);
    const Key key(waiting.request.priority, isLate, isFollower, waiting.startTag, order, waiting.request.id);
    if (work == WorkClass::Online && !isLate) {
        waiting.isWithinShare = waiting.startTag <= waiting.arrivedTag;
        OnTimeCount &count = this->onTime[waiting.request.priority];
        ++count.all;
        count.withinShare += waiting.isWithinShare ? 1 : 0;
    }
    this->positions.insert_or_assign(waiting.request.id, Position{work, key});
    this->queueOf(work).insert_or_assign(key, std::move(waiting));
}

SteadyTime WaitingQueue::orderOf(const Waiting &waiting) const
{
    const PlacementRequest &request = waiting.request;
    if (request.work == WorkClass::Online) {
        return request.arrived;
    }
    const SteadyTime now = this->clock.now();
    if (!waiting.isShared || now >= request.due) {
        return request.due;
    }
    const WorkspaceShares &shares = this->sharesOf(request.work, request.priority);
    // In items of usual weight: a workspace of twice the weight may have twice as many waiting.
    const double itemsAhead = this->ownExcess(request) / request.cost * shares.meanWeight() / request.weight;
    // An item with little slack hardly gives way, so that it never waits for one that has much.
    const double share = maxYieldedSlack * itemsAhead / (itemsAhead + itemsToYield);
    return request.due + std::chrono::duration_cast<SteadyTime::duration>(share * (request.due - now));
}

bool WaitingQueue::isChained(const Waiting &waiting)
{
    // A request that only some replicas can serve must not hold up the others of its workspace.
    return waiting.isShared && !waiting.request.isReserved && !waiting.request.isRestricted();
}

WaitingQueue::ChainKey WaitingQueue::chainKeyOf(const PlacementRequest &request, bool isLate)
{
    return {request.work, request.priority, isLate, request.workspace};
}

double WaitingQueue::tagOf(const Waiting &waiting, bool isLate) const
{
    const PlacementRequest &request = waiting.request;
    if (!waiting.isShared || request.work != WorkClass::Online) {
        return 0;
    }
    const WorkspaceShares &shares = this->sharesOf(request.work, request.priority);
    if (request.isReserved) {
        return -std::numeric_limits<double>::infinity();
    }
    const auto chain = this->chains.find(chainKeyOf(request, isLate));
    if (!isChained(waiting) || chain == this->chains.end()) {
        return shares.startTag(request.workspace, waiting.arrivedTag);
    }
    const auto &[arrived, id] = *chain->second.requests.begin();
    return std::pair(request.arrived, request.id) < std::pair(arrived, id)
        ? this->find(id)->startTag
        : shares.startTag(request.workspace, waiting.arrivedTag, chain->second.work);
}

bool WaitingQueue::addToChain(const Waiting &waiting, bool isLate)
{
    if (!isChained(waiting)) {
        return false;
    }
    const PlacementRequest &request = waiting.request;
    const ChainKey key = chainKeyOf(request, isLate);
    Chain &chain = this->chains[key];
    const auto added = chain.requests.emplace(request.arrived, request.id).first;
    chain.work += request.cost;
    if (request.work != WorkClass::Online || chain.requests.size() == 1) {
        return false;
    }
    if (added == chain.requests.begin()) {
        // It has the tag of the one that was the first until now, which has to wait for it.
        const TicketId former = std::next(added)->second;
        this->move(former, true, this->find(former)->startTag);
        return false;
    }
    return true;
}

void WaitingQueue::removeFromChain(const Waiting &waiting, bool isLate)
{
    if (!isChained(waiting)) {
        return;
    }
    const PlacementRequest &request = waiting.request;
    const auto chain = this->chains.find(chainKeyOf(request, isLate));
    chain->second.requests.erase({request.arrived, request.id});
    chain->second.work -= request.cost;
    if (chain->second.requests.empty()) {
        this->chains.erase(chain);
    }
}

void WaitingQueue::updateFirst(const ChainKey &key)
{
    const auto chain = this->chains.find(key);
    if (chain == this->chains.end() || std::get<WorkClass>(key) != WorkClass::Online) {
        return;
    }
    const TicketId first = chain->second.requests.begin()->second;
    if (std::get<2>(this->positions.at(first).key)) {
        const WorkspaceShares &shares = this->sharesOf(WorkClass::Online, std::get<1>(key));
        this->move(first, false, shares.startTag(std::get<WorkspaceName>(key), this->find(first)->arrivedTag));
    }
}

void WaitingQueue::move(TicketId id, bool isFollower, double startTag)
{
    Key &key = this->positions.at(id).key;
    auto entry = this->online.extract(key);
    entry.mapped().startTag = startTag;
    std::get<2>(key) = isFollower;
    std::get<3>(key) = startTag;
    entry.key() = key;
    this->online.insert(std::move(entry));
}

void WaitingQueue::remove(TicketId id)
{
    const std::optional<Waiting> removed = this->extract(id);
    if (removed && removed->isShared) {
        const PlacementRequest &request = removed->request;
        this->sharesOf(request.work, request.priority).removeWaiting(request.workspace);
    }
}

void WaitingQueue::removePlaced(TicketId id)
{
    const auto position = this->positions.find(id);
    if (position == this->positions.end()) {
        return;
    }
    const Waiting &waiting = this->of(position->second.work).at(position->second.key);
    if (waiting.isShared) {
        const PlacementRequest &request = waiting.request;
        this->sharesOf(request.work, request.priority).recordService(request.workspace, waiting.startTag, request.cost);
    }
    this->extract(id);
}

std::optional<WaitingQueue::Waiting> WaitingQueue::extract(TicketId id)
{
    const auto found = this->positions.find(id);
    if (found == this->positions.end()) {
        return std::nullopt;
    }
    const auto [work, key] = found->second;
    const bool isLate = std::get<1>(key);
    Waiting removed = std::move(this->queueOf(work).extract(key).mapped());
    if (work == WorkClass::Online && !isLate) {
        OnTimeCount &count = this->onTime[removed.request.priority];
        --count.all;
        count.withinShare -= removed.isWithinShare ? 1 : 0;
    }
    this->positions.erase(found);
    this->removeFromChain(removed, isLate);
    this->updateFirst(chainKeyOf(removed.request, isLate));
    return removed;
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
        ahead += count->second.all;
    }
    return ahead;
}

std::size_t WaitingQueue::withinShareAhead(std::uint32_t priority) const
{
    const auto count = this->onTime.find(priority);
    return count != this->onTime.end() ? count->second.withinShare : 0;
}

bool WaitingQueue::isAnyOnTime() const
{
    return std::ranges::any_of(this->onTime, [](const auto &count) {
        return count.second.all > 0;
    });
}

bool WaitingQueue::isShared() const
{
    return this->hasShares && this->isAnyWorkspaceSeen;
}

WorkspaceShares &WaitingQueue::sharesOf(WorkClass work, std::uint32_t priority)
{
    return this->shares[{work, priority}];
}

const WorkspaceShares &WaitingQueue::sharesOf(WorkClass work, std::uint32_t priority) const
{
    static const WorkspaceShares none;
    const auto found = this->shares.find({work, priority});
    return found != this->shares.end() ? found->second : none;
}

double WaitingQueue::ownExcess(const PlacementRequest &request) const
{
    const auto chain = this->chains.find(chainKeyOf(request, false));
    const bool isIncluded = chain != this->chains.end() && chain->second.requests.contains({request.arrived, request.id});
    const double ahead = chain != this->chains.end() ? chain->second.work - (isIncluded ? request.cost : 0) : 0;
    return this->sharesOf(request.work, request.priority).debtOf(request.workspace, ahead);
}

bool WaitingQueue::hasOwnAhead(const PlacementRequest &request) const
{
    const auto chain = this->chains.find(chainKeyOf(request, false));
    return chain != this->chains.end() && *chain->second.requests.begin() < std::pair(request.arrived, request.id);
}

std::size_t WaitingQueue::waitingWorkspaces() const
{
    std::size_t count = 0;
    for (const auto &[key, shares] : this->shares) {
        count += shares.waiting();
    }
    return count;
}

} // namespace Dogwoodkeel
