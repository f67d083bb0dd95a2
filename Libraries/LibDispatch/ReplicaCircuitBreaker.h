#pragma once

#include <LibBase/Clock.h>
#include <LibWire/Generated/Messages.h>

#include <chrono>
#include <optional>

namespace Dogwoodkeel
{

/**
 * Blocks a replica for a while after failures, then lets one request probe it; each further failure doubles the time,
 * up to a maximum. So an unreachable replica costs one request per probe, and one that fails occasionally stays in use.
 */
class ReplicaCircuitBreaker
{
public:
    /** @return whether a request may be sent now. */
    bool maySend(SteadyTime now) const;

    /** @return when requests may be sent again, or nothing if they may be now. */
    std::optional<SteadyTime> maySendAt(SteadyTime now) const;

    /** Records a sent request. */
    void recordSent(SteadyTime now);

    /** Records how a request ended. */
    void recordEnd(PlacementVerdict verdict, SteadyTime now);

    /**
     * Records that the replica answered a request with an error of its own. Such a replica answers quickly, and it looks free.
     * @param mayBlock whether it may be blocked, because enough other replicas are usable
     */
    void recordError(bool mayBlock, SteadyTime now);

    /** @return the share of errors among recent answers. It falls in steps while there are no answers. */
    double errorShare(SteadyTime now) const;

    /** @return when the passing of time next changes anything, or nothing if it does not. */
    std::optional<SteadyTime> nextChange(SteadyTime now) const;

    /** @return whether it is blocked, or probed, because of errors. */
    bool isBlockedForErrors() const;

private:
    void block(std::chrono::milliseconds time, SteadyTime now);

    int failures = 0;
    double recentErrors = 0;
    SteadyTime lastAnswer{};
    /** How often it was blocked for errors without a successful answer since. */
    int errorBlocks = 0;
    SteadyTime blockedUntil{};
};

} // namespace Dogwoodkeel
