#include <Services/Lane/LeaseRenewer.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

std::vector<ItemSpan> spansOf(const std::set<std::uint32_t> &items)
{
    std::vector<ItemSpan> spans;
    for (const std::uint32_t index : items) {
        if (!spans.empty() && spans.back().first + spans.back().count == index) {
            ++spans.back().count;
        } else {
            spans.push_back({index, 1});
        }
    }
    return spans;
}

} // namespace

LeaseRenewer::LeaseRenewer(EventLoop &loop,
                           const Clock &clock,
                           const SettingsHandle &settings,
                           const SessionNumber &self,
                           PeerClient &peers,
                           const JobOwners &owners,
                           Hooks hooks)
    : loop(loop), clock(clock), settings(settings), self(self), peers(peers), owners(owners), hooks(std::move(hooks))
{
}

LeaseRenewer::~LeaseRenewer()
{
    *this->alive = false;
}

void LeaseRenewer::tick()
{
    const bool isTime = this->clock.now() - this->lastRenewal >= this->settings->batch.itemLease / 4;
    if (!isTime && this->unreported.empty()) {
        return;
    }
    ItemsByJob items = this->hooks.held();
    std::erase_if(this->reportedOwner, [&items](const auto &entry) {
        return !items.contains(entry.first);
    });
    if (isTime) {
        this->lastRenewal = this->clock.now();
    } else {
        std::erase_if(items, [this](const auto &entry) {
            return !this->unreported.contains(entry.first);
        });
    }
    this->unreported.clear();
    this->renew(items);
}

void LeaseRenewer::ownersChanged()
{
    for (const auto &[job, items] : this->hooks.held()) {
        const Member *const owner = this->owners.of(job);
        const auto reported = this->reportedOwner.find(job);
        const bool isSame = owner != nullptr && reported != this->reportedOwner.end() && reported->second == owner->session;
        if (!isSame) {
            this->unreported.insert(job);
        }
    }
}

std::map<Address, std::vector<HeldItems>> LeaseRenewer::byOwner(const ItemsByJob &items) const
{
    std::map<Address, std::vector<HeldItems>> grouped;
    for (const auto &[job, indexes] : items) {
        if (const Member *const owner = this->owners.of(job)) {
            grouped[owner->owner].push_back({job, spansOf(indexes)});
        }
    }
    return grouped;
}

void LeaseRenewer::renew(const ItemsByJob &items)
{
    for (const auto &[job, indexes] : items) {
        const Member *const owner = this->owners.of(job);
        this->reportedOwner[job] = owner != nullptr ? owner->session : SessionNumber(0);
    }
    for (const auto &[owner, held] : this->byOwner(items)) {
        std::vector<JobId> jobs;
        for (const HeldItems &each : held) {
            jobs.push_back(each.jobId);
        }
        this->peers.call<RenewItemsRequest>(owner,
                                            {jobs, this->self, held},
                                            this->settings->peers.callTimeout,
                                            [this, jobs, alive = this->alive](const CallResult<RenewItemsResponse> &result) {
                                                if (!*alive) {
                                                    return;
                                                }
                                                if (!result.response) {
                                                    this->unreported.insert(jobs.begin(), jobs.end());
                                                    return;
                                                }
                                                this->handleResponse(result);
                                            });
    }
}

void LeaseRenewer::handleResponse(const CallResult<RenewItemsResponse> &result)
{
    for (const JobId &job : result.response->stopped) {
        this->hooks.stopJob(job);
    }
    for (const HeldItems &lost : result.response->lost) {
        std::set<std::uint32_t> items;
        for (const ItemSpan &span : lost.spans) {
            for (std::uint32_t i = 0; i < span.count; ++i) {
                items.insert(span.first + i);
            }
        }
        this->hooks.dropItems(lost.jobId, items);
    }
    this->unreported.insert(result.response->notOwned.begin(), result.response->notOwned.end());
}

void LeaseRenewer::returnItems(const ItemsByJob &items)
{
    for (const auto &[owner, held] : this->byOwner(items)) {
        this->peers.call<ReturnItemsRequest>(
            owner, {held, this->self}, this->settings->peers.callTimeout, [](const CallResult<ReturnItemsResponse> &) {});
    }
}

} // namespace Dogwoodkeel
