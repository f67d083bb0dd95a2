#include <LibDispatch/ConcurrencyLimit.h>

#include <algorithm>
#include <cmath>
#include <optional>

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
constexpr double maxInnovation = 0.3;
/** A limit has to improve the ratio of throughput to latency by this factor: less may be scatter. */
constexpr double minImprovement = 1.15;
/** A limit has to keep this share of the greatest throughput measured. */
constexpr double minThroughputShare = 0.9;
/** Number of assumed runs without an effect of the concurrency, so that the first runs of a level do not decide alone. */
constexpr double assumedRuns = 1;
constexpr std::chrono::seconds firstRetryInterval{10};
constexpr std::chrono::seconds maxRetryInterval{300};

} // namespace

void ConcurrencyLimit::recordRun(double relativeTime, std::uint32_t concurrency, SteadyTime now)
{
    if (!(relativeTime > 0) || concurrency == 0) {
        return;
    }
    this->forgetOldLevels(now);
    const std::uint32_t index = std::min(concurrency, maxLevels) - 1;
    if (this->levels.size() <= index) {
        this->levels.resize(index + 1);
    }
    Level &level = this->levels[index];
    const double innovation = std::log(relativeTime) - level.logarithm;
    level.count += 1;
    const bool isFirst = level.count * weight < 1;
    level.logarithm += isFirst ? innovation / level.count : weight * std::clamp(innovation, -maxInnovation, maxInnovation);
    level.measured = now;
    const std::uint32_t best = this->bestConcurrency();
    if (best != 0 && this->limit == 0) {
        const bool isRepeated = best + 1 >= this->formerLimit && best <= this->formerLimit + 1;
        this->retryInterval = isRepeated ? std::min(this->retryInterval * 2, maxRetryInterval) : firstRetryInterval;
    }
    this->limit = best;
    this->formerLimit = best != 0 ? best : this->formerLimit;
}

std::uint32_t ConcurrencyLimit::bestConcurrency() const
{
    // The time per unit of work is taken not to fall with the concurrency, as measurements of single levels scatter.
    struct Point
    {
        std::uint32_t concurrency;
        double throughput;
        double power;
    };
    std::vector<Point> points;
    double time = 0;
    double bestThroughput = 0;
    for (std::size_t index = 0; index < this->levels.size(); ++index) {
        if (this->levels[index].count < minRuns) {
            continue;
        }
        time = std::max(time, std::exp(this->levels[index].logarithm));
        const auto concurrency = static_cast<std::uint32_t>(index + 1);
        points.push_back({concurrency, concurrency / time, concurrency / (time * time)});
        bestThroughput = std::max(bestThroughput, points.back().throughput);
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

void ConcurrencyLimit::forgetOldLevels(SteadyTime now)
{
    if (this->limit == 0) {
        return;
    }
    const auto isAbove = [this](std::size_t index) {
        return index >= this->limit;
    };
    for (std::size_t index = 0; index < this->levels.size(); ++index) {
        Level &level = this->levels[index];
        if (isAbove(index) && level.count > 0 && now - level.measured > this->retryInterval) {
            level = Level();
        }
    }
}

std::uint32_t ConcurrencyLimit::value(std::uint32_t slots) const
{
    return this->limit == 0 ? slots : std::clamp<std::uint32_t>(this->limit, 1, slots);
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
