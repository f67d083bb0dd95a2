#pragma once

#include <LibBase/Clock.h>
#include <LibWire/Generated/Messages.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Dogwoodkeel
{

/**
 * What a node has measured itself of the replicas of a service. When the dispatcher changes, the nodes send it to the new one,
 * which would otherwise take slow and fast replicas for equal until enough runs have ended. Holds a limited number of replicas.
 */
class MeasuredReplicas
{
public:
    /** @param replica its name hash */
    void record(std::uint32_t replica, const RunTiming &timing, SteadyTime now);

    /** @return the mean times of the replicas that were measured recently. */
    std::vector<ReplicaTiming> timings(SteadyTime now) const;

private:
    struct Measured
    {
        ReplicaTiming timing;
        SteadyTime last{};
    };

    void removeOldest();

    std::unordered_map<std::uint32_t, Measured> replicas;
};

} // namespace Dogwoodkeel
