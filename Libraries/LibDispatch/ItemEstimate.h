#pragma once

#include <chrono>
#include <cstdint>

namespace Dogwoodkeel
{

/**
 * Estimates the remaining run time of a service's batch items from those that were completed. The result determines the
 * time by which an item has to be placed to meet its deadline.
 */
class ItemEstimate
{
public:
    /**
     * Records a completed item.
     * @param events that it generated in total
     */
    void recordCompleted(std::uint64_t events);

    /**
     * Records one run of an item.
     * @param events generated in this run
     * @param took from sending the request to the last of them
     */
    void recordRun(std::uint64_t events, std::chrono::nanoseconds took);

    /** @return the remaining run time of an item that has generated a number of events. */
    std::chrono::milliseconds remaining(std::uint64_t events) const;

private:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /** Initial values before any measurement: a report of some hundred events at the pace of a fully loaded engine. */
    double meanEvents = 200;
    Milliseconds perEvent{22};
};

} // namespace Dogwoodkeel
