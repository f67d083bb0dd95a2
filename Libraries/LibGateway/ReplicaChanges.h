#pragma once

#include <LibGateway/ServingReplica.h>

#include <vector>

namespace Dogwoodkeel
{

/** What changed in the list of replicas. One that went to another service stands in both: removed, then put. */
struct ReplicaChanges
{
    /** Those that are new, or not as they were. */
    std::vector<ServingReplica> put;
    /** Those that are gone, as they were last. */
    std::vector<ServingReplica> removed;

    bool isEmpty() const
    {
        return this->put.empty() && this->removed.empty();
    }
};

} // namespace Dogwoodkeel
