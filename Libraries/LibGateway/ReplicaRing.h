#pragma once

#include <LibGateway/ServingReplica.h>

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Assigns each node a small set of replicas of each service, which it uses while no dispatcher answers.
 *
 * The size of a set, and the number of changes that are sent to a node, do not grow with the number of replicas. The sets overlap
 * evenly, so that nodes that place requests on their own still use all replicas equally.
 */
class ReplicaRing
{
public:
    /** The set of replicas for one node. */
    struct Selection
    {
        std::vector<ServingReplica> replicas;
        /** Fingerprint of a ReplicaList with exactly these replicas. */
        std::uint64_t fingerprint = 0;
    };

    /** Adds or updates a replica. A draining replica is removed. */
    void put(const ServingReplica &replica);

    void remove(const ServingReplica &replica);

    /** Removes all replicas. */
    void clear();

    /**
     * @param node hash that identifies the node
     * @param localDomain failure domain that provides three quarters of the replicas, if it has enough
     * @param maxCount maximum number of replicas of each service
     * @return replicas that accept requests: those that follow the position of the node on a ring (consistent hashing)
     */
    Selection select(std::uint64_t node, const FailureDomain &localDomain, std::size_t maxCount) const;

private:
    struct Entry
    {
        ServingReplica replica;
        std::uint64_t fingerprint = 0;
    };
    /** The replicas of a service in one failure domain, by a hash of their names. */
    using Ring = std::map<std::uint64_t, Entry>;
    using Service = std::map<FailureDomain, Ring>;

    /** Adds up to `maxCount` replicas that follow a position on a ring. */
    static void addSuccessors(const Ring &ring, std::uint64_t position, std::size_t maxCount, Selection &selection);

    std::map<ServiceName, Service> services;
};

} // namespace Dogwoodkeel
