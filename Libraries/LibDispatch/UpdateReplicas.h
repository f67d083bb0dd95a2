#pragma once

#include <LibDispatch/PlacementTypes.h>

#include <map>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Bring what is known of each replica up to a new list: those that stay keep their state, new ones begin with none, and
 * those that went are dropped.
 * @tparam Known state of a replica with the members `traits` and `mark`, its short name
 */
template <typename Known>
void updateReplicas(std::map<EndpointName, Known> &known, const std::vector<DispatchReplica> &replicas)
{
    std::map<EndpointName, Known> updated;
    for (const DispatchReplica &traits : replicas) {
        const auto before = known.find(traits.instance);
        Known replica = before != known.end() ? before->second : Known();
        replica.traits = traits;
        if (before == known.end()) {
            replica.mark = markOf(traits.instance);
        }
        updated.emplace(traits.instance, std::move(replica));
    }
    known = std::move(updated);
}

} // namespace Dogwoodkeel
