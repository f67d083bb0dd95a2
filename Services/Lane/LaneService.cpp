#include <Services/Lane/LaneService.h>

#include <LibBase/Log.h>
#include <Services/Lane/EngineReport.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds reportTimeout{1000};
/** Interval of load queries while a lane is not settled, or while this node only finishes running items. */
constexpr std::chrono::milliseconds shortReportInterval{150};
constexpr std::chrono::milliseconds longReportInterval{1000};
/** A tick delayed by more than this means that the process or its VM was paused. */
constexpr std::chrono::milliseconds pauseThreshold{1000};
/** How long no item is started on an engine that is unreachable or refuses items. */
constexpr std::chrono::milliseconds backoffAfterRefusal{500};
constexpr std::chrono::milliseconds backoffAfterLoss{500};
/** Number of stalled runs after which an item fails. */
constexpr std::uint32_t maxStalls = 10;
constexpr std::chrono::milliseconds logInterval{2000};
constexpr int statusOk = 200;

LanePolicy policyOf(BatchPolicy policy)
{
    switch (policy) {
    case BatchPolicy::Yield:
        return LanePolicy::Yield;
    case BatchPolicy::FixedLimit:
        return LanePolicy::FixedLimit;
    case BatchPolicy::Unlimited:
        return LanePolicy::Unlimited;
    }
    return LanePolicy::Yield;
}

} // namespace

LaneService::LaneService(
    EventLoop &loop, const Clock &clock, const SettingsHandle &settings, SessionNumber self, PeerClient &peers, HttpClient &http)
    : loop(loop)
    , clock(clock)
    , settings(settings)
    , self(self)
    , http(http)
    , replicas(settings->endpoints)
    , owners(settings)
    , results(loop, settings, this->self, peers, this->owners)
    , leases(loop,
             clock,
             settings,
             this->self,
             peers,
             this->owners,
             {.held =
                  [this] {
                      return this->heldItems();
                  },
              .stopJob =
                  [this](const JobId &job) {
                      this->observe(JobStopped{job});
                  },
              .dropItems =
                  [this](const JobId &job, const std::set<std::uint32_t> &dropped) {
                      this->items.dropItems(job, dropped);
                      this->stopRuns([&](const HeldItem &item) {
                          return item.item.jobId == job && dropped.contains(item.item.index);
                      });
                  }})
    , items(loop,
            clock,
            settings,
            this->self,
            peers,
            this->owners,
            [this](const std::string &model) {
                this->fillAll(model);
            })
    , quarantine(clock, {})
    , lastTick(clock.now())
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
    for (const Member &member : this->owners.view().members()) {
        if (view->find(member.session) != nullptr) {
            continue;
        }
        for (auto &[name, held] : this->lanes) {
            held.lane.forget(member.session);
        }
        this->items.forgetOwner(member.session);
    }
    this->owners.setView(std::move(view));
    this->updateLanes();
    this->leases.ownersChanged();
}

Lane::Options LaneService::laneOptions(std::uint32_t capacity) const
{
    const BatchSettings &batch = this->settings->batch;
    Lane::Options options;
    options.policy = policyOf(batch.policy);
    options.capacity = capacity;
    options.headroom = static_cast<std::uint32_t>(batch.headroom);
    options.fixedLimit = static_cast<std::uint32_t>(batch.fixedLimit);
    options.slowdown = batch.slowdown;
    options.reaction = batch.reaction;
    return options;
}

void LaneService::setSession(SessionNumber self)
{
    this->self = self;
}

void LaneService::settingsChanged()
{
    this->replicas.update(this->settings->endpoints);
    for (auto held = this->lanes.begin(); held != this->lanes.end();) {
        const Replica *const replica = this->replicas.find(held->first);
        if (replica != nullptr) {
            held->second.serves = replica->serves;
            held->second.lane.configure(this->laneOptions(replica->capacity));
            this->yield(held->first, held->second);
        }
        const bool isOver = replica == nullptr && held->second.runs.empty();
        held = isOver ? this->lanes.erase(held) : std::next(held);
    }
}

