#include <LibDispatch/ReplicaSpeed.h>

#include <algorithm>
#include <cmath>

namespace Dogwoodkeel
{

namespace
{

/** Time constant of the recent estimate: a change is visible within a second of runs. */
constexpr std::chrono::duration<double> recentTimeConstant{0.5};
/** Minimum weight of one run in the recent estimate, for replicas that finish many runs a second. */
constexpr double minRecentWeight = 0.15;
/** Weight of one run in the long-term estimate; about the last fifty runs count. */
constexpr double longTermWeight = 0.02;
/**
 * Maximum difference from the long-term estimate that one run counts with, as a logarithm (a fifth). Machines that are
 * disturbed for a sixth of the time would otherwise look slow for good.
 */
constexpr double maxInnovation = 0.2;
/** A single run is taken to be within a factor of 20 of what is expected; beyond that something else was measured. */
constexpr double maxDeviation = 3;
/** How fast the recent estimate returns to the long-term one without new runs. Short, so that a replica recovers. */
constexpr std::chrono::duration<double> recentRetention{1};
/** How fast the long-term estimate returns to the median without new runs. */
constexpr std::chrono::duration<double> longTermRetention{30};
/** How long a stated pace counts, decreasing linearly. Disturbances last about half a second. */
constexpr std::chrono::duration<double> paceRetention{0.3};
/** Weight of a run in the sums that show whether the stated pace is true. */
constexpr double paceWeight = 0.05;
/** Trust in the stated pace before any run has confirmed or refuted it, and the weight of this assumption. */
constexpr double initialPaceTrust = 0.5;
constexpr double initialPaceWeight = 0.05;
/**
 * Smaller deviations from the service's median are ignored, as a logarithm. Estimates scatter by some percent; without this,
 * load would move back and forth between equal replicas.
 */
constexpr double ignoredDeviation = 0.1;
/** Interval at which the estimates that return to the median are applied. */
constexpr std::chrono::milliseconds refreshInterval{250};
constexpr double usualPace = 100;

double decay(SteadyTime from, SteadyTime now, std::chrono::duration<double> timeConstant)
{
    return std::exp(-std::max((now - from) / timeConstant, 0.0));
}

/** @return the value without the part that may be scatter. */
double withoutScatter(double logarithm)
{
    const double size = std::max(std::abs(logarithm) - ignoredDeviation, 0.0);
    return std::copysign(size, logarithm);
}

} // namespace

void ReplicaSpeed::recordRun(double relativeTime, std::uint32_t statedPace, SteadyTime now)
{
    if (!(relativeTime > 0)) {
        return;
    }
    const double value = std::clamp(std::log(relativeTime), this->longTerm - maxDeviation, this->longTerm + maxDeviation);
    double explained = 0;
    if (statedPace > 0) {
        const double stated = std::log(statedPace / usualPace);
        this->paceProducts += paceWeight * (stated * (value - this->longTerm) - this->paceProducts);
        this->paceSquares += paceWeight * (stated * stated - this->paceSquares);
        const double trust
            = (this->paceProducts + initialPaceTrust * initialPaceWeight) / (this->paceSquares + initialPaceWeight);
        explained = std::clamp(trust, 0.0, 1.0) * stated;
    }
    const double withoutPace = value - explained;
    // After a pause the first runs weigh more, because the estimate has aged.
    const double aged = this->runCount == 0 ? 1 : 1 - decay(this->measured, now, recentTimeConstant);
    const double weight = std::max({minRecentWeight, aged, 1 / (this->runCount + 1)});
    this->recent = this->recentLogarithm(now) + weight * (withoutPace - this->recentLogarithm(now));
    this->longTerm *= this->runCount == 0 ? 1 : decay(this->measured, now, longTermRetention);
    const double innovation = withoutPace - this->longTerm;
    this->runCount += 1;
    const bool isFirst = this->runCount * longTermWeight < 1;
    this->longTerm
        += isFirst ? innovation / (this->runCount + 1) : longTermWeight * std::clamp(innovation, -maxInnovation, maxInnovation);
    this->measured = now;
}

void ReplicaSpeed::recordMean(double relativeTime, std::uint32_t runs, SteadyTime now)
{
    if (!(relativeTime > 0) || runs == 0) {
        return;
    }
    const double value = std::clamp(std::log(relativeTime), -maxDeviation, maxDeviation);
    const double weight = runs / (this->runCount + runs + 1);
    this->longTerm += weight * (value - this->longTerm);
    this->recent += weight * (value - this->recent);
    this->runCount = std::min(this->runCount + runs, 1 / longTermWeight);
    this->measured = now;
}

void ReplicaSpeed::recordPace(std::uint32_t pace, SteadyTime now)
{
    this->pace = pace;
    this->paceReported = now;
}

double ReplicaSpeed::recentLogarithm(SteadyTime now) const
{
    const double base = this->longTerm * decay(this->measured, now, longTermRetention);
    return base + (this->recent - this->longTerm) * decay(this->measured, now, recentRetention);
}

double ReplicaSpeed::paceLogarithm(SteadyTime now) const
{
    const double remaining = 1 - (now - this->paceReported) / paceRetention;
    if (this->pace == 0 || remaining <= 0) {
        return 0;
    }
    const double trust = (this->paceProducts + initialPaceTrust * initialPaceWeight) / (this->paceSquares + initialPaceWeight);
    return std::clamp(trust, 0.0, 1.0) * remaining * std::log(this->pace / usualPace);
}

double ReplicaSpeed::expected(SteadyTime now) const
{
    return std::exp(withoutScatter(this->recentLogarithm(now) + this->paceLogarithm(now)));
}

double ReplicaSpeed::usual() const
{
    return std::exp(this->longTerm);
}

SteadyTime ReplicaSpeed::nextChange(SteadyTime now) const
{
    const bool isReturning = std::abs(this->recentLogarithm(now)) > ignoredDeviation;
    const bool isPaceFresh = this->pace != 0 && now - this->paceReported < paceRetention;
    if (!isReturning && !isPaceFresh) {
        return SteadyTime::max();
    }
    // On a grid, so that the time stays the same when it is requested again.
    return SteadyTime(now.time_since_epoch() / refreshInterval * refreshInterval + refreshInterval);
}

} // namespace Dogwoodkeel
