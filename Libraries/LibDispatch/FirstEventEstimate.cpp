#include <LibDispatch/FirstEventEstimate.h>

#include <algorithm>
#include <cmath>

namespace Dogwoodkeel
{

namespace
{

/** Weight of the newest value; about the last thirty requests count. */
constexpr double weight = 0.03;
/** Limits the effect of one outlier, such as a request on a slow replica or one that waited in its queue. */
constexpr double maxFactor = 3;
/** Mean deviations above the mean; all but about two requests of a hundred are below. */
constexpr double deviations = 2.5;
/**
 * The other delays within the objective: connecting and sending the caller's request, the dispatcher's answer, and the
 * first event. Four one-way delays between VMs and callers, and the scheduling pauses of VMs with little processor
 * time.
 */
constexpr std::chrono::milliseconds networkAllowance{10};

} // namespace

void FirstEventEstimate::record(std::chrono::nanoseconds took)
{
    const Milliseconds value = std::min(Milliseconds(took), this->mean * maxFactor);
    const Milliseconds difference = value - this->mean;
    this->mean += difference * weight;
    this->deviation += (Milliseconds(std::abs(difference.count())) - this->deviation) * weight;
}

std::chrono::milliseconds FirstEventEstimate::value() const
{
    return std::chrono::ceil<std::chrono::milliseconds>(this->mean + deviations * this->deviation);
}

SteadyTime FirstEventEstimate::placementDeadline(SteadyTime arrived, std::chrono::milliseconds objective) const
{
    return arrived + std::max(objective - this->value() - networkAllowance, std::chrono::milliseconds(0));
}

} // namespace Dogwoodkeel
