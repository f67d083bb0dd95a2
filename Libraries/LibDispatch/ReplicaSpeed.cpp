#include <LibDispatch/ReplicaSpeed.h>

#include <algorithm>
#include <cmath>

namespace Dogwoodkeel
{

namespace
{

/** Time constant of the recent estimate: a change is visible within a second of runs. */
constexpr std::chrono::duration<double> recentTimeConstant{0.25};
/** Minimum weight of one run in the recent estimate, for replicas that finish many runs a second. */
constexpr double minRecentWeight = 0.15;
/** Weight of one run in the long-term estimate; about the last fifty runs count. */
constexpr double longTermWeight = 0.02;
/** The first runs are averaged with more weight on the later ones, because at the start the service's usual time still moves. */
constexpr double firstWeight = 1.5;
/**
 * Maximum difference from the long-term estimate that one run counts with, as a logarithm. A machine that is disturbed for 15%
 * of the time, in periods as long as a run, disturbs about a third of the runs and must not look slow for good.
 */
constexpr double maxInnovation = 0.07;
/** The first runs may count with this much, divided by their number: they find the speed, but a disturbed one does not decide. */
constexpr double maxFirstInnovation = 2;
/** A single run is taken to be within a factor of 20 of what is expected; beyond that something else was measured. */
constexpr double maxDeviation = 3;
/** How fast the recent estimate returns to the long-term one without new runs. Longer than the gap between two runs of a
 * replica that is in use, short enough that a replica recovers. */
constexpr std::chrono::duration<double> recentRetention{2};
/** How fast the long-term estimate returns to the median without new runs. */
constexpr std::chrono::duration<double> longTermRetention{30};
/** A replica without runs for this long is not used any more; until then its long-term estimate stays. */
constexpr std::chrono::seconds unusedDelay{5};
/** Steps in which the two estimates return. */
constexpr std::chrono::milliseconds recentStep{250};
constexpr std::chrono::milliseconds longTermStep{2000};
/** A stated pace counts for this many steps of this length, decreasing linearly. Disturbances last about half a second. */
constexpr std::chrono::milliseconds paceStep{100};
constexpr int paceSteps = 3;
/** Weight of a run in the sums that show whether the stated pace is true. */
constexpr double paceWeight = 0.05;
/**
 * Trust in the stated pace before any run has confirmed or refuted it, and the weight of this assumption. A disturbance that ends
 * during a run lengthens it by a part only.
 */
constexpr double initialPaceTrust = 0.3;
constexpr double initialPaceWeight = 0.05;
/**
 * Smaller deviations from the service's median are ignored, as a logarithm. Estimates scatter by some percent; without this,
 * load would move back and forth between equal replicas.
 */
constexpr double ignoredDeviation = 0.1;
/** Smaller logarithms count as 0, so that an estimate that returns is at its end in finite time. */
constexpr double negligible = 0.02;
constexpr double usualPace = 100;
/** A stated pace that is expected to lengthen a run by more than this, as a logarithm, is a disturbance. */
constexpr double disturbedPace = 0.05;

double decay(SteadyTime from, SteadyTime now, std::chrono::duration<double> timeConstant)
{
    return std::exp(-std::max((now - from) / timeConstant, 0.0));
}

/** @return the end of the last whole step since a time. */
SteadyTime lastStep(SteadyTime from, SteadyTime now, std::chrono::milliseconds step)
{
    return from + std::max<std::int64_t>((now - from) / step, 0) * step;
}

double withoutNegligible(double logarithm)
{
    return std::abs(logarithm) < negligible ? 0 : logarithm;
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
    const double base = this->runCount == 0 ? 0 : this->longTerm * decay(this->measured + unusedDelay, now, longTermRetention);
    const double value = std::clamp(std::log(relativeTime), base - maxDeviation, base + maxDeviation);
    if (statedPace > 0) {
        const double stated = std::log(statedPace / usualPace);
        this->paceProducts += paceWeight * (stated * (value - base) - this->paceProducts);
        this->paceSquares += paceWeight * (stated * stated - this->paceSquares);
    }
    const double withoutPace = value - std::log(this->paceFactor(statedPace));
    // After a pause the first runs weigh more, because the estimate has aged.
    const double aged = this->runCount == 0 ? 1 : 1 - decay(this->measured, now, recentTimeConstant);
    const double weight = std::max({minRecentWeight, aged, 1 / (this->runCount + 1)});
    const double former = base + this->deviation * decay(this->measured, now, recentRetention);
    const double recent = former + weight * (withoutPace - former);
    this->runCount += 1;
    const double innovation = withoutPace - base;
    // A run that started in a stated disturbance shows nothing of the long term, unless such statements are wrong.
    const bool isDisturbed = std::log(this->paceFactor(statedPace)) > disturbedPace;
    const double limit = isDisturbed ? 0 : std::max(maxInnovation, maxFirstInnovation / this->runCount);
    const double longTermStepWeight = std::max(longTermWeight, firstWeight / (this->runCount + firstWeight));
    this->longTerm = base + longTermStepWeight * std::clamp(innovation, -limit, limit);
    this->deviation = recent - this->longTerm;
    this->measured = now;
}

void ReplicaSpeed::recordMean(double relativeTime, std::uint32_t runs, SteadyTime now)
{
    if (!(relativeTime > 0) || runs == 0) {
        return;
    }
    const double value = std::clamp(std::log(relativeTime), -maxDeviation, maxDeviation);
    const double weight = runs / (this->runCount + runs);
    this->longTerm += weight * (value - this->longTerm);
    this->deviation *= 1 - weight;
    this->runCount = std::min(this->runCount + runs, 1 / longTermWeight);
    this->measured = now;
}

void ReplicaSpeed::recordPace(std::uint32_t pace, SteadyTime now)
{
    this->pace = pace;
    this->paceReported = now;
}

void ReplicaSpeed::rescale(double factor)
{
    if (this->isMeasured()) {
        this->longTerm -= std::log(factor);
    }
}

double ReplicaSpeed::longTermLogarithm(SteadyTime now) const
{
    const SteadyTime step = lastStep(this->measured + unusedDelay, now, longTermStep);
    return withoutNegligible(this->longTerm * decay(this->measured + unusedDelay, step, longTermRetention));
}

double ReplicaSpeed::deviationLogarithm(SteadyTime now) const
{
    const SteadyTime step = lastStep(this->measured, now, recentStep);
    return withoutNegligible(this->deviation * decay(this->measured, step, recentRetention));
}

double ReplicaSpeed::paceLogarithm(SteadyTime now) const
{
    const std::int64_t steps = (now - this->paceReported) / paceStep;
    if (this->pace == 0 || steps >= paceSteps) {
        return 0;
    }
    const double remaining = 1 - static_cast<double>(steps) / paceSteps;
    return remaining * std::log(this->paceFactor(this->pace));
}

double ReplicaSpeed::paceTrust() const
{
    const double trust = (this->paceProducts + initialPaceTrust * initialPaceWeight) / (this->paceSquares + initialPaceWeight);
    return std::clamp(trust, 0.0, 1.0);
}

double ReplicaSpeed::paceFactor(std::uint32_t statedPace) const
{
    return statedPace == 0 ? 1 : std::pow(statedPace / usualPace, this->paceTrust());
}

double ReplicaSpeed::expected(SteadyTime now) const
{
    const double recent = this->longTermLogarithm(now) + this->deviationLogarithm(now);
    return std::exp(withoutScatter(recent + this->paceLogarithm(now)));
}

double ReplicaSpeed::recentTime(SteadyTime now) const
{
    return std::exp(this->longTermLogarithm(now) + this->deviationLogarithm(now));
}

double ReplicaSpeed::usual() const
{
    return std::exp(this->longTerm);
}

bool ReplicaSpeed::isMeasured() const
{
    return this->runCount > 0;
}

SteadyTime ReplicaSpeed::nextChange(SteadyTime now) const
{
    SteadyTime next = SteadyTime::max();
    if (this->deviationLogarithm(now) != 0) {
        next = std::min(next, lastStep(this->measured, now, recentStep) + recentStep);
    }
    if (this->longTermLogarithm(now) != 0) {
        next = std::min(next, lastStep(this->measured + unusedDelay, now, longTermStep) + longTermStep);
    }
    if (this->paceLogarithm(now) != 0) {
        next = std::min(next, lastStep(this->paceReported, now, paceStep) + paceStep);
    }
    return next;
}

} // namespace Dogwoodkeel
