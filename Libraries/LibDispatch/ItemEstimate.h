#pragma once

#include <chrono>
#include <cstdint>

namespace Dogwoodkeel
{

/**
 * How long batch items of a service still run, learned from those that were completed. By it a dispatcher knows until when an
 * item has to have a place to be done in time.
 */
class ItemEstimate
{
public:
    /** An item was completed. @param events that it generated in all */
    void recordCompleted(std::uint64_t events);

    /** Part of an item was generated. @param events how many @param took from the request to the last of them */
    void recordRun(std::uint64_t events, std::chrono::nanoseconds took);

    /** @return how long an item still runs that has generated some events. */
    std::chrono::milliseconds remaining(std::uint64_t events) const;

private:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /** Before anything is learned: a report of some hundred events at the pace of a filled engine. */
    double meanEvents = 200;
    Milliseconds perEvent{22};
};

} // namespace Dogwoodkeel
