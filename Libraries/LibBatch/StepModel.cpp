#include <LibBatch/StepModel.h>

#include <algorithm>
#include <cmath>

namespace Dogwoodkeel
{

namespace
{

/** Weight of the newest sample once there are enough samples. */
constexpr double newestWeight = 0.002;
constexpr double minSamples = 200;
/** Min variance of the number of streams; below it the slope of the regression is undetermined. */
constexpr double minVariance = 0.25;
/** Gaps are limited to this multiple of the mean: longer ones come from the machine or a prefill. */
constexpr double maxGapFactor = 3;
/** Number of standard errors by which the slope is lowered. */
constexpr double standardErrors = 2;

} // namespace

void StepModel::observe(std::chrono::nanoseconds gap, std::uint32_t streams)
{
    this->weight = std::min(this->weight + 1, 1 / newestWeight);
    const double share = 1 / this->weight;
    double seconds = std::chrono::duration<double>(gap).count();
    if (this->weight > minSamples) {
        seconds = std::min(seconds, this->meanGap * maxGapFactor);
    }
    const double fromStreams = streams - this->meanStreams;
    const double fromGap = seconds - this->meanGap;
    this->meanStreams += share * fromStreams;
    this->meanGap += share * fromGap;
    this->varianceStreams = (1 - share) * (this->varianceStreams + share * fromStreams * fromStreams);
    this->varianceGap = (1 - share) * (this->varianceGap + share * fromGap * fromGap);
    this->covariance = (1 - share) * (this->covariance + share * fromStreams * fromGap);
}

std::chrono::nanoseconds StepModel::meanStep() const
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(this->meanGap));
}

double StepModel::minTimePerStream() const
{
    const double slope = this->covariance / this->varianceStreams;
    const double unexplained = std::max(this->varianceGap - slope * this->covariance, 0.0);
    // Concurrent streams receive their tokens in the same steps, so they count as one sample.
    const double steps = std::max(this->weight / std::max(this->meanStreams, 1.0), 1.0);
    return slope - standardErrors * std::sqrt(unexplained / (this->varianceStreams * steps));
}

std::optional<std::uint32_t> StepModel::maxStreams(std::uint32_t online, double slowdown) const
{
    if (this->weight < minSamples || this->varianceStreams < minVariance) {
        return std::nullopt;
    }
    // Uses the lower confidence bound of the slope, so that noise does not keep items out without need.
    const double perStream = this->minTimePerStream();
    if (perStream <= 0) {
        return std::nullopt;
    }
    const double alone = std::max(this->meanGap - perStream * this->meanStreams, 0.0);
    const double allowed = (1 + slowdown) * (alone + perStream * online);
    return static_cast<std::uint32_t>(std::max((allowed - alone) / perStream, static_cast<double>(online)));
}

} // namespace Dogwoodkeel
