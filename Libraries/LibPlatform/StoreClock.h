#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <optional>

namespace Dogwoodkeel
{

/**
 * What time it is at the platform's store, by its answers and this node's steady clock. Ages that nodes compare with each
 * other are told by it: the time of day differs between VMs and may jump by seconds, and a job would be given up too early or
 * run as the last one.
 */
class StoreClock
{
public:
    explicit StoreClock(const Clock &clock);

    /** An answer of the store has just come. @param reported the time in it */
    void record(StoreTime reported);

    /** @return the time at the store now; nothing as long as no answer has come. */
    std::optional<StoreTime> now() const;

private:
    const Clock &clock;
    /** The store's time minus this node's steady time, from the answer that was on its way for the shortest time. */
    std::optional<std::chrono::nanoseconds> offset;
    SteadyTime noted{};
};

} // namespace Dogwoodkeel
