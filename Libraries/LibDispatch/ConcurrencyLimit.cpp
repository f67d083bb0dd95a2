#include <LibDispatch/ConcurrencyLimit.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Higher concurrencies share one level. */
constexpr std::uint32_t maxLevels = 64;
/** Weight of one run in the estimate of its level; about the last twenty count. */
constexpr double weight = 0.05;
/** Runs after which the estimate of a level is used. */
constexpr double minRuns = 8;
/** Maximum difference that one run counts with, as a logarithm: some runs are disturbed by others on the same machine. */
constexpr double maxInnovation = 0.15;
/**
 * Time constant of a replica's own time, with which its levels are compared. Longer than a burst, so that the effect of the load
 * is not taken for a change of speed; short, so that a change of speed is not taken for an effect of the load.
 */
constexpr std::chrono::duration<double> baselineTimeConstant{30};
/** A limit has to improve the ratio of throughput to latency by this factor: less may be scatter. */
constexpr double minImprovement = 1.3;
/** A limit has to keep this share of the greatest throughput measured. */
constexpr double minThroughputShare = 0.9;
/** Number of assumed runs without an effect of the concurrency, so that the first runs of a level do not decide alone. */
constexpr double assumedRuns = 1;
constexpr std::chrono::seconds firstTrialInterval{10};
constexpr std::chrono::seconds maxTrialInterval{320};
/** By then a replica that is in use has finished the runs that exceed the tried concurrency, and enough others. */
constexpr std::chrono::seconds maxTrialTime{8};
/** A replica that has run more than half of its slots for this long is reduced for a trial; bursts end sooner. */
constexpr std::chrono::seconds reductionDelay{60};

} // namespace

void ConcurrencyLimit::recordRun(double relativeTime, std::uint32_t concurrency, const Bounds &bounds, SteadyTime now)
{
    if (!(relativeTime > 0) || concurrency == 0) {
        return;
    }
    this->updateLevel(std::log(relativeTime), std::min(concurrency, maxLevels), now);
    if (this->trial == 0) {
        const std::uint32_t former = std::exchange(this->limit, this->bestConcurrency());
        if (this->limit != former) {
            this->trialInterval = firstTrialInterval;
            this->nextTrial = now + this->trialInterval;
        }
        this->startTrial(concurrency, bounds, now);
        return;
    }
    const bool isRaised = this->trial > this->limit && this->limit != 0;
    const bool isMeasured = isRaised ? this->trial <= this->levels.size() && this->levels[this->trial - 1].count >= minRuns
                                     : this->isMeasuredUpTo(this->trial);
    if (isMeasured) {
        this->endTrial(now);
    } else {
        this->endTrialAfterTimeout(now);
    }
}

void ConcurrencyLimit::updateLevel(double value, std::uint32_t concurrency, SteadyTime now)
{
    if (this->levels.size() < concurrency) {
        this->levels.resize(concurrency);
    }
    this->baseline = this->runCount == 0 ? value : this->baseline;
    Level &level = this->levels[concurrency - 1];
    const double innovation = value - this->baseline - level.logarithm;
    level.count += 1;
    const bool isFirst = level.count * weight < 1;
    level.logarithm += isFirst ? innovation / level.count : weight * std::clamp(innovation, -maxInnovation, maxInnovation);
    const double aged = 1 - std::exp(-std::max((now - this->measured) / baselineTimeConstant, 0.0));
    this->runCount += 1;
    // While there is a limit, higher concurrencies are not measured; a baseline that moved would leave them behind.
    if (this->limit == 0) {
        const double remainder = value - std::log(this->factor(concurrency)) - this->baseline;
        this->baseline += std::max(aged, 1 / this->runCount) * remainder;
    }
    this->measured = now;
}

void ConcurrencyLimit::startTrial(std::uint32_t concurrency, const Bounds &bounds, SteadyTime now)
{
    if (this->trialInterval.count() == 0) {
        this->trialInterval = firstTrialInterval;
        this->nextTrial = now + this->trialInterval;
        this->lastHalfUsed = now;
    }
    const std::uint32_t half = bounds.slots / 2;
    this->lastHalfUsed = concurrency <= half ? now : this->lastHalfUsed;
    if (now < this->nextTrial) {
        return;
    }
    const bool isAlwaysBusy = now - this->lastHalfUsed >= reductionDelay;
    if (this->limit != 0 && this->limit < bounds.slots) {
        this->trial = this->limit + 1;
        if (this->limit < this->levels.size()) {
            this->levels[this->limit] = Level();
        }
    } else if (this->limit == 0 && bounds.mayReduce && half > 0 && isAlwaysBusy && !this->isMeasuredUpTo(half)) {
        this->trial = half;
    }
    this->trialEnd = now + maxTrialTime;
}

