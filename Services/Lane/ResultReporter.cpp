#include <Services/Lane/ResultReporter.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds interval{20};
constexpr std::chrono::milliseconds retryDelay{200};

} // namespace

ResultReporter::ResultReporter(
    EventLoop &loop, const SettingsHandle &settings, const SessionNumber &self, PeerClient &peers, const JobOwners &owners)
    : loop(loop), settings(settings), self(self), peers(peers), owners(owners)
{
}

ResultReporter::~ResultReporter()
{
    *this->alive = false;
}

void ResultReporter::add(ItemRecord result)
{
    if (this->ready.empty()) {
        this->loop.schedule(interval, [this, alive = this->alive] {
            if (*alive) {
                this->flush();
            }
        });
    }
    this->kept[result.jobId].insert(result.index);
    this->ready.push_back(std::move(result));
}

bool ResultReporter::isEmpty() const
{
    return this->kept.empty();
}

const std::map<JobId, std::set<std::uint32_t>> &ResultReporter::items() const
{
    return this->kept;
}

void ResultReporter::flush()
{
    std::map<SessionNumber, std::vector<ItemRecord>> byOwner;
    for (ItemRecord &result : std::exchange(this->ready, {})) {
        const Member *const owner = this->owners.of(result.jobId);
        byOwner[owner != nullptr ? owner->session : SessionNumber(0)].push_back(std::move(result));
    }
    for (const auto &[owner, results] : byOwner) {
        this->send(results);
    }
}

void ResultReporter::send(const std::vector<ItemRecord> &results)
{
    const Member *const owner = this->owners.of(results.front().jobId);
    if (owner == nullptr) {
        this->again(results);
        return;
    }
    this->peers.call<CommitItemsRequest>(owner->owner,
                                         {results, this->self},
                                         this->settings->peers.callTimeout,
                                         [this, results, alive = this->alive](const CallResult<CommitItemsResponse> &result) {
                                             if (*alive) {
                                                 this->answered(results, result);
                                             }
                                         });
}

void ResultReporter::answered(const std::vector<ItemRecord> &results, const CallResult<CommitItemsResponse> &result)
{
    if (!result.response) {
        this->again(results);
        return;
    }
    const std::vector<JobId> &notOwned = result.response->notOwned;
    std::vector<ItemRecord> rest;
    for (const ItemRecord &each : results) {
        if (std::ranges::find(notOwned, each.jobId) != notOwned.end()) {
            rest.push_back(each);
            continue;
        }
        std::set<std::uint32_t> &items = this->kept[each.jobId];
        items.erase(each.index);
        if (items.empty()) {
            this->kept.erase(each.jobId);
        }
    }
    if (!rest.empty()) {
        this->again(std::move(rest));
    }
}

void ResultReporter::again(std::vector<ItemRecord> results)
{
    this->loop.schedule(retryDelay, [this, results = std::move(results), alive = this->alive] {
        if (!*alive) {
            return;
        }
        std::ranges::copy(results, std::back_inserter(this->ready));
        this->flush();
    });
}

} // namespace Dogwoodkeel
