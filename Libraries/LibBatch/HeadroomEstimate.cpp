#include <LibBatch/HeadroomEstimate.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** What is left of an arrival's weight at each later one: the last thousand or so count. */
constexpr double decay = 0.999;

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
        std::uint32_t least = this->last;
        for (const Sample &sample : this->recent) {
            least = std::min(least, sample.online);
        }
        const std::size_t rise = std::min<std::size_t>(arrived - least, mostRise);
        for (double &weight : this->weights) {
            weight *= decay;
        }
        this->weights[rise] += 1;
        this->sum = this->sum * decay + 1;
    }
    this->recent.push_back({now, online});
    this->last = online;
}

std::uint32_t HeadroomEstimate::value(double shortShare) const
{
    double above = 0;
    for (std::size_t rise = mostRise; rise > 0; --rise) {
        above += this->weights[rise];
        if (above > this->sum * shortShare) {
            return static_cast<std::uint32_t>(rise);
        }
    }
    return 0;
}

} // namespace Dogwoodkeel
