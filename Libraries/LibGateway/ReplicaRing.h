#pragma once

#include <LibGateway/ServingReplica.h>

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Gives each node a few replicas of each service, for the time when it has nobody to ask. What a node holds, and what it is told
 * of changes, does not grow with the replicas then. The nodes' sets overlap evenly, so that all of them alone still use all
 * replicas alike.
 */
class ReplicaRing
{
public:
    /** What a node is given. */
    struct Choice
    {
        std::vector<ServingReplica> replicas;
        /** That of a ReplicaList with just these. */
        std::uint64_t fingerprint = 0;
    };

    /** Take a new or changed replica. */
    void put(const ServingReplica &replica);

    void remove(const ServingReplica &replica);

    /** Forget all. */
    void clear();

    /**
     * @param node hash of who wants to know
     * @param near three quarters of the replicas are of this failure domain, as far as it has so many
     * @param most how many of each service
     * @return replicas that take requests: those behind the node's own place on a ring (consistent hashing)
     */
    Choice choose(std::uint64_t node, const FailureDomain &near, std::size_t most) const;

private:
    /** The replicas of a service in one failure domain, by a hash of their names. */
    struct Entry
    {
        ServingReplica replica;
        std::uint64_t fingerprint = 0;
    };
    using Ring = std::map<std::uint64_t, Entry>;
    using Service = std::map<FailureDomain, Ring>;

    static void addBehind(const Ring &ring, std::uint64_t place, std::size_t most, Choice &choice);

    std::map<ServiceName, Service> services;
};

} // namespace Dogwoodkeel
