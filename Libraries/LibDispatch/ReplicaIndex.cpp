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

/** @return the score of a replica for a request; the lowest is best. */
double scoreOf(const PlacementRequest &request, const DispatchedReplica &replica, double load, bool isConnected, SteadyTime now)
{
    const bool isSameDomain = replica.traits.failureDomain == request.failureDomain;
    const double requests = (isSameDomain ? 0.0 : crossDomainPenalty) - (isConnected ? connectionBonus : 0.0);
    return load + requests * replica.loadOfRequest(now);
}

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
                                replica.mayAcceptItem(now)};
        OpenReplicas &open = this->groups[position.group];
        open.all.emplace(position.key, &replica);
        if (position.isForItems) {
            open.forItems.emplace(position.key, &replica);
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
        group->second.forItems.erase(found->second.key);
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

DispatchedReplica *ReplicaIndex::best(const PlacementRequest &request) const
{
    double bestScore = 0;
    DispatchedReplica *best = this->bestConnected(request, bestScore);
    for (const auto &[group, open] : this->groups) {
        if (!request.acceptsVersion(group.version)) {
            continue;
        }
        const Order &order = request.work == WorkClass::Batch ? open.forItems : open.all;
        // Without connections the score depends on the load alone, and connected replicas were compared above, so the
        // first usable replica is the best of its group.
        for (const auto &[key, replica] : order) {
            if (request.avoids(replica->traits.instance)) {
                continue;
            }
            const double score = scoreOf(request, *replica, key.first, false, this->clock.now());
            if (best == nullptr || score < bestScore) {
                best = replica;
                bestScore = score;
            }
            break;
        }
    }
    return best;
}

DispatchedReplica *ReplicaIndex::bestConnected(const PlacementRequest &request, double &bestScore) const
{
    DispatchedReplica *best = nullptr;
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
            const double score = scoreOf(request, replica, position->second.key.first, true, this->clock.now());
            const bool isFirst = best == nullptr || score < bestScore || (score == bestScore && replica.number < best->number);
            if (isFirst) {
                best = &replica;
                bestScore = score;
            }
        }
    }
    return best;
}

} // namespace Dogwoodkeel
