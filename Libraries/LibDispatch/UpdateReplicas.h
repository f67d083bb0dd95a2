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
 * @tparam Known state of a replica with a member `traits`
 */
template <typename Known>
void updateReplicas(std::map<EndpointName, Known> &known, const std::vector<DispatchReplica> &replicas)
{
    std::map<EndpointName, Known> updated;
    for (const DispatchReplica &traits : replicas) {
        const auto before = known.find(traits.instance);
        Known replica = before != known.end() ? before->second : Known();
        replica.traits = traits;
        updated.emplace(traits.instance, std::move(replica));
    }
    known = std::move(updated);
}

} // namespace Dogwoodkeel
