#include <Services/Lane/ItemSource.h>

#include <LibBatch/BacklogModels.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Maximum number of queued items that are checked for one that may run. */
constexpr std::size_t lookAhead = 16;
/** Must be longer than a pull may take. */
constexpr std::chrono::milliseconds stoppedJobRetention{10000};

} // namespace

ItemSource::ItemSource(EventLoop &loop,
                       const Clock &clock,
                       const SettingsHandle &settings,
                       const SessionNumber &self,
                       PeerClient &peers,
                       const JobOwners &owners,
                       std::function<void(const std::string &model)> arrived)
    : loop(loop)
    , clock(clock)
    , settings(settings)
    , self(self)
    , peers(peers)
    , owners(owners)
    , arrived(std::move(arrived))
    , ownerSelector(clock)
{
}

ItemSource::~ItemSource()
{
    *this->alive = false;
}

std::optional<HeldItem> ItemSource::pop(const std::string &model, const std::function<bool(const HeldItem &)> &mayRun)
{
    std::deque<HeldItem> &queue = this->queues[model];
    const auto end = queue.begin() + static_cast<std::ptrdiff_t>(std::min(queue.size(), lookAhead));
    const auto found = std::find_if(queue.begin(), end, mayRun);
    if (found == end) {
        return std::nullopt;
    }
    HeldItem item = std::move(*found);
    queue.erase(found);
    return item;
}

void ItemSource::putBack(const std::string &model, HeldItem item)
{
    if (!this->stopped.contains(item.item.jobId)) {
        this->queues[model].push_front(std::move(item));
    }
}

void ItemSource::refill(const std::string &model, std::size_t wanted)
{
    const std::size_t there = this->queues[model].size();
    if (this->isClosed || there >= wanted || this->pulling[model]) {
        return;
    }
    std::vector<SessionNumber> candidates;
    const std::uint64_t bit = backlogBit(model);
    for (const Member &member : this->owners.view().members()) {
        if ((member.backlogModels & bit) != 0) {
            candidates.push_back(member.session);
        }
    }
    const std::optional<SessionNumber> selected = this->ownerSelector.select(model, candidates);
    if (!selected) {
        return;
    }
    this->pulling[model] = true;
    const auto limit = static_cast<std::uint32_t>(wanted - there);
    this->peers.call<PullItemsRequest>(
        this->owners.view().find(*selected)->owner,
        {model, limit, this->self},
        this->settings->peers.callTimeout,
        [this, model, owner = *selected, alive = this->alive](const CallResult<PullItemsResponse> &result) {
            if (*alive) {
                this->handleItems(model, owner, result);
            }
        });
}

void ItemSource::handleItems(const std::string &model, SessionNumber owner, const CallResult<PullItemsResponse> &result)
{
    this->pulling[model] = false;
    if (!result.response || this->isClosed) {
        // Items that the owner may have leased to this node are not renewed, so the owner hands them out again.
        return;
    }
    this->ownerSelector.recordAnswer(model, owner, result.response->waiting, result.response->latestStart);
    std::erase_if(this->stopped, [this](const auto &entry) {
        return this->clock.now() - entry.second > stoppedJobRetention;
    });
    for (const BatchItem &item : result.response->items) {
        if (!this->stopped.contains(item.jobId)) {
            HeldItem held;
            held.item = item;
            held.fingerprint = contentFingerprint(model, item.body);
            this->queues[model].push_back(std::move(held));
        }
    }
    if (!result.response->items.empty()) {
        this->arrived(model);
    }
}

void ItemSource::dropJob(const JobId &job)
{
    this->stopped[job] = this->clock.now();
    for (auto &[model, queue] : this->queues) {
        std::erase_if(queue, [&job](const HeldItem &held) {
            return held.item.jobId == job;
        });
    }
}

void ItemSource::dropItems(const JobId &job, const std::set<std::uint32_t> &items)
{
    for (auto &[model, queue] : this->queues) {
        std::erase_if(queue, [&](const HeldItem &held) {
            return held.item.jobId == job && items.contains(held.item.index);
        });
    }
}

void ItemSource::forgetOwner(SessionNumber owner)
{
    this->ownerSelector.remove(owner);
}

ItemsByJob ItemSource::close()
{
    this->isClosed = true;
    ItemsByJob items;
    this->addHeld(items);
    this->queues.clear();
    return items;
}

std::vector<std::string> ItemSource::models() const
{
    std::vector<std::string> names;
    for (const auto &[model, queue] : this->queues) {
        if (!queue.empty()) {
            names.push_back(model);
        }
    }
    return names;
}

ItemsByJob ItemSource::popAll(const std::string &model)
{
    ItemsByJob items;
    for (const HeldItem &held : std::exchange(this->queues[model], {})) {
        items[held.item.jobId].insert(held.item.index);
    }
    return items;
}

std::size_t ItemSource::waiting(const std::string &model) const
{
    const auto found = this->queues.find(model);
    return found != this->queues.end() ? found->second.size() : 0;
}

void ItemSource::addHeld(ItemsByJob &held) const
{
    for (const auto &[model, queue] : this->queues) {
        for (const HeldItem &item : queue) {
            held[item.item.jobId].insert(item.item.index);
        }
    }
}

} // namespace Dogwoodkeel
