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
/** A request that has found no free slot elsewhere for this time no longer avoids the replicas that failed it. */
constexpr std::chrono::seconds maxAvoidance{5};
/** Interval of the cleanup of expired requests and placements; several times shorter than the retention times. */
constexpr std::chrono::milliseconds cleanupInterval{100};

/**
 * How many usable items with the most slack are compared to find one whose replica has an open connection from the
 * requesting node.
 */
constexpr std::size_t maxVictimsCompared = 24;

} // namespace

Dispatcher::Dispatcher(const Clock &clock, Hooks hooks, const DispatcherOptions &options)
    : clock(clock)
    , hooks(std::move(hooks))
    , options(options)
    , index(clock)
    , capacity(clock, options.capacityLearning, this->replicas, this->index)
    , waiting(clock, options.hasWorkspaceShares)
    , overload(clock, this->waiting)
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
    this->overload.setSlots(this->capacity.slots());
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
    const bool isRetry = this->overload.admit(admitted);
    this->waiting.add(admitted, this->clock.now());
    this->assign();
    if (const auto retryAfter = this->overload.refuseNew(admitted.id, isRetry)) {
        this->refuseRequest(admitted, *retryAfter);
    }
    const bool isDecided = !this->waiting.contains(request.id);
    this->deliverDecisions();
    return isDecided;
}

bool Dispatcher::isOpen(TicketId id) const
{
    return this->placements.contains(id) || this->waiting.contains(id);
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

bool Dispatcher::isAnyReplicaPreferred(const PlacementRequest &request) const
{
    std::ptrdiff_t accepting = 0;
    for (const auto &[version, count] : this->openVersions) {
        accepting += request.acceptsVersion(version) ? count : 0;
    }
    const std::set<EndpointName> avoided(request.avoided.begin(), request.avoided.end());
    const auto acceptingAvoided = std::ranges::count_if(avoided, [this, &request](const EndpointName &instance) {
        const auto found = this->replicas.find(instance);
        return found != this->replicas.end() && !found->second.traits.isDraining
            && request.acceptsVersion(found->second.traits.version);
    });
    return accepting > acceptingAvoided;
}

bool Dispatcher::isVersionServed(const PlacementRequest &request) const
{
    return request.version.value().empty() || this->isAnyReplicaPreferred(request);
}

PlacementRequest Dispatcher::placeable(const WaitingQueue::Waiting &waiting) const
{
    PlacementRequest request = waiting.request;
    if (request.avoided.empty()) {
        return request;
    }
    const bool hasWaitedLong = this->clock.now() - waiting.added >= maxAvoidance;
    if (hasWaitedLong || !this->isAnyReplicaPreferred(request)) {
        request.avoided.clear();
    }
    return request;
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
        this->placements.emplace(id,
                                 Placement{id, work, entry->replica, now, now, unknownSlack, std::nullopt, 0, {.work = work}});
        replica->second.slots.adopt(work);
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
    this->overload.tick();
    for (const OverloadControl::Refusal &refusal : this->overload.refuseUnplaceable()) {
        this->refuseRequest(refusal.request, refusal.retryAfter);
    }
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
    load.waitingWorkspaces = this->waiting.waitingWorkspaces();
    load.shareRefusals = this->overload.shareRefusals();
    return load;
}

std::optional<Dispatcher::ItemWait> Dispatcher::longestItemWait() const
{
    const WaitingQueue::Queue &queue = this->waiting.of(WorkClass::Batch);
    const auto longest = std::ranges::min_element(queue, {}, [](const auto &entry) {
        return entry.second.added;
    });
    if (longest == queue.end()) {
        return std::nullopt;
    }
    const PlacementRequest &request = longest->second.request;
    const SteadyTime now = this->clock.now();
    ItemWait wait{.id = request.id, .version = request.version, .waited = now - longest->second.added};
    for (const auto &[instance, replica] : this->replicas) {
        if (!request.acceptsVersion(replica.traits.version)) {
            continue;
        }
        std::size_t &count = replica.traits.isDraining ? wait.draining
            : request.avoids(instance)                 ? wait.avoided
            : !replica.breaker.maySend(now)            ? wait.blocked
            : !replica.hasFreeSlot(now)                ? wait.full
            : !replica.mayAcceptItem(now)              ? wait.closedToItems
                                                       : wait.open;
        ++count;
    }
    return wait;
}

void Dispatcher::assign()
{
    if (this->waiting.of(WorkClass::Online).empty() && this->waiting.of(WorkClass::Batch).empty()) {
        return;
    }
    this->index.refresh();
    this->assignFrom(WorkClass::Online, &Dispatcher::placeOnline);
    // No online request that still waits can use a slot that is free now.
    this->assignFrom(WorkClass::Batch, &Dispatcher::placeInFreeSlot);
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
        const PlacementRequest request = this->placeable(next->second);
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
                                                this->overload.recordPlacement(request)});
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
        this->overload.setSlots(this->capacity.slots());
        if (entry.stopped) {
            // Its slot is released already, so erasePlacement() does not update the replica.
            this->index.update(*replica);
        }
    }
    this->overload.recordRun(entry.charge, verdict, now - entry.placed, entry.stopped.has_value());
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
