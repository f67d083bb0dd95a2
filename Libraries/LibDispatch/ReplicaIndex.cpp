#include <LibDispatch/ReplicaIndex.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** A connection that is open already is worth so many requests of difference in load. */
constexpr double connectionWorth = 2;
/** Between failure domains bytes cost; at equal load the near replica is taken. */
constexpr double farPenalty = 0.9;

/** @return what a replica's load is for a request: less is better. */
double scoreOf(const PlacementRequest &request, const DispatchedReplica &replica, double load, bool isConnected)
{
    const bool isNear = replica.traits.failureDomain == request.failureDomain;
    return load + ((isNear ? 0.0 : farPenalty) - (isConnected ? connectionWorth : 0.0)) / replica.traits.slots;
}

} // namespace

ReplicaIndex::ReplicaIndex(const Clock &clock) : clock(clock)
{
}

void ReplicaIndex::update(DispatchedReplica &replica)
{
    const SteadyTime now = this->clock.now();
    if (!this->wakes.contains(replica.number)) {
        this->byMark.emplace(replica.mark, &replica);
        this->wakes.emplace(replica.number, std::pair(SteadyTime(), &replica));
    }
    this->drop(replica.number);
    if (replica.isOpen(now)) {
        const Place place{{replica.traits.failureDomain, replica.traits.version},
                          {replica.load(now), replica.number},
                          replica.mayTakeItem(now)};
        OpenReplicas &open = this->groups[place.group];
        open.all.emplace(place.key, &replica);
        if (place.isForItems) {
            open.forItems.emplace(place.key, &replica);
        }
        this->places.emplace(replica.number, place);
    }
    this->wake(replica, now);
}

void ReplicaIndex::wake(DispatchedReplica &replica, SteadyTime now)
{
    SteadyTime &known = this->wakes.at(replica.number).first;
    const SteadyTime next = replica.changesAt(now).value_or(SteadyTime());
    if (next == known) {
        return;
    }
    this->wakeTimes.erase({known, replica.number});
    if (next != SteadyTime()) {
        this->wakeTimes.emplace(next, replica.number);
    }
    known = next;
}

void ReplicaIndex::drop(std::uint64_t number)
{
    const auto found = this->places.find(number);
    if (found == this->places.end()) {
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
    this->places.erase(found);
}

void ReplicaIndex::remove(const DispatchedReplica &replica)
{
    this->drop(replica.number);
    const auto [first, last] = this->byMark.equal_range(replica.mark);
    const auto marked = std::find_if(first, last, [&replica](const auto &entry) {
        return entry.second == &replica;
    });
    if (marked != last) {
        this->byMark.erase(marked);
    }
    const auto wake = this->wakes.find(replica.number);
    if (wake != this->wakes.end()) {
        this->wakeTimes.erase({wake->second.first, replica.number});
        this->wakes.erase(wake);
    }
}

void ReplicaIndex::refresh()
{
    const SteadyTime now = this->clock.now();
    while (!this->wakeTimes.empty() && this->wakeTimes.begin()->first <= now) {
        this->update(*this->wakes.at(this->wakeTimes.begin()->second).second);
    }
}

bool ReplicaIndex::isEmpty() const
{
    return this->places.empty();
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
        // All in the order score alike, but those that are connected, which were looked at before: the first one is the best.
        for (const auto &[key, replica] : order) {
            if (request.avoids(replica->traits.instance)) {
                continue;
            }
            const double score = scoreOf(request, *replica, key.first, false);
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
    for (const std::uint32_t mark : request.connected) {
        const auto [first, last] = this->byMark.equal_range(mark);
        for (auto marked = first; marked != last; ++marked) {
            DispatchedReplica &replica = *marked->second;
            const auto place = this->places.find(replica.number);
            const bool isUsable = place != this->places.end() && !request.avoids(replica.traits.instance)
                && request.acceptsVersion(replica.traits.version)
                && (request.work == WorkClass::Online || place->second.isForItems);
            if (!isUsable) {
                continue;
            }
            const double score = scoreOf(request, replica, place->second.key.first, true);
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
