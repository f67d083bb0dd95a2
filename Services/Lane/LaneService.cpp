#include <Services/Lane/LaneService.h>

#include <LibBase/Hash.h>
#include <LibBase/Log.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds resultInterval{20};
constexpr std::chrono::milliseconds resultRetry{200};
constexpr std::uint32_t itemsPerPull = 64;

} // namespace

LaneService::LaneService(
    EventLoop &loop, const Clock &clock, const SettingsHandle &settings, SessionNumber self, PeerClient &peers, HttpClient &http)
    : loop(loop)
    , clock(clock)
    , settings(settings)
    , self(self)
    , peers(peers)
    , http(http)
    , replicas(settings->endpoints)
    , view(std::make_shared<MemberView>(std::vector<Member>()))
{
}

LaneService::~LaneService()
{
    *this->alive = false;
}

void LaneService::start()
{
    this->tick();
}

void LaneService::setView(MemberViewPointer view)
{
    for (const Member &member : this->view->members()) {
        if (view->find(member.session) == nullptr) {
            for (auto &[name, held] : this->lanes) {
                held.lane.forget(member.session);
            }
        }
    }
    this->view = std::move(view);
}

void LaneService::setSession(SessionNumber self)
{
    this->self = self;
}

void LaneService::settingsChanged()
{
    this->replicas.update(this->settings->endpoints);
    const auto headroom = static_cast<std::uint32_t>(this->settings->batch.headroom);
    for (auto held = this->lanes.begin(); held != this->lanes.end();) {
        const Replica *const replica = this->replicas.find(held->first);
        if (replica != nullptr) {
            held->second.serves = replica->serves;
            held->second.lane.resize(replica->capacity, headroom);
            this->yield(held->second);
        }
        const bool isOver = replica == nullptr && held->second.runs.empty();
        held = isOver ? this->lanes.erase(held) : std::next(held);
    }
}

void LaneService::setVms(const std::vector<ListedVm> &vms)
{
    this->replicas.markLeaving(vms);
}

void LaneService::observe(const ReplicaLoad &notice)
{
    const auto found = this->lanes.find(notice.endpoint);
    if (found != this->lanes.end()) {
        found->second.lane.observeOnline(notice.from, notice.sequence, notice.inFlight);
        this->yield(found->second);
    }
}

void LaneService::drain(std::function<void()> drained)
{
    this->draining = true;
    this->drained = std::move(drained);
    // Items that wait here were leased to this node: their owners hand them out again when the leases run out.
    this->waiting.clear();
}

bool LaneService::isIdle() const
{
    const bool isRunning = std::ranges::any_of(this->lanes, [](const auto &entry) {
        return !entry.second.runs.empty();
    });
    return !isRunning && this->results.empty() && this->unsent == 0;
}

void LaneService::tick()
{
    this->takeLanes();
    for (auto &[name, held] : this->lanes) {
        if (const Replica *const replica = this->replicas.find(name)) {
            this->fill(*replica, held);
        }
    }
    this->renewLeases();
    if (this->draining && this->drained && this->isIdle()) {
        std::exchange(this->drained, nullptr)();
    }
    this->loop.schedule(this->settings->batch.pullInterval, [this, alive = this->alive] {
        if (*alive) {
            this->tick();
        }
    });
}

void LaneService::takeLanes()
{
    const auto headroom = static_cast<std::uint32_t>(this->settings->batch.headroom);
    for (const EndpointSettings &endpoint : this->settings->endpoints) {
        const EndpointName name(endpoint.name);
        const Member *const holder = this->view->holderOf(name);
        const bool isOurs = holder != nullptr && holder->session == this->self && !endpoint.model.empty() && !this->draining;
        const auto held = this->lanes.find(name);
        if (isOurs && held == this->lanes.end()) {
            this->lanes.emplace(name, HeldLane(endpoint.model, static_cast<std::uint32_t>(endpoint.capacity), headroom));
        }
        if (!isOurs && held != this->lanes.end() && held->second.runs.empty()) {
            this->lanes.erase(held);
        }
    }
}

