#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/DispatchedReplica.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace Dogwoodkeel
{

/**
 * Indexes the replicas that accept requests and have a free slot, by failure domain, version and load, so that the best
 * one for a request is found without a scan of all replicas. A replica's position is updated when its state changes,
 * and by refresh() when the passing of time changes it.
 */
class ReplicaIndex
{
public:
    explicit ReplicaIndex(const Clock &clock);

    /** Updates the position of a replica, or adds a new one. The object has to stay at its address until remove(). */
    void update(DispatchedReplica &replica);

    /** Removes a replica. */
    void remove(const DispatchedReplica &replica);

    /** Applies the changes that the passing of time brought since the last call. */
    void refresh();

    /** @return whether no replica is open. */
    bool isEmpty() const;

    /** @return whether a replica of any version but these may accept an item. */
    bool isAnyOpenForItems(const std::set<SoftwareVersion> &exceptVersions) const;

    /** @return the best replica for a request, or null if no open replica can be used. */
    DispatchedReplica *best(const PlacementRequest &request) const;

private:
    /** Load, then the replica's number as a tie-breaker. */
    using Key = std::pair<double, std::uint64_t>;
    using Order = std::map<Key, DispatchedReplica *>;

    /** Replicas that are equivalent for a request if their load is equal. */
    struct Group
    {
        FailureDomain domain;
        SoftwareVersion version;

        auto operator<=>(const Group &) const = default;
    };

    /** The open replicas of one group. */
    struct OpenReplicas
    {
        Order all;
        /** Those of them that may accept a batch item, ordered by DispatchedReplica::itemLoad(). */
        Order forItems;
    };

    /** The position of a replica in the index. */
    struct Position
    {
        Group group;
        Key key;
        Key itemKey;
        /** By how much one more request changes the load, see DispatchedReplica. */
        double loadOfRequest = 0;
        bool isForItems = false;
    };

    /** The best replica so far, and its score; the lowest is best. */
    struct Candidate
    {
        DispatchedReplica *replica = nullptr;
        double score = 0;
    };

    /** @return whether a replica is selected by its item load, because the request is an item that can wait. */
    bool isPatient(const PlacementRequest &request) const;
    Candidate bestConnected(const PlacementRequest &request) const;
    /** Compares the first usable replica of a group. */
    void considerGroup(const PlacementRequest &request, const OpenReplicas &open, Candidate &best) const;
    double scoreOf(const PlacementRequest &request, const DispatchedReplica &replica, bool isConnected) const;
    void removePosition(std::uint64_t number);
    void scheduleRefresh(DispatchedReplica &replica, SteadyTime now);

    const Clock &clock;
    std::map<Group, OpenReplicas> groups;
    std::unordered_map<std::uint64_t, Position> positions;
    std::unordered_multimap<std::uint32_t, DispatchedReplica *> byNameHash;
    /** When the passing of time may next change a replica: ordered by time, and by the replica's number. */
    std::set<std::pair<SteadyTime, std::uint64_t>> refreshTimes;
    std::unordered_map<std::uint64_t, std::pair<SteadyTime, DispatchedReplica *>> refreshes;
};

} // namespace Dogwoodkeel
