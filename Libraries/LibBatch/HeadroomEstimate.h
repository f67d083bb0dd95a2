#pragma once

#include <LibBase/Clock.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>

namespace Dogwoodkeel
{

/**
 * Estimates how many slots to keep free for online requests that are not known yet. While batch items are being stopped, which
 * takes one reaction time, further requests arrive. Their number is estimated from past rises of the number of online requests.
 *
 * Each arrival is recorded with the rise within one reaction time that it belongs to. The headroom is the smallest number of
 * slots that would have been sufficient for all but a small share of the arrivals. The weight of old arrivals decays.
 */
class HeadroomEstimate
{
public:
    /** @param reaction initial value until a reaction time has been measured, see setReaction() */
    HeadroomEstimate(const Clock &clock, std::chrono::nanoseconds reaction);

    /** @param reaction time from the dispatch of an online request until the slots of cancelled items are free */
    void setReaction(std::chrono::nanoseconds reaction);

    void observe(std::uint32_t online);

    /**
     * @param noSlotShare share of the arrivals that may find too few free slots
     * @return number of slots to keep free
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
    /** Samples within the last reaction time, and the last one before it. */
    std::deque<Sample> recent;
    std::uint32_t last = 0;
    /** Weights of the arrivals by their rise. */
    std::array<double, maxRise + 1> weights{};
    double sum = 0;
};

} // namespace Dogwoodkeel