void LaneService::yield(HeldLane &held)
{
    std::uint32_t excess = held.lane.excess();
    // The items with the fewest tokens lose the least by stopping.
    std::ranges::sort(held.runs, std::ranges::greater(), [](const auto &run) {
        return run->held().tokens;
    });
    while (excess > 0 && !held.runs.empty()) {
        HeldItem item = held.runs.back()->stop();
        held.runs.pop_back();
        held.lane.itemStopped();
        --item.attempts;
        --excess;
        this->waiting[held.serves].push_front(std::move(item));
    }
}

void LaneService::fill(const Replica &replica, HeldLane &held)
{
    std::deque<HeldItem> &queue = this->waiting[replica.serves];
    const Member *const holder = this->view->holderOf(replica.name);
    const bool isOurs = holder != nullptr && holder->session == this->self;
    std::uint32_t free = isOurs && !this->draining && !replica.isLeaving ? held.lane.freePlaces() : 0;
    while (free > 0 && !queue.empty()) {
        HeldItem item = std::move(queue.front());
        queue.pop_front();
        this->startItem(replica, held, std::move(item));
        --free;
    }
    if (free > 0) {
        this->pull(replica.serves);
    }
}

void LaneService::pull(const std::string &model)
{
    std::vector<const Member *> owners;
    for (const Member &member : this->view->members()) {
        if (member.backlog > 0) {
            owners.push_back(&member);
        }
    }
    if (owners.empty() || std::exchange(this->pulling[model], true)) {
        return;
    }
    const Member &owner = *owners[this->nextOwner++ % owners.size()];
    this->peers.call<PullItemsRequest>(owner.owner,
                                       {model, itemsPerPull, this->self},
                                       this->settings->peers.callTimeout,
                                       [this, model, alive = this->alive](CallResult<PullItemsResponse> result) {
                                           if (!*alive) {
                                               return;
                                           }
                                           this->pulling[model] = false;
                                           if (!result.response || this->draining) {
                                               return;
                                           }
                                           for (BatchItem &item : result.response->items) {
                                               this->waiting[model].push_back({std::move(item), {}, 0, 0});
                                           }
                                       });
}

void LaneService::startItem(const Replica &replica, HeldLane &held, HeldItem item)
{
    const auto run = std::make_shared<ItemRun>(this->http, std::move(item));
    held.runs.push_back(run);
    held.lane.itemStarted();
    run->start(replica.address, [this, name = replica.name, run, alive = this->alive](RunEnd end, const std::string &detail) {
        if (*alive) {
            this->onRunEnded(name, run, end, detail);
        }
    });
}

void LaneService::onRunEnded(const EndpointName &replica,
                             const std::shared_ptr<ItemRun> &run,
                             RunEnd end,
                             const std::string &detail)
{
    HeldLane &held = this->lanes.at(replica);
    std::erase(held.runs, run);
    held.lane.itemStopped();
    HeldItem item = run->held();
    const bool isLastAttempt = item.attempts >= static_cast<std::uint32_t>(this->settings->batch.itemAttempts);
    switch (end) {
    case RunEnd::Finished:
        this->addResult(item, ItemStatus::Succeeded, detail);
        return;
    case RunEnd::Rejected:
        this->addResult(item, ItemStatus::Failed, detail);
        return;
    case RunEnd::Refused:
        --item.attempts;
        break;
    case RunEnd::Lost:
        if (isLastAttempt) {
            this->addResult(item, ItemStatus::Failed, "every endpoint that ran it was lost");
            return;
        }
        break;
    }
    if (!this->draining) {
        this->waiting[held.serves].push_back(std::move(item));
    }
}

void LaneService::addResult(const HeldItem &item, ItemStatus status, const std::string &body)
{
    if (this->results.empty()) {
        this->loop.schedule(resultInterval, [this, alive = this->alive] {
            if (*alive) {
                this->flushResults();
            }
        });
    }
    this->results.push_back({item.item.jobId, item.item.index, status, body});
}

