#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <optional>

namespace Dogwoodkeel
{

/**
 * Estimates the current time of the platform's store from the times in its answers and this node's steady clock. Ages that nodes
 * compare with each other are computed with it. The time of day differs between VMs and may jump by seconds, so that a job
 * could be abandoned too early or be scheduled last.
 */
class StoreClock
{
public:
    explicit StoreClock(const Clock &clock);

    /** Records the time in an answer that has just arrived from the store. @param reported that time */
    void record(StoreTime reported);

    /** @return the current time of the store; nothing before the first answer. */
    std::optional<StoreTime> now() const;

private:
    const Clock &clock;
    /** The store's time minus this node's steady time, from the answer with the shortest transit time. */
    std::optional<std::chrono::nanoseconds> offset;
    SteadyTime recordedAt{};
};

} // namespace Dogwoodkeel
