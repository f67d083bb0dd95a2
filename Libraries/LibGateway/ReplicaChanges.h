#pragma once

#include <LibGateway/ServingReplica.h>

#include <vector>

namespace Dogwoodkeel
{

/** Changes of a list of replicas. A replica that moved to another service is in both lists; removals apply first. */
struct ReplicaChanges
{
    /** New or changed replicas. */
    std::vector<ServingReplica> put;
    /** Removed replicas, with their last known state. */
    std::vector<ServingReplica> removed;

    bool isEmpty() const
    {
        return this->put.empty() && this->removed.empty();
    }
};

} // namespace Dogwoodkeel