void LaneService::flushResults()
{
    std::map<SessionNumber, std::vector<ItemRecord>> byOwner;
    for (ItemRecord &result : std::exchange(this->results, {})) {
        const Member *const owner = this->ownerOf(result.jobId);
        byOwner[owner != nullptr ? owner->session : SessionNumber(0)].push_back(std::move(result));
    }
    for (const auto &[owner, batch] : byOwner) {
        this->sendResults(batch);
    }
}

const Member *LaneService::ownerOf(const JobId &job) const
{
    const auto shards = static_cast<std::uint64_t>(this->settings->owner.shards);
    return this->view->ownerOf(ShardNumber(static_cast<std::uint32_t>(stableHash(job.value()) % shards)));
}

void LaneService::sendResults(const std::vector<ItemRecord> &results)
{
    const Member *const owner = this->ownerOf(results.front().jobId);
    this->unsent += results.size();
    // A result is kept here until its owner says that it is journalled; what was not goes round again.
    const auto again = [this, alive = this->alive](std::vector<ItemRecord> rest) {
        this->loop.schedule(resultRetry, [this, alive, rest = std::move(rest)] {
            if (!*alive) {
                return;
            }
            this->unsent -= rest.size();
            std::ranges::copy(rest, std::back_inserter(this->results));
            this->flushResults();
        });
    };
    if (owner == nullptr) {
        again(results);
        return;
    }
    this->peers.call<CommitItemsRequest>(owner->owner,
                                         {results, this->self},
                                         this->settings->peers.callTimeout,
                                         [this, results, again, alive = this->alive](CallResult<CommitItemsResponse> result) {
                                             if (!*alive) {
                                                 return;
                                             }
                                             if (!result.response) {
                                                 again(results);
                                                 return;
                                             }
                                             const std::vector<JobId> &notOwned = result.response->notOwned;
                                             std::vector<ItemRecord> rest;
                                             for (const ItemRecord &each : results) {
                                                 if (std::ranges::find(notOwned, each.jobId) != notOwned.end()) {
                                                     rest.push_back(each);
                                                 }
                                             }
                                             this->unsent -= results.size() - rest.size();
                                             if (!rest.empty()) {
                                                 again(std::move(rest));
                                             }
                                         });
}

void LaneService::renewLeases()
{
    if (this->clock.now() - this->lastRenewal < this->settings->batch.itemLease / 4) {
        return;
    }
    this->lastRenewal = this->clock.now();
    std::set<JobId> jobs;
    for (const auto &[name, held] : this->lanes) {
        for (const auto &run : held.runs) {
            jobs.insert(run->held().item.jobId);
        }
    }
    for (const auto &[model, queue] : this->waiting) {
        for (const HeldItem &item : queue) {
            jobs.insert(item.item.jobId);
        }
    }
    std::map<Address, std::vector<JobId>> byOwner;
    for (const JobId &job : jobs) {
        if (const Member *const owner = this->ownerOf(job)) {
            byOwner[owner->owner].push_back(job);
        }
    }
    for (const auto &[owner, owned] : byOwner) {
        this->peers.call<RenewItemsRequest>(owner,
                                            {owned, this->self},
                                            this->settings->peers.callTimeout,
                                            [this, alive = this->alive](CallResult<RenewItemsResponse> result) {
                                                if (!*alive || !result.response) {
                                                    return;
                                                }
                                                for (const JobId &job : result.response->stopped) {
                                                    this->stopJob(job);
                                                }
                                            });
    }
}

void LaneService::stopJob(const JobId &job)
{
    for (auto &entry : this->lanes) {
        HeldLane &held = entry.second;
        std::erase_if(held.runs, [&held, &job](const std::shared_ptr<ItemRun> &run) {
            if (run->held().item.jobId != job) {
                return false;
            }
            run->stop();
            held.lane.itemStopped();
            return true;
        });
    }
    for (auto &[model, queue] : this->waiting) {
        std::erase_if(queue, [&job](const HeldItem &item) {
            return item.item.jobId == job;
        });
    }
}

} // namespace Dogwoodkeel
