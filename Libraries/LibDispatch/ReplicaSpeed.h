#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstdint>

namespace Dogwoodkeel
{

/**
 * Learns how long one replica takes for a unit of work, relative to its service, from finished runs.
 *
 * It keeps two estimates, because periods of slowness that last less than a second must not be taken for a slow replica: the
 * recent one follows a change within a few runs, the long-term one needs many. While nothing is measured, the recent estimate
 * returns to the long-term one, and the long-term one, much more slowly, to the service's median. So a slow replica is retried.
 *
 * All times are relative: 1 is the service's median, 2 takes twice as long. The passing of time changes them in steps, so that an
 * index of them is exact if it is updated at nextChange().
 */
class ReplicaSpeed
{
public:
    /**
     * Records a run.
     * @param relativeTime its time per unit of work
     * @param statedPace what the replica stated when the run started, in percent of usual; 0: nothing
     */
    void recordRun(double relativeTime, std::uint32_t statedPace, SteadyTime now);

    /**
     * Adds the mean of several runs that another dispatcher's nodes have measured.
     * @param runs their number
     */
    void recordMean(double relativeTime, std::uint32_t runs, SteadyTime now);

    /** Records what the replica states of its machine at this moment, in percent of usual. */
    void recordPace(std::uint32_t pace, SteadyTime now);

    /** Divides all estimates by a factor, because the service's median has changed by it. */
    void rescale(double factor);

    /** @return the expected time per unit of work of a run that starts now. */
    double expected(SteadyTime now) const;

    /** @return the time per unit of work of the last runs, without the stated pace. */
    double recentTime(SteadyTime now) const;

    /** @return the time per unit of work in the long run. */
    double usual() const;

    /** @return the factor by which a stated pace lengthens a run, as far as it is trusted. */
    double paceFactor(std::uint32_t statedPace) const;

    /** @return whether any run has been recorded. */
    bool isMeasured() const;

    /** @return when the passing of time next changes the expected time, or a far time if it does not. */
    SteadyTime nextChange(SteadyTime now) const;

private:
    double longTermLogarithm(SteadyTime now) const;
    double deviationLogarithm(SteadyTime now) const;
    double paceLogarithm(SteadyTime now) const;
    double paceTrust() const;

    /** Natural logarithms of relative times: the long-term estimate, and the recent one's difference from it. */
    double longTerm = 0;
    double deviation = 0;
    double runCount = 0;
    SteadyTime measured{};
    std::uint32_t pace = 0;
    SteadyTime paceReported{};
    /** Sums over recent runs that started under a stated pace: how far the stated pace explains the measured times. */
    double paceProducts = 0;
    double paceSquares = 0;
};

} // namespace Dogwoodkeel