void LaneService::setLeaving(const EndpointName &endpoint, bool isLeaving)
{
    if (Replica *const replica = this->replicas.find(endpoint)) {
        replica->isLeaving = isLeaving;
    }
}

void LaneService::observe(const ReplicaLoad &notice)
{
    const auto found = this->lanes.find(notice.endpoint);
    if (found != this->lanes.end()) {
        found->second.lane.observeOnline(notice.from, notice.sequence, notice.inFlight);
        this->yield(found->first, found->second);
        // Fills the other replicas too: items stopped on this one may continue there.
        this->fillAll(found->second.serves);
    }
}

std::map<EndpointName, std::uint32_t> LaneService::itemsRunning() const
{
    std::map<EndpointName, std::uint32_t> items;
    for (const auto &[name, held] : this->lanes) {
        items[name] = static_cast<std::uint32_t>(held.runs.size());
    }
    return items;
}

void LaneService::observe(const JobStopped &stopped)
{
    this->items.dropJob(stopped.jobId);
    this->stopRuns([&stopped](const HeldItem &item) {
        return item.item.jobId == stopped.jobId;
    });
}

void LaneService::drain(std::function<void()> drained)
{
    this->draining = true;
    this->drained = std::move(drained);
    this->leases.returnItems(this->items.close());
    this->updateLanes();
}

bool LaneService::isIdle() const
{
    const bool isRunning = std::ranges::any_of(this->lanes, [](const auto &entry) {
        return !entry.second.runs.empty();
    });
    return !isRunning && this->results.isEmpty();
}

void LaneService::tick()
{
    this->detectPause();
    this->updateLanes();
    for (auto &[name, held] : this->lanes) {
        held.lane.expireNotices();
        this->stopStalledRuns(name, held);
        this->queryEngine(name, held);
        this->fill(name, held);
    }
    this->returnUnrunnable();
    this->leases.tick();
    this->logLanes();
    if (this->draining && this->drained && this->isIdle()) {
        std::exchange(this->drained, nullptr)();
    }
    this->loop.schedule(this->settings->batch.pullInterval, [this, alive = this->alive] {
        if (*alive) {
            this->tick();
        }
    });
}

void LaneService::returnUnrunnable()
{
    // All lanes of a model may have moved to other nodes while pulled or stopped items wait here. If their leases were
    // renewed further, the items would never run and their jobs never end.
    for (const std::string &model : this->items.models()) {
        const bool hasLane = std::ranges::any_of(this->lanes, [&model](const auto &entry) {
            return entry.second.isLocal && entry.second.serves == model;
        });
        if (!hasLane) {
            this->leases.returnItems(this->items.popAll(model));
        }
    }
}

void LaneService::logLanes()
{
    const SteadyTime now = this->clock.now();
    if (now - this->lastLog < logInterval) {
        return;
    }
    this->lastLog = now;
    for (const auto &[name, held] : this->lanes) {
        log(LogLevel::Debug,
            "lane",
            {{"endpoint", name.value()},
             {"items", static_cast<std::int64_t>(held.lane.running())},
             {"online", static_cast<std::int64_t>(held.lane.online())},
             {"headroom", static_cast<std::int64_t>(held.lane.headroom())},
             {"limit", static_cast<std::int64_t>(held.lane.streamLimit())},
             {"reaction_ms", std::chrono::duration<double, std::milli>(held.lane.reactionTime()).count()},
             {"waiting", static_cast<std::int64_t>(this->items.waiting(held.serves))},
             {"is_ours", held.isLocal},
             {"is_settled", held.lane.isSettled()}});
    }
}

void LaneService::detectPause()
{
    // While this process was paused, other nodes may have considered it dead, and another node may run items in its lanes.
    // Its view of the members is as old as the pause, so only the engines know what runs.
    const SteadyTime now = this->clock.now();
    if (now - std::exchange(this->lastTick, now) < this->settings->batch.pullInterval + pauseThreshold) {
        return;
    }
    log(LogLevel::Warning, "process was paused, querying the engines for running items");
    for (auto &[name, held] : this->lanes) {
        held.lane.unsettle();
        held.unsettledSince = now;
    }
}

