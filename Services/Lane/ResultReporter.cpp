#include <Services/Lane/ResultReporter.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds flushInterval{20};
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
    if (this->pending.empty()) {
        this->loop.schedule(flushInterval, [this, alive = this->alive] {
            if (*alive) {
                this->flush();
            }
        });
    }
    this->unconfirmed[result.jobId].insert(result.index);
    this->pending.push_back(std::move(result));
}

bool ResultReporter::isEmpty() const
{
    return this->unconfirmed.empty();
}

const std::map<JobId, std::set<std::uint32_t>> &ResultReporter::items() const
{
    return this->unconfirmed;
}

void ResultReporter::flush()
{
    std::map<SessionNumber, std::vector<ItemRecord>> byOwner;
    for (ItemRecord &result : std::exchange(this->pending, {})) {
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
        this->retryLater(results);
        return;
    }
    this->peers.call<CommitItemsRequest>(owner->owner,
                                         {results, this->self},
                                         this->settings->peers.callTimeout,
                                         [this, results, alive = this->alive](const CallResult<CommitItemsResponse> &result) {
                                             if (*alive) {
                                                 this->handleResponse(results, result);
                                             }
                                         });
}

void ResultReporter::handleResponse(const std::vector<ItemRecord> &results, const CallResult<CommitItemsResponse> &result)
{
    if (!result.response) {
        this->retryLater(results);
        return;
    }
    const std::vector<JobId> &notOwned = result.response->notOwned;
    std::vector<ItemRecord> remaining;
    for (const ItemRecord &each : results) {
        if (std::ranges::find(notOwned, each.jobId) != notOwned.end()) {
            remaining.push_back(each);
            continue;
        }
        std::set<std::uint32_t> &items = this->unconfirmed[each.jobId];
        items.erase(each.index);
        if (items.empty()) {
            this->unconfirmed.erase(each.jobId);
        }
    }
    if (!remaining.empty()) {
        this->retryLater(std::move(remaining));
    }
}

void ResultReporter::retryLater(std::vector<ItemRecord> results)
{
    this->loop.schedule(retryDelay, [this, results = std::move(results), alive = this->alive] {
        if (!*alive) {
            return;
        }
        std::ranges::copy(results, std::back_inserter(this->pending));
        this->flush();
    });
}

} // namespace Dogwoodkeel
