#pragma once

#include <LibBase/Clock.h>
#include <LibWorkspace/QuotaBounds.h>

#include <chrono>
#include <optional>

namespace Dogwoodkeel
{

/**
 * A token bucket. In any time t it grants at most capacity + rate x t, also in parts of a window: so a counter that follows it,
 * and starts from nothing, keeps the window's bound together with it.
 */
class QuotaBucket
{
public:
    /** @param level what it may grant at once, up to its capacity */
    QuotaBucket(SteadyTime now, const RequestQuota &quota, double margin, double level);

    /** The quota was changed; what is above the new capacity is lost. */
    void setQuota(SteadyTime now, const RequestQuota &quota, double margin);

    /** @param share of the quota that is granted here from now on: of its rate, and of its burst */
    void setShare(SteadyTime now, double share);

    /** Add to what it may grant at once, up to its capacity. */
    void add(SteadyTime now, double tokens);

    /** @return nothing if a request is granted, else how long until there is tokenAvailable, behind those who were told before.
     */
    std::optional<std::chrono::milliseconds> tryAcquire(SteadyTime now);

    /** @return what it may grant at once. */
    double level(SteadyTime now) const;

    /** @return whether it has been used so little that a new one would be the same. */
    bool isFull(SteadyTime now) const;

    const RequestQuota &quota() const;

private:
    void fill(SteadyTime now);
    double capacity() const;

    RequestQuota limit;
    double margin;
    double share = 1;
    double tokens;
    SteadyTime filled;
    /** Up to when the tokenAvailable is told to those who were refused. */
    SteadyTime retryTimesGivenUntil;
};

} // namespace Dogwoodkeel
