#pragma once

#include <LibBase/Clock.h>

#include <chrono>

namespace Dogwoodkeel
{

/**
 * Estimates how long a replica takes from receiving a request to its first event. A request has to be placed at least
 * this long before its objective expires, because the prompt has to be prefilled first.
 */
class FirstEventEstimate
{
public:
    /** Records the time to the first event of one request. */
    void record(std::chrono::nanoseconds took);

    /** @return a time within which nearly all requests have their first event. */
    std::chrono::milliseconds value() const;

    /**
     * Returns the time by which a request has to be placed to meet its objective at the caller.
     *
     * In a burst the queue grows until the requests at its head have just enough time left, so nearly all are placed at
     * this deadline. A deadline based on the median time to the first event would make half of them late by some
     * milliseconds.
     * @param objective from the caller's first byte to the first event at the caller
     */
    SteadyTime placementDeadline(SteadyTime arrived, std::chrono::milliseconds objective) const;

private:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /** Initial values before any measurement: an engine's set-up and a prompt of some hundred tokens. */
    Milliseconds mean{60};
    Milliseconds deviation{10};
};

} // namespace Dogwoodkeel
