#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstddef>
#include <optional>

namespace Dogwoodkeel
{

/**
 * What a service can serve and what is asked of it, learned from the requests themselves: how fast slots become free, how
 * fast requests come in the long run, and how many that are late already get a place nevertheless. The first two tell a burst,
 * after which there is room, from a load that stays.
 */
class LoadForecast
{
public:
    explicit LoadForecast(const Clock &clock);

    /** An online request came for the first time. */
    void recordArrival();

    /** A request that was late already got a place, which nobody else wanted. */
    void recordLatePlacement();

    /** An online request gave its slot back. @param held how long it had it */
    void recordRun(std::chrono::nanoseconds holdTime);

    /** Tell at each look whether requests that can be on time wait for a place: by it the length of bursts is learned. */
    void recordWaiting(bool isAnyWaiting);

    /**
     * @return when the present burst is over, most likely, by the length of those before it; nothing if none has ended yet, or
     * there is none
     */
    std::optional<SteadyTime> burstEnd() const;

    /** @param slots that all replicas have together */
    void setSlots(std::size_t slots);

    /** @return online requests a second that all slots can serve; 0 as long as it isn't known. */
    double serviceRate() const;

    /** @return late requests that got a place in a second, lately. */
    double latePlacementRate() const;

    /** @return online requests a second that can be served beyond what comes in the long run; 0 if none or not known. */
    double spareCapacity() const;

private:
    /** Counts events, and forgets them over a time. */
    class Rate
    {
    public:
        explicit Rate(std::chrono::duration<double> timeConstant);

        void record(SteadyTime now);
        /** @return events a second. */
        double perSecond(SteadyTime now) const;
        /** @return since the first event, as a share of the time that is remembered. */
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
    /** When requests began to wait, and when one was last seen to. */
    std::optional<SteadyTime> burstSince;
    SteadyTime lastSeenWaiting{};
    /** How long bursts last; zero as long as none has ended. */
    std::chrono::duration<double> meanBurst{0};
};

} // namespace Dogwoodkeel
