#pragma once

#include <LibBase/Clock.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>

namespace Dogwoodkeel
{

/**
 * How many places to keep free for online requests that are not known of yet. While batch items are told to stop, for one
 * reaction time, further requests arrive; how many that is, is learned from how fast their number has risen before.
 *
 * Each arrival is counted by the rise within one reaction time that it belongs to. The headroom is the least that all but
 * a small share of the arrivals would have found sufficient. Old arrivals weigh less and less.
 */
class HeadroomEstimate
{
public:
    /** @param reaction see setReaction; until one has been measured */
    HeadroomEstimate(const Clock &clock, std::chrono::nanoseconds reaction);

    /** @param reaction from an online request's dispatch until the places of cancelled items are free */
    void setReaction(std::chrono::nanoseconds reaction);

    void observe(std::uint32_t online);

    /**
     * @param shortShare share of arrivals that may find less than they need
     * @return places to keep free
     */
    std::uint32_t value(double noSlotShare) const;

private:
    struct Sample
    {
        SteadyTime at{};
        std::uint32_t online = 0;
    };

    static constexpr std::size_t maxRise = 64;

    const Clock &clock;
    std::chrono::nanoseconds reaction;
    /** The numbers within the last reaction time, and the one before. */
    std::deque<Sample> recent;
    std::uint32_t last = 0;
    /** Arrivals by their rise. */
    std::array<double, maxRise + 1> weights{};
    double sum = 0;
};

} // namespace Dogwoodkeel
