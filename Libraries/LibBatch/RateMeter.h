#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstdint>

namespace Dogwoodkeel
{

/** How long one item takes, over all that finish side by side: the mean of windows, the newest weighing most. */
class RateMeter
{
public:
    /** @param window how long items are counted before they become a rate */
    RateMeter(const Clock &clock, std::chrono::milliseconds window);

    void finished(std::uint32_t items);

    /** @return time per item; zero while nothing is known. */
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
