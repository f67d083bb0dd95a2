#include <LibPlatform/StoreClock.h>

namespace Dogwoodkeel
{

namespace
{

/** Two steady clocks drift apart by some milliseconds in this time; after it, the offset of a slower answer is used as well. */
constexpr std::chrono::seconds maxOffsetAge{60};

} // namespace

StoreClock::StoreClock(const Clock &clock) : clock(clock)
{
}

void StoreClock::record(StoreTime reported)
{
    const SteadyTime now = this->clock.now();
    const std::chrono::nanoseconds difference = reported.time_since_epoch() - now.time_since_epoch();
    // The time in an answer is outdated by the transit time, so of two offsets the larger is more accurate. A pause of the VM
    // leaves its steady clock behind and makes the offset larger, which corrects the estimate.
    if (!this->offset || difference >= *this->offset || now - this->recordedAt > maxOffsetAge) {
        this->offset = difference;
        this->recordedAt = now;
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
