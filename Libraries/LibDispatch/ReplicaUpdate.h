#pragma once

#include <LibDispatch/PlacementTypes.h>

#include <set>
#include <vector>

namespace Dogwoodkeel
{

/** A change to the list of a service's replicas. */
struct ReplicaUpdate
{
    /** Replicas that are new or have changed. */
    std::vector<DispatchReplica> put;
    std::vector<EndpointName> removed;
};

/**
 * @tparam Known a map keyed by the known instances
 * @return the update after which exactly the listed replicas are known
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
