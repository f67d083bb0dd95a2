#include <LibDispatch/Dispatcher.h>

#include <LibBase/Log.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** A waiting request that its node has not sent again within this time is over: the datagram that ended it was lost. */
constexpr std::chrono::milliseconds waitingRetention{800};
constexpr std::chrono::milliseconds batchWaitingRetention{4000};
/** A placement that its node has not reported within this time is over; nodes report several times as often. */
constexpr std::chrono::milliseconds placementRetention{1500};
/** A report that is sent sooner than this after a placement may not include it yet. Longer than any datagram takes. */
constexpr std::chrono::milliseconds reportLag{250};
/** A stop order without effect after this time was lost, and is repeated. */
constexpr std::chrono::milliseconds stopRepeatInterval{40};
/** An item with less slack is not stopped: most likely no slot would be free again before it is late. */
constexpr std::chrono::milliseconds minStopSlack{500};
/**
 * Assumed slack of an item that is known only from a report: it may be stopped, but after items that are known to have
 * more.
 */
constexpr std::chrono::milliseconds unknownSlack{1000};
/** Interval of the cleanup of expired requests and placements; several times shorter than the retention times. */
constexpr std::chrono::milliseconds cleanupInterval{100};

/**
 * How many usable items with the most slack are compared to find one whose replica has an open connection from the
 * requesting node.
 */
constexpr std::size_t maxVictimsCompared = 24;

/**
 * A late request that is unlikely to get a slot is refused after this fraction (1/lateRefusalDivisor) of its caller's
 * timeout, so that the caller has time left to retry.
 */
constexpr int lateRefusalDivisor = 3;
/**
 * Minimum share of a service's capacity that is unused in the long run if an overload is only a burst; with less, the
 * overload is sustained.
 */
constexpr double minSpareShare = 0.05;

/** Weight of one request in the mean cost and in the mean time per token. */
constexpr double workWeight = 0.02;
/** A run is charged at most this many times its expected work: a slow replica is not the fault of a workspace. */
constexpr double maxRealCost = 4;

} // namespace

Dispatcher::Dispatcher(const Clock &clock, Hooks hooks, const DispatcherOptions &options)
    : clock(clock)
    , hooks(std::move(hooks))
    , options(options)
    , index(clock)
    , capacity(clock, options.capacityLearning, this->replicas, this->index)
    , waiting(clock, options.hasWorkspaceShares)
    , forecast(clock)
{
}

void Dispatcher::setReplicas(const std::vector<DispatchReplica> &replicas)
{
    this->update(updateTo(replicas, this->replicas));
}

void Dispatcher::update(const ReplicaUpdate &update)
{
    bool isAnyLeaving = !update.removed.empty();
    for (const DispatchReplica &traits : update.put) {
        this->putReplica(traits);
        isAnyLeaving = isAnyLeaving || traits.isDraining;
    }
    for (const EndpointName &instance : update.removed) {
        const auto found = this->replicas.find(instance);
        if (found != this->replicas.end()) {
            this->capacity.remove(found->second);
            this->countVersion(found->second.traits, -1);
            this->index.remove(found->second);
            this->replicas.erase(found);
        }
    }
    this->forecast.setSlots(this->capacity.slots());
    if (isAnyLeaving) {
        this->drainReplicas();
    }
    this->assign();
    this->deliverDecisions();
}

void Dispatcher::putReplica(const DispatchReplica &traits)
{
    const auto [found, isNew] = this->replicas.try_emplace(traits.instance);
    DispatchedReplica &replica = found->second;
    if (isNew) {
        replica.nameHash = nameHashOf(traits.instance);
        replica.number = ++this->lastReplica;
    } else {
        this->countVersion(replica.traits, -1);
    }
    replica.traits = traits;
    this->countVersion(traits, 1);
    this->capacity.recount(replica);
    this->index.update(replica);
}

void Dispatcher::drainReplicas()
{
    for (auto placement = this->placements.begin(); placement != this->placements.end();) {
        const auto next = std::next(placement);
        const DispatchedReplica *const replica = this->replicaOf(placement->second);
        if (replica == nullptr) {
            this->erasePlacement(placement);
        } else if (replica->traits.isDraining && placement->second.work == WorkClass::Batch && !placement->second.stopped) {
            // Items can make up the lost time; they must not delay the removal of a draining replica.
            this->stop(placement->second);
        }
        placement = next;
    }
}

