#pragma once

#include <chrono>

namespace Dogwoodkeel
{

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

/** Tags the steady time that the platform's store reports in its responses; it is the same for all nodes. */
struct StoreTimeTag
{
    using duration = std::chrono::milliseconds;
};

using StoreTime = std::chrono::time_point<StoreTimeTag>;

/**
 * Source of time. Components read time only from the clock that they were constructed with, so that tests
 * advance time explicitly and never wait.
 */
class Clock
{
public:
    virtual ~Clock() = default;
    /** @return monotonic time, for durations and deadlines. */
    virtual SteadyTime now() const = 0;
    /** @return calendar time, for display only. No decision depends on it. */
    virtual WallTime wallNow() const = 0;

    /** @return for how long the machine has been suspended since it started, which now() does not count. */
    virtual std::chrono::nanoseconds suspended() const
    {
        return std::chrono::nanoseconds(0);
    }
};

} // namespace Dogwoodkeel