void LaneService::updateLanes()
{
    for (const EndpointSettings &endpoint : this->settings->endpoints) {
        const EndpointName name(endpoint.name);
        const Member *const holder = this->owners.view().laneHolderOf(name);
        const bool isLocal = holder != nullptr && holder->session == this->self && !endpoint.model.empty() && !this->draining;
        const auto held = this->lanes.find(name);
        if (isLocal && held == this->lanes.end()) {
            const Lane::Options options = this->laneOptions(static_cast<std::uint32_t>(endpoint.capacity));
            HeldLane &added = this->lanes.emplace(name, HeldLane(endpoint.model, this->clock, options)).first->second;
            added.unsettledSince = this->clock.now();
        } else if (held != this->lanes.end() && held->second.isLocal != isLocal) {
            held->second.isLocal = isLocal;
            held->second.lane.unsettle();
            held->second.unsettledSince = this->clock.now();
        }
        if (!isLocal && held != this->lanes.end() && held->second.runs.empty()) {
            this->lanes.erase(held);
        }
    }
}

void LaneService::stopStalledRuns(const EndpointName &name, HeldLane &held)
{
    const SteadyTime oldest = this->clock.now() - this->settings->entry.progressTimeout;
    std::vector<HeldItem> stalled;
    std::erase_if(held.runs, [&](const std::shared_ptr<ItemRun> &run) {
        if (run->lastProgress() >= oldest) {
            return false;
        }
        stalled.push_back(run->stop());
        held.lane.itemStopped(run->hasProceeded());
        return true;
    });
    if (stalled.empty()) {
        return;
    }
    // The connection may have stalled while the engine works: idle connections to the same address are not used again.
    if (const Replica *const replica = this->replicas.find(name)) {
        this->http.closeIdle(replica->address);
    }
    for (HeldItem &item : stalled) {
        if (++item.stalls >= maxStalls) {
            this->addResult(item, ItemStatus::Failed, "no endpoint made progress on it");
        } else {
            this->items.putBack(held.serves, std::move(item));
        }
    }
}

void LaneService::queryEngine(const EndpointName &name, HeldLane &held)
{
    const SteadyTime now = this->clock.now();
    const auto interval = held.isLocal && held.lane.isSettled() ? longReportInterval : shortReportInterval;
    const Replica *const replica = this->replicas.find(name);
    if (replica == nullptr || held.isQuerying || now - held.lastQuery < interval) {
        return;
    }
    if (!held.lane.isSettled() && now - held.unsettledSince > this->settings->batch.itemLease) {
        held.lane.settle();
    }
    held.isQuerying = true;
    held.lastQuery = now;
    this->http.fetch(replica->address,
                     {.method = "GET", .path = "/load"},
                     reportTimeout,
                     [this, name, now, alive = this->alive](ExchangeEnd end, const HttpResponse &response) {
                         if (!*alive) {
                             return;
                         }
                         const auto found = this->lanes.find(name);
                         if (found == this->lanes.end()) {
                             return;
                         }
                         found->second.isQuerying = false;
                         if (end == ExchangeEnd::Complete && response.status == statusOk) {
                             found->second.lane.observeAnswer(this->clock.now() - now);
                             this->onReport(name, response);
                         }
                     });
}

void LaneService::onReport(const EndpointName &name, const HttpResponse &response)
{
    const std::optional<EngineReport> report = parseEngineReport(response.body);
    if (!report) {
        return;
    }
    HeldLane &held = this->lanes.at(name);
    // The entry task sets the lasting mark (setLeaving), which holds until the endpoint restarts, even if lists lag behind.
    held.isLeaving = report->isLeaving;
    if (held.isLocal) {
        held.lane.observeReport(report->load);
        this->fill(name, held);
        return;
    }
    // Entries report their requests to the new holder, not to this node, which knows only the queue of the engine.
    this->stopItems(name, held, report->load.queued);
}

