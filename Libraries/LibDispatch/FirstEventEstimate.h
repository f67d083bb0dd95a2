#pragma once

#include <LibBase/Clock.h>

#include <chrono>

namespace Dogwoodkeel
{

/**
 * How long a replica takes from getting a request to its first event. A request that is placed later than this before its
 * objective is over is late, though it was placed in time: the prompt has to be read first.
 */
class FirstEventEstimate
{
public:
    /** A request had its first event. */
    void record(std::chrono::nanoseconds took);

    /** @return a time within which nearly all requests have their first event. */
    std::chrono::milliseconds value() const;

    /**
     * Under a burst the queue grows until those at its head have just time enough left: nearly all requests are placed at the
     * last moment. Were that moment the one for a request of middling luck, half of them would be late by some milliseconds.
     * @param objective of the caller, from its first byte to the first event there
     * @return by when a request has to have a place to be on time at its caller
     */
    SteadyTime placementDeadline(SteadyTime arrived, std::chrono::milliseconds objective) const;

private:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /** Before anything is learned: an engine's set-up and a prompt of some hundred tokens. */
    Milliseconds mean{60};
    Milliseconds deviation{10};
};

} // namespace Dogwoodkeel
