#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/PlacementTypes.h>
#include <LibDispatch/ReplicaCircuitBreaker.h>
#include <LibDispatch/ReplicaUpdate.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Selects replicas by the number of requests that this node alone has running there. Used for services whose calls are
 * short, and while no dispatcher can be reached. Counts of other nodes are left out: they would be out of date when
 * used, and would make all nodes select the same replica.
 */
class LocalPlacement
{
public:
    LocalPlacement(const Clock &clock, std::uint64_t seed);

    void setReplicas(const std::vector<DispatchReplica> &replicas);

    /** Applies a change to the list of replicas. */
    void update(const ReplicaUpdate &update);

    /** @return the replica to use, or nothing if no replica may be used */
    std::optional<EndpointName> select(const FailureDomain &ownDomain, const PlacementTraits &request);

    /** Records that a request was sent to a replica; end() has to follow. */
    void begin(const EndpointName &instance);

    void end(const EndpointName &instance, PlacementVerdict verdict);

private:
    struct Replica
    {
        DispatchReplica traits;
        /** See nameHashOf(). */
        std::uint32_t nameHash = 0;
        ReplicaCircuitBreaker breaker;
        std::uint32_t running = 0;
    };

    const Clock &clock;
    std::minstd_rand random;
    std::map<EndpointName, Replica> replicas;
};

} // namespace Dogwoodkeel