void LaneService::yield(const EndpointName &name, HeldLane &held)
{
    this->stopItems(name, held, held.lane.excess());
}

void LaneService::stopItems(const EndpointName &name, HeldLane &held, std::uint32_t slots)
{
    if (slots == 0 || held.runs.empty()) {
        return;
    }
    const auto cancelled = [this, name, alive = this->alive](std::chrono::nanoseconds passed) {
        if (!*alive) {
            return;
        }
        if (const auto found = this->lanes.find(name); found != this->lanes.end()) {
            found->second.lane.observeCancel(passed);
        }
    };
    // The items with the fewest tokens lose the least by stopping.
    std::ranges::sort(held.runs, std::ranges::greater(), [](const auto &run) {
        return run->held().tokens;
    });
    while (slots > 0 && !held.runs.empty()) {
        const std::shared_ptr<ItemRun> run = held.runs.back();
        held.runs.pop_back();
        HeldItem item = run->stop(cancelled);
        held.lane.itemStopped(run->hasProceeded());
        --slots;
        this->items.putBack(held.serves, std::move(item));
    }
}

bool LaneService::mayRun(const HeldLane &held, const HeldItem &item) const
{
    // Items that ran on a lost endpoint run one at a time on a replica. If one of them crashes the replica again, the crash
    // is not attributed to the others.
    if (this->quarantine.status(item.fingerprint) == QuarantineStatus::Clear) {
        return true;
    }
    return std::ranges::none_of(held.runs, [this](const std::shared_ptr<ItemRun> &run) {
        return this->quarantine.status(run->held().fingerprint) != QuarantineStatus::Clear;
    });
}

void LaneService::fill(const EndpointName &name, HeldLane &held)
{
    const Replica *const replica = this->replicas.find(name);
    const bool isBackingOff = held.backoffUntil > this->clock.now();
    if (replica == nullptr || !held.isLocal || held.isLeaving || replica->isLeaving || isBackingOff || this->draining) {
        return;
    }
    std::uint32_t free = held.lane.freeSlots();
    const auto allowed = [this, &held](const HeldItem &item) {
        return this->mayRun(held, item);
    };
    while (free > 0) {
        auto item = this->items.pop(held.serves, allowed);
        if (!item) {
            break;
        }
        if (this->quarantine.status(item->fingerprint) == QuarantineStatus::Quarantined) {
            this->addResult(*item, ItemStatus::Failed, "the endpoints that ran it crashed");
            continue;
        }
        this->startItem(*replica, held, std::move(*item));
        --free;
    }
    this->items.refill(held.serves, this->wantedItems(held.serves));
}

std::size_t LaneService::wantedItems(const std::string &model) const
{
    // Prefetches a few more items than there are free slots, so that a slot does not wait for a round trip. Prefetching more
    // would withhold items from nodes with empty lanes, and the last items of a job would all run on one node.
    std::size_t wanted = 0;
    for (const auto &[name, held] : this->lanes) {
        if (held.serves == model && held.isLocal) {
            wanted += held.lane.freeSlots() + (held.lane.running() + 1) / 2;
        }
    }
    return std::min(wanted, static_cast<std::size_t>(this->settings->batch.prefetch));
}

void LaneService::fillAll(const std::string &model)
{
    for (auto &[name, held] : this->lanes) {
        if (held.serves == model) {
            this->fill(name, held);
        }
    }
}

void LaneService::startItem(const Replica &replica, HeldLane &held, HeldItem item)
{
    const std::string runId = "batch-" + std::to_string(this->self.value()) + '-' + std::to_string(++this->lastRun);
    // An idle connection to an engine that crashed and restarted fails on its next use. Counted as a second crash, that would
    // fail an item that only ran beside the crashing one. On a fresh connection, a disconnect is the engine's fault.
    const bool isSuspect = this->quarantine.status(item.fingerprint) != QuarantineStatus::Clear;
    const auto connection = item.stalls > 0 || isSuspect ? ConnectionChoice::Fresh : ConnectionChoice::Pooled;
    const auto run = std::make_shared<ItemRun>(this->http, this->clock, std::move(item), runId);
    held.runs.push_back(run);
    held.lane.itemStarted();
    run->start(replica.address, connection, this->hooksOf(replica.name, run));
}

