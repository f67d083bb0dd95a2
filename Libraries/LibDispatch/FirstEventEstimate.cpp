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
constexpr double largestFactor = 3;

} // namespace

void FirstEventEstimate::note(std::chrono::nanoseconds took)
{
    const Milliseconds value = std::min(Milliseconds(took), this->mean * largestFactor);
    const Milliseconds difference = value - this->mean;
    this->mean += difference * weight;
    this->deviation += (Milliseconds(std::abs(difference.count())) - this->deviation) * weight;
}

std::chrono::milliseconds FirstEventEstimate::value() const
{
    return std::chrono::ceil<std::chrono::milliseconds>(this->mean + this->deviation);
}

} // namespace Dogwoodkeel