bool Dispatcher::submit(const PlacementRequest &request)
{
    const auto placed = this->placements.find(request.id);
    if (placed != this->placements.end()) {
        placed->second.confirmed = this->clock.now();
        this->decisions.push_back({PlacementDecision::Placed, request.id, placed->second.replica, {}});
        this->deliverDecisions();
        return true;
    }
    if (WaitingQueue::Waiting *const waiting = this->waiting.find(request.id)) {
        waiting->lastRequested = this->clock.now();
        return false;
    }
    if (!this->isVersionServed(request)) {
        this->refuseRequest(request, (request.deadline - this->clock.now()) / retryAfterDivisor);
        this->deliverDecisions();
        return true;
    }
    PlacementRequest admitted = request;
    const bool isRetry = this->recognizeRetry(admitted);
    this->waiting.add(admitted, this->clock.now());
    this->assign();
    this->forecast.recordWaiting(this->waiting.isAnyOnTime());
    this->refuseIfLate(admitted);
    if (!isRetry) {
        this->refuseIfOverShare(admitted);
    }
    const bool isDecided = !this->waiting.contains(request.id);
    this->deliverDecisions();
    return isDecided;
}

void Dispatcher::deliverDecisions()
{
    for (const Decision &decision : std::exchange(this->decisions, {})) {
        switch (decision.kind) {
        case PlacementDecision::Placed:
            this->hooks.place(decision.id, decision.replica);
            break;
        case PlacementDecision::Stopped:
            this->hooks.stop(decision.id);
            break;
        case PlacementDecision::Refused:
            this->hooks.refuse(decision.id, decision.retryAfter);
            break;
        case PlacementDecision::Waiting:
            break;
        }
    }
}

void Dispatcher::countVersion(const DispatchReplica &replica, int change)
{
    if (replica.isDraining) {
        return;
    }
    const auto counted = this->openVersions.try_emplace(replica.version, 0).first;
    counted->second += change;
    if (counted->second == 0) {
        this->openVersions.erase(counted);
    }
}

bool Dispatcher::isVersionServed(const PlacementRequest &request) const
{
    if (request.version.value().empty()) {
        return true;
    }
    const auto open = this->openVersions.find(request.version);
    const std::set<EndpointName> avoided(request.avoided.begin(), request.avoided.end());
    const auto unusable = std::ranges::count_if(avoided, [this, &request](const EndpointName &instance) {
        const auto found = this->replicas.find(instance);
        return found != this->replicas.end() && !found->second.traits.isDraining
            && found->second.traits.version == request.version;
    });
    return open != this->openVersions.end() && open->second > unusable;
}

void Dispatcher::refuseUnserved()
{
    std::vector<PlacementRequest> unserved;
    for (const WorkClass work : {WorkClass::Online, WorkClass::Batch}) {
        for (const auto &[key, waiting] : this->waiting.of(work)) {
            if (!this->isVersionServed(waiting.request)) {
                unserved.push_back(waiting.request);
            }
        }
    }
    for (const PlacementRequest &request : unserved) {
        this->refuseRequest(request, (request.deadline - this->clock.now()) / retryAfterDivisor);
    }
}

bool Dispatcher::recognizeRetry(PlacementRequest &request)
{
    if (request.work != WorkClass::Online || !request.mayRefuse) {
        return false;
    }
    const std::optional<RetrySchedule::Retry> retry = this->retries.extract(request.content);
    if (!retry) {
        this->forecast.recordArrival();
        return false;
    }
    // A retry with reserved capacity is served before all later arrivals and is not refused again. A retry without goes
    // behind the requests that can be on time, because it would make them late in its place.
    request.arrived = std::min(request.arrived, retry->arrived);
    if (retry->isReserved) {
        request.mayRefuse = false;
        request.isReserved = true;
    } else {
        request.due = this->clock.now() - std::chrono::milliseconds(1);
    }
    return true;
}

std::chrono::duration<double> Dispatcher::expectedWait(const PlacementRequest &request, double rate) const
{
    auto ahead = static_cast<double>(this->waiting.onTimeAhead(request.priority));
    const WaitingQueue::Waiting *const waiting = this->waiting.find(request.id);
    if (this->waiting.isShared() && this->meanCost > 0 && waiting != nullptr) {
        // Of the others only what their shares allow is served before it.
        const double work = this->waiting.sharesOf(WorkClass::Online).workAhead(waiting->startTag);
        ahead = std::min(ahead, work / this->meanCost);
    }
    return std::chrono::duration<double>(ahead / rate);
}