ItemRun::Hooks LaneService::hooksOf(const EndpointName &name, const std::shared_ptr<ItemRun> &run)
{
    return {.firstToken =
                [this, name, alive = this->alive] {
                    if (!*alive) {
                        return;
                    }
                    HeldLane &held = this->lanes.at(name);
                    held.lane.itemGotFirstToken();
                    this->fill(name, held);
                },
            .gap =
                [this, name, alive = this->alive](std::chrono::nanoseconds passed) {
                    if (*alive) {
                        this->lanes.at(name).lane.observeTokenGap(passed);
                    }
                },
            .ended =
                [this, name, run, alive = this->alive](RunEnd end, const std::string &detail) {
                    if (*alive) {
                        this->onRunEnded(name, run, end, detail);
                    }
                }};
}

void LaneService::onRunEnded(const EndpointName &name, const std::shared_ptr<ItemRun> &run, RunEnd end, const std::string &detail)
{
    HeldLane &held = this->lanes.at(name);
    std::erase(held.runs, run);
    held.lane.itemStopped(run->hasProceeded());
    const HeldItem &item = run->held();
    switch (end) {
    case RunEnd::Finished:
        this->quarantine.recordSuccess(item.fingerprint);
        this->addResult(item, ItemStatus::Succeeded, detail);
        break;
    case RunEnd::Rejected:
        this->addResult(item, ItemStatus::Failed, detail);
        break;
    case RunEnd::Refused:
        this->items.putBack(held.serves, item);
        held.backoffUntil = this->clock.now() + backoffAfterRefusal;
        return;
    case RunEnd::Lost:
        this->onLost(name, held, *run);
        return;
    }
    this->fill(name, held);
}

void LaneService::onLost(const EndpointName &name, HeldLane &held, const ItemRun &run)
{
    const Replica *const replica = this->replicas.find(name);
    const FailureDomain domain = replica != nullptr ? replica->failureDomain : FailureDomain();
    const HeldItem &item = run.held();
    // An engine that is shutting down may still accept a connection and close it. An item started there at once would be
    // lost a second time to the same crash, and the crash would be attributed to it.
    held.backoffUntil = this->clock.now() + backoffAfterLoss;
    log(LogLevel::Info,
        "item lost with its endpoint",
        {{"job", item.item.jobId.value()},
         {"item", static_cast<std::int64_t>(item.item.index)},
         {"endpoint", name.value()},
         {"tokens", static_cast<std::int64_t>(item.tokens)}});
    if (this->quarantine.recordLoss(item.fingerprint, {name, domain, run.sent(), this->clock.now()})
        == QuarantineStatus::Quarantined) {
        this->addResult(item, ItemStatus::Failed, "the endpoints that ran it crashed");
        return;
    }
    this->items.putBack(held.serves, item);
}

void LaneService::stopRuns(const std::function<bool(const HeldItem &)> &isWanted)
{
    for (auto &[name, held] : this->lanes) {
        std::erase_if(held.runs, [&held = held, &isWanted](const std::shared_ptr<ItemRun> &run) {
            if (!isWanted(run->held())) {
                return false;
            }
            run->stop();
            held.lane.itemStopped(run->hasProceeded());
            return true;
        });
    }
}

void LaneService::addResult(const HeldItem &item, ItemStatus status, const std::string &body)
{
    this->results.add({item.item.jobId, item.item.index, status, body});
}

ItemsByJob LaneService::heldItems() const
{
    ItemsByJob held = this->results.items();
    this->items.addHeld(held);
    for (const auto &[name, lane] : this->lanes) {
        for (const auto &run : lane.runs) {
            held[run->held().item.jobId].insert(run->held().item.index);
        }
    }
    return held;
}

} // namespace Dogwoodkeel
