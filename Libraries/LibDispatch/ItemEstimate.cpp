#include <LibDispatch/ItemEstimate.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** Weight of the newest value; about the last twenty items count. */
constexpr double weight = 0.05;
/** The duration of a run with fewer events depends more on the prefill than on the pace. */
constexpr std::uint64_t minEvents = 10;
/**
 * Minimum remaining share of the mean: an item that is longer than the mean is most likely near its end, but not at it.
 */
constexpr double minShare = 0.1;

} // namespace

void ItemEstimate::recordCompleted(std::uint64_t events)
{
    this->meanEvents += (static_cast<double>(events) - this->meanEvents) * weight;
}

void ItemEstimate::recordRun(std::uint64_t events, std::chrono::nanoseconds took)
{
    if (events >= minEvents) {
        this->perEvent += (Milliseconds(took) / static_cast<double>(events) - this->perEvent) * weight;
    }
}

std::chrono::milliseconds ItemEstimate::remaining(std::uint64_t events) const
{
    const double remainingEvents = std::max(this->meanEvents - static_cast<double>(events), this->meanEvents * minShare);
    return std::chrono::ceil<std::chrono::milliseconds>(this->perEvent * remainingEvents);
}

} // namespace Dogwoodkeel
