#include <LibBatch/RateMeter.h>

namespace Dogwoodkeel
{

namespace
{

/** Weight of the newest window. */
constexpr double newestWeight = 0.3;

} // namespace

RateMeter::RateMeter(const Clock &clock, std::chrono::milliseconds window) : clock(clock), window(window), begin(clock.now())
{
}

void RateMeter::finished(std::uint32_t items)
{
    // Time without work does not lower the rate.
    if (this->counted == 0 && this->clock.now() - this->begin > this->window) {
        this->begin = this->clock.now();
    }
    this->counted += items;
    this->closeWindow();
}

void RateMeter::closeWindow()
{
    const std::chrono::duration<double> passed = this->clock.now() - this->begin;
    if (passed < this->window || this->counted == 0) {
        return;
    }
    const double rate = static_cast<double>(this->counted) / passed.count();
    this->itemsPerSecond = this->itemsPerSecond == 0 ? rate : newestWeight * rate + (1 - newestWeight) * this->itemsPerSecond;
    this->counted = 0;
    this->begin = this->clock.now();
}

std::chrono::nanoseconds RateMeter::timePerItem()
{
    this->closeWindow();
    if (this->itemsPerSecond == 0) {
        return std::chrono::nanoseconds(0);
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(1 / this->itemsPerSecond));
}

} // namespace Dogwoodkeel