double Dispatcher::reservableShare(const PlacementRequest &request) const
{
    return this->waiting.isShared() ? this->waiting.sharesOf(WorkClass::Online).shareOf(request.workspace, request.weight) : 1;
}

void Dispatcher::refuseIfOverShare(const PlacementRequest &request)
{
    const double rate = this->forecast.serviceRate();
    const WaitingQueue::Waiting *const waiting = this->waiting.find(request.id);
    if (waiting == nullptr || request.work != WorkClass::Online || !request.mayRefuse || rate <= 0 || !this->waiting.isShared()) {
        return;
    }
    const WorkspaceShares &shares = this->waiting.sharesOf(WorkClass::Online);
    const SteadyTime now = this->clock.now();
    const auto wait = std::chrono::ceil<std::chrono::nanoseconds>(this->expectedWait(request, rate));
    const bool isOverShare = shares.isContended() && shares.debtOf(waiting->startTag) > 0;
    if (!isOverShare || now > request.due || now + wait <= request.due) {
        return;
    }
    const std::chrono::nanoseconds retryAfter
        = std::min<std::chrono::nanoseconds>(wait, (request.deadline - now) / retryAfterDivisor);
    this->retries.expect(request.content, request.arrived, now + retryAfter);
    log(LogLevel::Info,
        "request refused, its workspace is over its share",
        {{"workspace", request.workspace.value()},
         {"ticket", static_cast<std::int64_t>(request.id.number)},
         {"priority", static_cast<std::int64_t>(request.priority)},
         {"wait_ms", std::chrono::ceil<std::chrono::milliseconds>(wait).count()},
         {"retry_after_ms", std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count()}});
    this->refuseRequest(request, retryAfter);
}

void Dispatcher::chargeRun(const Placement &placement, std::chrono::nanoseconds holdTime)
{
    if (!this->waiting.isShared() || placement.cost == 0) {
        return;
    }
    const bool isBatch = placement.work == WorkClass::Batch;
    std::chrono::duration<double> &perToken = isBatch ? this->batchTimePerToken : this->onlineTimePerToken;
    if (!placement.stopped) {
        const std::chrono::duration<double> value = std::chrono::duration<double>(holdTime) / placement.cost;
        perToken += (perToken.count() == 0 ? 1 : workWeight) * (value - perToken);
    }
    if (perToken.count() > 0) {
        const double real = std::min(std::chrono::duration<double>(holdTime) / perToken, maxRealCost * placement.cost);
        this->waiting.sharesOf(placement.work).charge(placement.workspace, real - placement.cost, placement.weight);
    }
}

void Dispatcher::refuseIfLate(const PlacementRequest &request)
{
    const double rate = this->forecast.serviceRate();
    if (!request.mayRefuse || !this->waiting.contains(request.id) || rate <= 0) {
        return;
    }
    const SteadyTime now = this->clock.now();
    const std::chrono::duration<double> wait = this->expectedWait(request, rate);
    const SteadyTime latest = now + (request.deadline - now) / retryAfterDivisor;
    const std::optional<SteadyTime> burstEnd = this->forecast.burstEnd();
    // A retry within the same burst would take the slot of a request that can still be on time. Serving this one late
    // after the burst costs less.
    if (now + wait <= request.due || !burstEnd || *burstEnd > latest) {
        return;
    }
    const SteadyTime earliest = std::max(*burstEnd, now + (latest - now) / 2);
    const std::optional<SteadyTime> retryAt = this->retries.reserve(request.content,
                                                                    request.arrived,
                                                                    earliest,
                                                                    latest,
                                                                    this->forecast.spareCapacity(),
                                                                    request.workspace,
                                                                    this->reservableShare(request));
    if (retryAt) {
        this->refuseRequest(request, *retryAt - now);
    }
}

