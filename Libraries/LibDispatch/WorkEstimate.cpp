#include <LibDispatch/WorkEstimate.h>

namespace Dogwoodkeel
{

namespace
{

/** Weight of one run in the means. */
constexpr double runWeight = 0.02;

} // namespace

void WorkEstimate::recordRun(std::uint32_t cost, std::chrono::nanoseconds holdTime)
{
    // Both means are of the same runs, so that the corrections of all charges add up to about nothing.
    const double weight = this->cost == 0 ? 1 : runWeight;
    this->cost += weight * (cost - this->cost);
    this->holdTime += weight * (std::chrono::duration<double>(holdTime) - this->holdTime);
}

double WorkEstimate::meanCost() const
{
    return this->cost;
}

double WorkEstimate::workOf(std::chrono::nanoseconds holdTime) const
{
    return this->holdTime.count() > 0 ? holdTime / this->holdTime * this->cost : 0;
}

} // namespace Dogwoodkeel
