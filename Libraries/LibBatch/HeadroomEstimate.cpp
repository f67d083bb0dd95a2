#include <LibBatch/HeadroomEstimate.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** Factor on the weight of an arrival with each later one: about the last thousand arrivals count. */
constexpr double weightDecay = 0.999;

} // namespace

HeadroomEstimate::HeadroomEstimate(const Clock &clock, std::chrono::nanoseconds reaction) : clock(clock), reaction(reaction)
{
}

void HeadroomEstimate::setReaction(std::chrono::nanoseconds reaction)
{
    this->reaction = reaction;
}

void HeadroomEstimate::observe(std::uint32_t online)
{
    const SteadyTime now = this->clock.now();
    const SteadyTime begin = now - this->reaction;
    while (this->recent.size() > 1 && this->recent[1].at <= begin) {
        this->recent.pop_front();
    }
    for (std::uint32_t arrived = this->last + 1; arrived <= online; ++arrived) {
        std::uint32_t minOnline = this->last;
        for (const Sample &sample : this->recent) {
            minOnline = std::min(minOnline, sample.online);
        }
        const std::size_t rise = std::min<std::size_t>(arrived - minOnline, maxRise);
        for (double &weight : this->weights) {
            weight *= weightDecay;
        }
        this->weights[rise] += 1;
        this->sum = this->sum * weightDecay + 1;
    }
    this->recent.push_back({now, online});
    this->last = online;
}

std::uint32_t HeadroomEstimate::value(double noSlotShare) const
{
    double above = 0;
    for (std::size_t rise = maxRise; rise > 0; --rise) {
        above += this->weights[rise];
        if (above > this->sum * noSlotShare) {
            return static_cast<std::uint32_t>(rise);
        }
    }
    return 0;
}

} // namespace Dogwoodkeel