void Dispatcher::refuseUnplaceable()
{
    // Late requests are served after a burst; only under sustained overload they are not. A dispatcher that has not
    // observed the load for long enough assumes a sustained overload: the refused requests then retry within a third of
    // their remaining time.
    const double rate = this->forecast.serviceRate();
    if (rate <= 0 || this->forecast.spareCapacity() > rate * minSpareShare) {
        return;
    }
    const SteadyTime now = this->clock.now();
    const double latePlacementRate = this->forecast.latePlacementRate();
    std::vector<PlacementRequest> unplaceable;
    std::size_t ahead = 0;
    for (const auto &[key, waiting] : this->waiting.of(WorkClass::Online)) {
        const PlacementRequest &request = waiting.request;
        const bool isLate = std::get<1>(key);
        const bool hasWaitedLong = (now - request.arrived) * lateRefusalDivisor > request.deadline - request.arrived;
        const std::chrono::duration<double> remaining = request.deadline - now;
        ahead += isLate ? 1 : 0;
        if (isLate && request.mayRefuse && hasWaitedLong && static_cast<double>(ahead) > latePlacementRate * remaining.count()) {
            unplaceable.push_back(request);
            --ahead;
        }
    }
    for (const PlacementRequest &request : unplaceable) {
        const std::chrono::nanoseconds retryAfter = (request.deadline - now) / retryAfterDivisor;
        this->retries.expect(request.content, request.arrived, now + retryAfter);
        this->refuseRequest(request, retryAfter);
    }
}

void Dispatcher::refuseRequest(const PlacementRequest &request, std::chrono::nanoseconds retryAfter)
{
    this->waiting.remove(request.id);
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(retryAfter);
    this->decisions.push_back({PlacementDecision::Refused, request.id, {}, wait});
}

void Dispatcher::end(TicketId id, PlacementVerdict verdict, const RunTiming &timing)
{
    this->waiting.remove(id);
    const auto placed = this->placements.find(id);
    if (placed != this->placements.end()) {
        this->endPlacement(placed, verdict, timing);
    }
    this->assign();
    this->deliverDecisions();
}

void Dispatcher::recordLoad(const EndpointName &instance, const ReportedLoad &load, std::uint32_t pace)
{
    const auto found = this->replicas.find(instance);
    if (found != this->replicas.end()) {
        found->second.slots.recordReport(load, this->clock.now());
        this->capacity.recordPace(found->second, pace);
        this->index.update(found->second);
        this->assign();
        this->deliverDecisions();
    }
}

void Dispatcher::recordTimings(const std::vector<ReplicaTiming> &timings)
{
    this->capacity.recordTimings(timings);
    this->assign();
    this->deliverDecisions();
}

void Dispatcher::reconcile(SessionNumber node, std::uint64_t lastTicket, const std::vector<RunningPlacement> &running)
{
    const SteadyTime now = this->clock.now();
    std::map<std::uint64_t, const RunningPlacement *> reported;
    for (const RunningPlacement &entry : running) {
        reported.emplace(entry.ticket, &entry);
    }
    for (auto placement = this->placements.lower_bound({node, 0});
         placement != this->placements.end() && placement->first.node == node;) {
        const auto next = std::next(placement);
        const auto report = reported.find(placement->first.number);
        const bool isReported = report != reported.end();
        const bool isCovered = placement->first.number <= lastTicket && now - placement->second.placed > reportLag;
        if (isReported && report->second->replica == placement->second.replica) {
            placement->second.confirmed = now;
            reported.erase(report);
        } else if (isReported || isCovered) {
            // The request is over, or its node timed out waiting for the answer and selected another replica itself.
            this->erasePlacement(placement);
        }
        placement = next;
    }
    for (const auto &[number, entry] : reported) {
        const auto replica = this->replicas.find(entry->replica);
        if (replica == this->replicas.end()) {
            continue;
        }
        const WorkClass work = entry->isBatch ? WorkClass::Batch : WorkClass::Online;
        const TicketId id{node, number};
        this->waiting.remove(id);
        this->placements.emplace(id, Placement{id, work, entry->replica, now, now, unknownSlack, std::nullopt});
        replica->second.slots.acquire(work);
        this->index.update(replica->second);
        if (work == WorkClass::Batch) {
            this->stoppable.emplace(unknownSlack, id);
        }
    }
    this->assign();
    this->deliverDecisions();
}

void Dispatcher::dropNode(SessionNumber node)
{
    this->waiting.removeIf([node](const WaitingQueue::Waiting &waiting) {
        return waiting.request.id.node == node;
    });
    for (auto placement = this->placements.lower_bound({node, 0});
         placement != this->placements.end() && placement->first.node == node;) {
        const auto next = std::next(placement);
        this->erasePlacement(placement);
        placement = next;
    }
    this->assign();
    this->deliverDecisions();
}

