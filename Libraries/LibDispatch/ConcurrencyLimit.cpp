#include <LibDispatch/ConcurrencyLimit.h>

#include <algorithm>
#include <cmath>

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
    double time = -1;
    double bestPower = 0;
    double fullPower = 0;
    std::uint32_t best = 0;
    for (std::size_t index = 0; index < this->levels.size(); ++index) {
        const Level &level = this->levels[index];
        if (level.count < minRuns) {
            continue;
        }
        time = time < 0 ? std::exp(level.logarithm) : std::max(time, std::exp(level.logarithm));
        const auto concurrency = static_cast<std::uint32_t>(index + 1);
        fullPower = concurrency / (time * time);
        if (fullPower >= bestPower) {
            bestPower = fullPower;
            best = concurrency;
        }
    }
    return bestPower > fullPower * minImprovement ? best : 0;
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

double ConcurrencyLimit::slowdown() const
{
    double first = -1;
    double last = -1;
    for (std::size_t index = 0; index < this->levels.size(); ++index) {
        const bool isWithinLimit = this->limit == 0 || index < this->limit;
        if (this->levels[index].count < minRuns || !isWithinLimit) {
            continue;
        }
        first = first < 0 ? this->levels[index].logarithm : first;
        last = this->levels[index].logarithm;
    }
    return first < 0 ? 0 : std::max(std::exp(last - first) - 1, 0.0);
}

} // namespace Dogwoodkeel
