#pragma once

#include <LibBase/Clock.h>
#include <LibWire/Generated/Messages.h>

#include <chrono>
#include <optional>

namespace Dogwoodkeel
{

/**
 * Whether a replica should get requests, judged by what its last ones met. After a failure it is left alone for a while,
 * then one request tries it; each further failure doubles the while. So a replica that went dark costs one request a try,
 * and one that fails now and then stays in use.
 */
class ReplicaCircuitBreaker
{
public:
    /** @return whether a request may be sent there now. */
    bool maySend(SteadyTime now) const;

    /** @return from when on it may be sent requests, if it may not now. */
    std::optional<SteadyTime> maySendAt(SteadyTime now) const;

    /** A request was sent there. */
    void recordSent(SteadyTime now);

    /** A request ended. */
    void recordEnd(PlacementVerdict verdict, SteadyTime now);

private:
    void block(std::chrono::milliseconds time, SteadyTime now);

    int failures = 0;
    SteadyTime blockedUntil{};
};

} // namespace Dogwoodkeel
