#include <LibDispatch/ReplicaIndex.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** Bonus for an open connection, in requests of difference in load. */
constexpr double connectionBonus = 2;
/**
 * Penalty for another failure domain, in requests: traffic between domains is charged, so at equal load a replica in
 * the same domain is selected.
 */
constexpr double crossDomainPenalty = 0.9;

/** An item that has to start within this time goes to a fast replica: about the time of a short item. */
constexpr std::chrono::milliseconds urgentSlack{2000};
/** How many replicas are examined to find a fast one that may accept an item. */
constexpr int maxExamined = 32;

} // namespace

ReplicaIndex::ReplicaIndex(const Clock &clock) : clock(clock)
{
}

void ReplicaIndex::update(DispatchedReplica &replica)
{
    const SteadyTime now = this->clock.now();
    if (!this->refreshes.contains(replica.number)) {
        this->byNameHash.emplace(replica.nameHash, &replica);
        this->refreshes.emplace(replica.number, std::pair(SteadyTime(), &replica));
    }
    this->removePosition(replica.number);
    if (replica.isOpen(now)) {
        const Position position{{replica.traits.failureDomain, replica.traits.version},
                                {replica.load(now), replica.number},
                                {replica.itemLoad(now), replica.number},
                                replica.loadOfRequest(now),
                                replica.mayAcceptItem(now)};
        OpenReplicas &open = this->groups[position.group];
        open.all.emplace(position.key, &replica);
        if (position.isForItems) {
            open.forItems.emplace(position.itemKey, &replica);
        }
        this->positions.emplace(replica.number, position);
    }
    this->scheduleRefresh(replica, now);
}

void ReplicaIndex::scheduleRefresh(DispatchedReplica &replica, SteadyTime now)
{
    SteadyTime &scheduled = this->refreshes.at(replica.number).first;
    const SteadyTime next = replica.nextChange(now).value_or(SteadyTime());
    if (next == scheduled) {
        return;
    }
    this->refreshTimes.erase({scheduled, replica.number});
    if (next != SteadyTime()) {
        this->refreshTimes.emplace(next, replica.number);
    }
    scheduled = next;
}

void ReplicaIndex::removePosition(std::uint64_t number)
{
    const auto found = this->positions.find(number);
    if (found == this->positions.end()) {
        return;
    }
    const auto group = this->groups.find(found->second.group);
    group->second.all.erase(found->second.key);
    if (found->second.isForItems) {
        group->second.forItems.erase(found->second.itemKey);
    }
    if (group->second.all.empty()) {
        this->groups.erase(group);
    }
    this->positions.erase(found);
}

void ReplicaIndex::remove(const DispatchedReplica &replica)
{
    this->removePosition(replica.number);
    const auto [first, last] = this->byNameHash.equal_range(replica.nameHash);
    const auto entry = std::find_if(first, last, [&replica](const auto &candidate) {
        return candidate.second == &replica;
    });
    if (entry != last) {
        this->byNameHash.erase(entry);
    }
    const auto refresh = this->refreshes.find(replica.number);
    if (refresh != this->refreshes.end()) {
        this->refreshTimes.erase({refresh->second.first, replica.number});
        this->refreshes.erase(refresh);
    }
}

void ReplicaIndex::refresh()
{
    const SteadyTime now = this->clock.now();
    while (!this->refreshTimes.empty() && this->refreshTimes.begin()->first <= now) {
        this->update(*this->refreshes.at(this->refreshTimes.begin()->second).second);
    }
}

bool ReplicaIndex::isEmpty() const
{
    return this->positions.empty();
}

bool ReplicaIndex::isAnyOpenForItems(const std::set<SoftwareVersion> &exceptVersions) const
{
    return std::ranges::any_of(this->groups, [&exceptVersions](const auto &entry) {
        return !entry.second.forItems.empty() && !exceptVersions.contains(entry.first.version);
    });
}

bool ReplicaIndex::isPatient(const PlacementRequest &request) const
{
    const std::chrono::nanoseconds slack = request.due - this->clock.now();
    return request.work == WorkClass::Batch && (slack <= std::chrono::nanoseconds(0) || slack > urgentSlack);
}

double ReplicaIndex::scoreOf(const PlacementRequest &request, const DispatchedReplica &replica, bool isConnected) const
{
    const Position &position = this->positions.at(replica.number);
    const bool isSameDomain = replica.traits.failureDomain == request.failureDomain;
    const double requests = (isSameDomain ? 0.0 : crossDomainPenalty) - (isConnected ? connectionBonus : 0.0);
    if (this->isPatient(request)) {
        return position.itemKey.first + requests * replica.itemLoadOfRequest();
    }
    return position.key.first + requests * position.loadOfRequest;
}

DispatchedReplica *ReplicaIndex::best(const PlacementRequest &request) const
{
    Candidate best = this->bestConnected(request);
    for (const auto &[group, open] : this->groups) {
        if (request.acceptsVersion(group.version)) {
            this->considerGroup(request, open, best);
        }
    }
    return best.replica;
}

void ReplicaIndex::considerGroup(const PlacementRequest &request, const OpenReplicas &open, Candidate &best) const
{
    const bool isItem = request.work == WorkClass::Batch;
    const bool isLearned = !open.all.empty() && open.all.begin()->second->isCapacityLearned;
    const bool isFastNeeded = isItem && isLearned && !open.forItems.empty() && !this->isPatient(request);
    // Without connections the score depends on the load alone, and connected replicas were compared before, so the
    // first usable replica is the best of its group.
    const auto consider = [&](const Order &order, int maxCount) {
        for (const auto &[key, replica] : order) {
            if (maxCount-- == 0) {
                return false;
            }
            if (request.avoids(replica->traits.instance) || (isItem && !this->positions.at(replica->number).isForItems)) {
                continue;
            }
            const double score = this->scoreOf(request, *replica, false);
            if (best.replica == nullptr || score < best.score) {
                best = {replica, score};
            }
            return true;
        }
        return true;
    };
    if (!isFastNeeded || !consider(open.all, maxExamined)) {
        consider(isItem ? open.forItems : open.all, -1);
    }
}

ReplicaIndex::Candidate ReplicaIndex::bestConnected(const PlacementRequest &request) const
{
    Candidate best;
    for (const std::uint32_t nameHash : request.connected) {
        const auto [first, last] = this->byNameHash.equal_range(nameHash);
        for (auto entry = first; entry != last; ++entry) {
            DispatchedReplica &replica = *entry->second;
            const auto position = this->positions.find(replica.number);
            const bool isUsable = position != this->positions.end() && !request.avoids(replica.traits.instance)
                && request.acceptsVersion(replica.traits.version)
                && (request.work == WorkClass::Online || position->second.isForItems);
            if (!isUsable) {
                continue;
            }
            const double score = this->scoreOf(request, replica, true);
            const bool isFirst
                = best.replica == nullptr || score < best.score || (score == best.score && replica.number < best.replica->number);
            if (isFirst) {
                best = {&replica, score};
            }
        }
    }
    return best;
}

} // namespace Dogwoodkeel
