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
 * The replicas that have a free slot and take requests now, by failure domain and load, so that the best one for a request is
 * found without a look at all of them. A replica is put in order again when something of it changes, and when time alone opens
 * it.
 */
class ReplicaIndex
{
public:
    explicit ReplicaIndex(const Clock &clock);

    /** Something of a replica changed; it stays where it is in memory until remove(). */
    void update(DispatchedReplica &replica);

    /** A replica is gone. */
    void remove(const DispatchedReplica &replica);

    /** Take in what time has changed since the last call. */
    void refresh();

    /** @return whether no replica has a free slot. */
    bool isEmpty() const;

    /** @return whether a replica of any other version may take an item. */
    bool isAnyOpenForItems(const std::set<SoftwareVersion> &exceptVersions) const;

    /** @return the best replica for a request, or null if there is none with a free slot that it may use. */
    DispatchedReplica *best(const PlacementRequest &request) const;

private:
    /** Load, and the number among equals. */
    using Key = std::pair<double, std::uint64_t>;
    using Order = std::map<Key, DispatchedReplica *>;

    /** Replicas among which any is as good as another of the same load. */
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
        /** Those of them that may take an item. */
        Order forItems;
    };

    /** Where a replica stands. */
    struct Position
    {
        Group group;
        Key key;
        bool isForItems = false;
    };

    DispatchedReplica *bestConnected(const PlacementRequest &request, double &bestScore) const;
    void removePosition(std::uint64_t number);
    void scheduleRefresh(DispatchedReplica &replica, SteadyTime now);

    const Clock &clock;
    std::map<Group, OpenReplicas> groups;
    std::unordered_map<std::uint64_t, Position> positions;
    std::unordered_multimap<std::uint32_t, DispatchedReplica *> byNameHash;
    /** When time alone may change a replica. */
    std::set<std::pair<SteadyTime, std::uint64_t>> refreshTimes;
    std::unordered_map<std::uint64_t, std::pair<SteadyTime, DispatchedReplica *>> refreshes;
};

} // namespace Dogwoodkeel
