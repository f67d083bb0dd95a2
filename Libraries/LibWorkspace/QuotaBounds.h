#pragma once

#include <LibWorkspace/Workspace.h>

#include <chrono>

namespace Dogwoodkeel
{

/** How exactly quotas are kept: in each sliding window, at most (rate x window + burst) x (1 + overrun) + slack requests run. */
struct QuotaBounds
{
    std::chrono::milliseconds window{5000};
    /** Part of what a quota allows in a window. */
    double overrun = 0;
    /** Requests. */
    double slack = 0;

    /** @return requests that a quota allows in a window, without the tolerance. */
    double allowed(const RequestQuota &quota) const
    {
        return quota.perSecond * std::chrono::duration<double>(this->window).count() + quota.burst;
    }

    /** @return requests by which a window may go beyond what the quota allows. */
    double tolerance(const RequestQuota &quota) const
    {
        return this->allowed(quota) * this->overrun + this->slack;
    }
};

/**
 * What the tolerance is spent on. A counter that takes a quota over does not know what was granted before it, so it has to assume
 * that all was; without some of the tolerance it would refuse everybody for a moment. The parts sum up to less than the whole,
 * also with a second counter that has no claim.
 */
struct QuotaMargins
{
    /** Added to the burst, so that chance alone refuses nobody who keeps the limit on average. */
    double burst = 0;
    /** What a counter may grant that takes the duty over, before and beyond what its rate allows from then on. */
    double takeover = 0;
    /** What all nodes together may grant that reach no counter. */
    double local = 0;

    explicit QuotaMargins(double tolerance) : burst(tolerance / 4), takeover(tolerance / 4), local(tolerance / 8)
    {
    }
};

} // namespace Dogwoodkeel
