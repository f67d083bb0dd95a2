#include <LibPlatform/StoreClock.h>

namespace Dogwoodkeel
{

namespace
{

/** Two steady clocks drift apart by some milliseconds in this time: then an answer that was slower counts as well. */
constexpr std::chrono::seconds offsetKept{60};

} // namespace

StoreClock::StoreClock(const Clock &clock) : clock(clock)
{
}

void StoreClock::record(StoreTime reported)
{
    const SteadyTime now = this->clock.now();
    const std::chrono::nanoseconds difference = reported.time_since_epoch() - now.time_since_epoch();
    // What an answer tells is as old as it was on its way: of two, the later time is nearer to the truth. A VM that was paused
    // finds its own clock behind, and the difference larger, as it should.
    if (!this->offset || difference >= *this->offset || now - this->noted > offsetKept) {
        this->offset = difference;
        this->noted = now;
    }
}

std::optional<StoreTime> StoreClock::now() const
{
    if (!this->offset) {
        return std::nullopt;
    }
    return StoreTime(std::chrono::floor<std::chrono::milliseconds>(this->clock.now().time_since_epoch() + *this->offset));
}

} // namespace Dogwoodkeel
