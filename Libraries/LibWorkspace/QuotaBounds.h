#pragma once

#include <LibWorkspace/Workspace.h>

#include <chrono>

namespace Dogwoodkeel
{

/** Accuracy of the quotas: in each sliding window, at most (rate x window + burst) x (1 + overrun) + slack requests run. */
struct QuotaBounds
{
    std::chrono::milliseconds window{5000};
    /** Tolerated excess as a fraction of what a quota allows in a window. */
    double overrun = 0;
    /** Tolerated excess in requests, in addition to overrun. */
    double slack = 0;

    /** @return requests that a quota allows in a window, without the tolerance. */
    double allowed(const RequestQuota &quota) const
    {
        return quota.perSecond * std::chrono::duration<double>(this->window).count() + quota.burst;
    }

    /** @return number of requests by which a window may exceed the quota. */
    double tolerance(const RequestQuota &quota) const
    {
        return this->allowed(quota) * this->overrun + this->slack;
    }
};

/**
 * Splits the tolerance of a quota over its uses. A counter that takes over does not know what its predecessor granted and has to
 * assume that the quota is used up; without a part of the tolerance it would refuse every request for a moment. The parts add up
 * to less than the whole, even with a second counter that has no claim.
 */
struct QuotaMargins
{
    /** Added to the burst, so that random variation does not cause refusals for callers who keep the limit on average. */
    double burst = 0;
    /** What a counter may grant right after it took over, in addition to what its rate allows from then on. */
    double takeover = 0;
    /** What all nodes that reach no counter may grant together. */
    double local = 0;

    explicit QuotaMargins(double tolerance) : burst(tolerance / 4), takeover(tolerance / 4), local(tolerance / 8)
    {
    }
};

} // namespace Dogwoodkeel