void Dispatcher::tick()
{
    const SteadyTime now = this->clock.now();
    if (now >= this->nextCleanup) {
        this->nextCleanup = now + cleanupInterval;
        this->removeExpiredWork();
        this->refuseUnserved();
    }
    this->capacity.tick();
    this->waiting.demoteLate();
    this->forecast.recordWaiting(this->waiting.isAnyOnTime());
    this->refuseUnplaceable();
    this->retries.removeExpired(now);
    this->repeatStops();
    this->assign();
    this->deliverDecisions();
}

void Dispatcher::removeExpiredWork()
{
    const SteadyTime now = this->clock.now();
    this->waiting.removeIf([now](const WaitingQueue::Waiting &waiting) {
        const bool isBatch = waiting.request.work == WorkClass::Batch;
        return now - waiting.lastRequested > (isBatch ? batchWaitingRetention : waitingRetention)
            || now > waiting.request.deadline;
    });
    for (auto placement = this->placements.begin(); placement != this->placements.end();) {
        const auto next = std::next(placement);
        if (now - placement->second.confirmed > placementRetention) {
            this->erasePlacement(placement);
        }
        placement = next;
    }
}

void Dispatcher::repeatStops()
{
    const SteadyTime now = this->clock.now();
    for (const TicketId id : this->stopping) {
        Placement &entry = this->placements.at(id);
        if (now - *entry.stopped > stopRepeatInterval) {
            entry.stopped = now;
            this->decisions.push_back({PlacementDecision::Stopped, id, {}, {}});
        }
    }
}

Dispatcher::Load Dispatcher::load() const
{
    Load load;
    load.slots = this->capacity.slots();
    load.learned = this->capacity.summary();
    for (const auto &[instance, replica] : this->replicas) {
        load.onlineRunning += replica.slots.online();
        load.batchRunning += replica.slots.batch();
    }
    load.onlineWaiting = this->waiting.of(WorkClass::Online).size();
    load.batchWaiting = this->waiting.of(WorkClass::Batch).size();
    return load;
}

void Dispatcher::assign()
{
    const WaitingQueue::Queue &online = this->waiting.of(WorkClass::Online);
    if (online.empty() && this->waiting.of(WorkClass::Batch).empty()) {
        return;
    }
    this->index.refresh();
    this->assignFrom(WorkClass::Online, &Dispatcher::placeOnline);
    if (online.empty()) {
        this->assignFrom(WorkClass::Batch, &Dispatcher::placeInFreeSlot);
    }
}

void Dispatcher::assignFrom(WorkClass work, bool (Dispatcher::*place)(const PlacementRequest &))
{
    const WaitingQueue::Queue &queue = this->waiting.of(work);
    const bool mayStop = work == WorkClass::Online;
    std::set<SoftwareVersion> fullVersions;
    for (auto next = queue.begin(); next != queue.end();) {
        if (this->index.isEmpty() && (!mayStop || this->stoppable.empty())) {
            return;
        }
        const WaitingQueue::Key key = next->first;
        if (fullVersions.contains(next->second.request.version)) {
            ++next;
            continue;
        }
        const PlacementRequest request = next->second.request;
        if (this->waiting.demoteIfLate(request.id)) {
            // It has become late since the last check, so it moves behind those on time and is reached again there.
            next = queue.upper_bound(key);
            continue;
        }
        if ((this->*place)(request)) {
            this->waiting.removePlaced(request.id);
        } else if (!request.isRestricted()) {
            // A request that any replica can serve finds no slot, so there is none for the others either.
            return;
        } else if (request.avoided.empty()) {
            // No other request that needs this version can be placed either.
            fullVersions.insert(request.version);
            if (!mayStop && !this->index.isAnyOpenForItems(fullVersions)) {
                return;
            }
        }
        next = queue.upper_bound(key);
    }
}

bool Dispatcher::placeOnline(const PlacementRequest &request)
{
    if (this->placeInFreeSlot(request)) {
        return true;
    }
    Placement *const victim = this->victimFor(request);
    if (victim == nullptr) {
        return false;
    }
    DispatchedReplica *const replica = this->replicaOf(*victim);
    this->stop(*victim);
    this->place(request, *replica);
    return true;
}

bool Dispatcher::placeInFreeSlot(const PlacementRequest &request)
{
    DispatchedReplica *const best = this->index.best(request);
    if (best == nullptr) {
        return false;
    }
    this->place(request, *best);
    return true;
}

