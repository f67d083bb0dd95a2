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
 * Chooses replicas by what this node alone sends them: for services whose calls are short, and while no dispatcher can be
 * reached. Counts of other nodes would be out of date by the time they are used, and make all nodes choose the same replica.
 */
class LocalPlacement
{
public:
    LocalPlacement(const Clock &clock, std::uint64_t seed);

    void setReplicas(const std::vector<DispatchReplica> &replicas);

    /** What changed among the replicas. */
    void update(const ReplicaUpdate &update);

    /** @return the replica to use, or nothing if there is none that may be used */
    std::optional<EndpointName> select(const FailureDomain &ownDomain, const PlacementTraits &request);

    /** A request was sent there; end() has to follow. */
    void begin(const EndpointName &instance);

    void end(const EndpointName &instance, PlacementVerdict verdict);

private:
    struct Replica
    {
        DispatchReplica traits;
        /** Its short name. */
        std::uint32_t nameHash = 0;
        ReplicaCircuitBreaker breaker;
        std::uint32_t running = 0;
    };

    const Clock &clock;
    std::minstd_rand random;
    std::map<EndpointName, Replica> replicas;
};

} // namespace Dogwoodkeel