void ConcurrencyLimit::endTrialAfterTimeout(SteadyTime now)
{
    if (this->trial != 0 && now >= this->trialEnd) {
        this->endTrial(now);
    }
}

void ConcurrencyLimit::endTrial(SteadyTime now)
{
    this->trial = 0;
    const std::uint32_t best = this->bestConcurrency();
    this->trialInterval = best == this->limit ? std::min(this->trialInterval * 2, maxTrialInterval) : firstTrialInterval;
    // A limit that could be raised is raised further at once.
    this->nextTrial = best > this->limit && this->limit != 0 ? now : now + this->trialInterval;
    this->limit = best;
}

bool ConcurrencyLimit::isMeasuredUpTo(std::uint32_t concurrency) const
{
    const auto count = static_cast<std::ptrdiff_t>(std::min<std::size_t>(concurrency, this->levels.size()));
    return std::any_of(this->levels.begin(), this->levels.begin() + count, [](const Level &level) {
        return level.count >= minRuns;
    });
}

std::uint32_t ConcurrencyLimit::bestConcurrency() const
{
    // The time per unit of work is taken not to fall with the concurrency, as measurements of single levels scatter. Levels with
    // few runs count together. A level that is not measured is taken to be as good as the one below it; if it is selected, it is
    // measured soon.
    struct Point
    {
        std::uint32_t concurrency;
        double throughput;
        double power;
    };
    std::vector<Point> points;
    double time = 0;
    double bestThroughput = 0;
    std::size_t measuredPoints = 0;
    Level pool;
    for (std::size_t index = 0; index < this->levels.size(); ++index) {
        const Level &level = this->levels[index];
        pool.logarithm += level.logarithm * level.count;
        pool.count += level.count;
        const bool isMeasured = level.count > 0 && pool.count >= minRuns;
        if (isMeasured) {
            time = std::max(time, std::exp(pool.logarithm / pool.count));
            pool = Level();
        }
        if (time > 0) {
            const auto concurrency = static_cast<std::uint32_t>(index + 1);
            points.push_back({concurrency, concurrency / time, concurrency / (time * time)});
            measuredPoints = isMeasured ? points.size() : measuredPoints;
        }
    }
    points.resize(measuredPoints);
    for (const Point &point : points) {
        bestThroughput = std::max(bestThroughput, point.throughput);
    }
    double bestPower = 0;
    std::uint32_t best = 0;
    for (const Point &point : points) {
        if (point.throughput >= bestThroughput * minThroughputShare && point.power >= bestPower) {
            bestPower = point.power;
            best = point.concurrency;
        }
    }
    return !points.empty() && bestPower > points.back().power * minImprovement ? best : 0;
}

std::uint32_t ConcurrencyLimit::value(std::uint32_t slots) const
{
    const std::uint32_t allowed = this->trial != 0 ? this->trial : this->limit;
    return allowed == 0 ? slots : std::clamp<std::uint32_t>(allowed, 1, slots);
}

bool ConcurrencyLimit::isReducedForTrial() const
{
    return this->trial != 0 && this->limit == 0;
}

std::uint32_t ConcurrencyLimit::learnedLimit() const
{
    return this->limit;
}

double ConcurrencyLimit::factor(std::uint32_t concurrency) const
{
    std::optional<double> least;
    double greatest = 0;
    const std::size_t end = std::min<std::size_t>(this->levels.size(), std::min(concurrency, maxLevels));
    for (std::size_t index = 0; index < end; ++index) {
        const Level &level = this->levels[index];
        if (level.count > 0) {
            const double logarithm = level.logarithm * level.count / (level.count + assumedRuns);
            least = least.value_or(logarithm);
            greatest = std::max(greatest, logarithm - *least);
        }
    }
    return std::exp(greatest);
}

double ConcurrencyLimit::slowdown() const
{
    return this->factor(this->limit == 0 ? maxLevels : this->limit) - 1;
}

} // namespace Dogwoodkeel