Dispatcher::Placement *Dispatcher::victimFor(const PlacementRequest &request)
{
    // Stops the item with the most slack; one that is late already comes first. Its node keeps what it has generated.
    // An item that would become late by being stopped is not stopped: it is nearer to its end than any request that
    // would take its slot.
    Placement *first = nullptr;
    std::size_t seen = 0;
    for (auto item = this->stoppable.rbegin(); item != this->stoppable.rend() && seen < maxVictimsCompared; ++item) {
        if (item->first < minStopSlack) {
            break;
        }
        const auto placement = this->placements.find(item->second);
        const DispatchedReplica *const replica
            = placement != this->placements.end() ? this->replicaOf(placement->second) : nullptr;
        if (replica == nullptr || !this->isUsable(*replica, request)) {
            continue;
        }
        if (request.isConnectedTo(replica->nameHash)) {
            return &placement->second;
        }
        first = first == nullptr ? &placement->second : first;
        ++seen;
    }
    return first;
}

void Dispatcher::place(const PlacementRequest &request, DispatchedReplica &replica)
{
    const SteadyTime now = this->clock.now();
    replica.slots.acquire(request.work);
    if (!replica.hasFreeSlot(now)) {
        replica.lastFull = now;
    }
    replica.breaker.recordSent(now);
    this->index.update(replica);
    if (request.work == WorkClass::Online && now > request.due) {
        this->forecast.recordLatePlacement();
    }
    if (request.work == WorkClass::Online && request.cost > 0) {
        this->meanCost += (this->meanCost == 0 ? 1 : workWeight) * (request.cost - this->meanCost);
    }
    const std::chrono::nanoseconds slack = now > request.due ? std::chrono::nanoseconds::max() : request.due - now;
    this->placements.insert_or_assign(request.id,
                                      Placement{request.id,
                                                request.work,
                                                replica.traits.instance,
                                                now,
                                                now,
                                                slack,
                                                std::nullopt,
                                                replica.slots.used(now),
                                                request.workspace,
                                                request.weight,
                                                request.cost});
    if (request.work == WorkClass::Batch) {
        this->stoppable.emplace(slack, request.id);
    }
    this->decisions.push_back({PlacementDecision::Placed, request.id, replica.traits.instance, {}});
}

void Dispatcher::stop(Placement &placement)
{
    placement.stopped = this->clock.now();
    this->stoppable.erase({placement.slack, placement.id});
    this->stopping.insert(placement.id);
    if (DispatchedReplica *const replica = this->replicaOf(placement)) {
        replica->slots.release(WorkClass::Batch, this->clock.now());
        this->index.update(*replica);
    }
    this->decisions.push_back({PlacementDecision::Stopped, placement.id, {}, {}});
}

DispatchedReplica *Dispatcher::replicaOf(const Placement &placement)
{
    const auto found = this->replicas.find(placement.replica);
    return found != this->replicas.end() ? &found->second : nullptr;
}

void Dispatcher::endPlacement(Placements::iterator placement, PlacementVerdict verdict, const RunTiming &timing)
{
    const Placement &entry = placement->second;
    const SteadyTime now = this->clock.now();
    if (DispatchedReplica *const replica = this->replicaOf(entry)) {
        this->capacity.recordEnd(*replica, entry.work, entry.concurrency, verdict, timing);
        this->forecast.setSlots(this->capacity.slots());
        if (entry.stopped) {
            // Its slot is released already, so erasePlacement() does not update the replica.
            this->index.update(*replica);
        }
    }
    if (verdict == PlacementVerdict::Finished) {
        this->chargeRun(entry, now - entry.placed);
    }
    if (entry.work == WorkClass::Online && verdict == PlacementVerdict::Finished) {
        this->forecast.recordRun(now - entry.placed);
    }
    this->erasePlacement(placement);
}

void Dispatcher::erasePlacement(Placements::iterator placement)
{
    const Placement &entry = placement->second;
    const SteadyTime now = this->clock.now();
    DispatchedReplica *const replica = this->replicaOf(entry);
    if (replica != nullptr && !entry.stopped) {
        if (!replica->hasFreeSlot(now)) {
            replica->lastFull = now;
        }
        replica->slots.release(entry.work, now);
        this->index.update(*replica);
    }
    this->stoppable.erase({entry.slack, entry.id});
    this->stopping.erase(entry.id);
    this->placements.erase(placement);
}

bool Dispatcher::isUsable(const DispatchedReplica &replica, const PlacementRequest &request) const
{
    return !replica.traits.isDraining && replica.breaker.maySend(this->clock.now()) && !request.avoids(replica.traits.instance)
        && request.acceptsVersion(replica.traits.version);
}

} // namespace Dogwoodkeel
