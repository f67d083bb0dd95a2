#pragma once

#include <LibBase/Clock.h>
#include <LibWire/Generated/Messages.h>

#include <chrono>
#include <optional>

namespace Dogwoodkeel
{

/**
 * Decides from the outcome of recent requests whether a replica should receive more. After a failure the replica is
 * blocked for a while, then one request probes it; each further failure doubles the time, up to a maximum. So an
 * unreachable replica costs one request per probe, and a replica that fails occasionally stays in use.
 */
class ReplicaCircuitBreaker
{
public:
    /** @return whether a request may be sent to the replica now. */
    bool maySend(SteadyTime now) const;

    /** @return when the replica may receive requests again, or nothing if it may now. */
    std::optional<SteadyTime> maySendAt(SteadyTime now) const;

    /** Records that a request was sent to the replica. */
    void recordSent(SteadyTime now);

    /** Records how a request ended. */
    void recordEnd(PlacementVerdict verdict, SteadyTime now);

private:
    void block(std::chrono::milliseconds time, SteadyTime now);

    int failures = 0;
    SteadyTime blockedUntil{};
};

} // namespace Dogwoodkeel
