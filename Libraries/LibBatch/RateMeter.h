#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstdint>

namespace Dogwoodkeel
{

/** Measures the mean time between finished items, as a moving average over windows that favours the newest. */
class RateMeter
{
public:
    /** @param window time over which items are counted for one rate sample */
    RateMeter(const Clock &clock, std::chrono::milliseconds window);

    void finished(std::uint32_t items);

    /** @return time per item; zero until it is known. */
    std::chrono::nanoseconds timePerItem();

private:
    void closeWindow();

    const Clock &clock;
    std::chrono::milliseconds window;
    SteadyTime begin;
    std::uint64_t counted = 0;
    double itemsPerSecond = 0;
};

} // namespace Dogwoodkeel
