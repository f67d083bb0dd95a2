#pragma once

#include <LibDispatch/PlacementTypes.h>

#include <set>
#include <vector>

namespace Dogwoodkeel
{

/** What changed among the replicas of a service. */
struct ReplicaUpdate
{
    /** Those that are new, or not as they were. */
    std::vector<DispatchReplica> put;
    std::vector<EndpointName> removed;
};

/**
 * @tparam Known a map from the instances that are known
 * @return the update that leaves just the replicas of a list
 */
template <typename Known>
ReplicaUpdate updateTo(const std::vector<DispatchReplica> &replicas, const Known &known)
{
    ReplicaUpdate update;
    update.put = replicas;
    std::set<EndpointName> present;
    for (const DispatchReplica &replica : replicas) {
        present.insert(replica.instance);
    }
    for (const auto &[instance, state] : known) {
        if (!present.contains(instance)) {
            update.removed.push_back(instance);
        }
    }
    return update;
}

} // namespace Dogwoodkeel
