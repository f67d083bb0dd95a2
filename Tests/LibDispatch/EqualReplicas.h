#pragma once

#include <LibDispatch/PlacementTypes.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** @return replicas r0, r1, ... of one failure domain. */
inline std::vector<DispatchReplica> equalReplicas(std::size_t count, std::uint32_t slots)
{
    std::vector<DispatchReplica> replicas;
    for (std::size_t number = 0; number < count; ++number) {
        replicas.push_back({EndpointName("r" + std::to_string(number)), FailureDomain("z"), slots, false});
    }
    return replicas;
}

} // namespace Dogwoodkeel
