#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstddef>
#include <optional>

namespace Dogwoodkeel
{

/**
 * Estimates a service's capacity and load from its requests: the service rate, the long-term arrival rate, the rate at
 * which late requests are still placed, and the length of bursts. The service and arrival rates distinguish a burst,
 * after which capacity is free again, from a sustained overload.
 */
class LoadForecast
{
public:
    explicit LoadForecast(const Clock &clock);

    /** Records the first arrival of an online request; retries do not count. */
    void recordArrival();

    /** Records that a request was placed though it was late already, in a slot that no request on time needed. */
    void recordLatePlacement();

    /**
     * Records that an online request released its slot.
     * @param holdTime how long it held the slot
     */
    void recordRun(std::chrono::nanoseconds holdTime);

    /**
     * Records at each check whether requests wait that can still be on time. The length of bursts is learned from this.
     */
    void recordWaiting(bool isAnyWaiting);

    /**
     * @return the expected end of the current burst, from the length of earlier ones; nothing if there is no burst or
     * none has ended yet
     */
    std::optional<SteadyTime> burstEnd() const;

    /** @param slots total over all replicas */
    void setSlots(std::size_t slots);

    /** @return online requests per second that all slots can serve; 0 while unknown. */
    double serviceRate() const;

    /** @return the recent number of late requests placed per second. */
    double latePlacementRate() const;

    /**
     * @return online requests per second that can be served beyond the long-term arrival rate; 0 if there is no spare
     * capacity or it is unknown.
     */
    double spareCapacity() const;

private:
    /** An event rate with exponential decay. */
    class Rate
    {
    public:
        explicit Rate(std::chrono::duration<double> timeConstant);

        void record(SteadyTime now);
        /** @return events per second. */
        double perSecond(SteadyTime now) const;
        /** @return the time since the first event, as a multiple of the time constant. */
        double observedShare(SteadyTime now) const;

    private:
        std::chrono::duration<double> timeConstant;
        SteadyTime first{};
        SteadyTime last{};
        double count = 0;
    };

    const Clock &clock;
    Rate latePlacements;
    Rate arrivals;
    std::size_t slots = 0;
    std::chrono::duration<double> meanHoldTime{0};
    /** When the current burst started, and when a request was last seen waiting in it. */
    std::optional<SteadyTime> burstSince;
    SteadyTime lastSeenWaiting{};
    /** Mean length of a burst; zero until one has ended. */
    std::chrono::duration<double> meanBurst{0};
};

} // namespace Dogwoodkeel
