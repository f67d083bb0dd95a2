#include <LibDispatch/FirstEventEstimate.h>

#include <algorithm>
#include <cmath>

namespace Dogwoodkeel
{

namespace
{

/** Weight of the newest value: the last thirty or so requests count. */
constexpr double weight = 0.03;
/** A request that met a slow replica, or waited in its queue, must not make all others look hopeless. */
constexpr double maxFactor = 3;
/** So many mean deviations above the mean lie all but about two requests of a hundred. */
constexpr double deviations = 2.5;
/**
 * What the objective has to last for besides: the caller's connection and the way of its request before it arrives, the way of
 * the dispatcher's answer, and that of the first event. Four times between VMs and callers, and the pauses of VMs that have
 * little processor.
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
