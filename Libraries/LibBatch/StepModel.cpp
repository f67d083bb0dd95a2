#include <LibBatch/StepModel.h>

#include <algorithm>
#include <cmath>

namespace Dogwoodkeel
{

namespace
{

/** Weight of the newest token once enough are known. */
constexpr double newestWeight = 0.002;
constexpr double minSamples = 200;
/** Without some spread in the number of streams the line could have any slope. */
constexpr double minVariance = 0.25;
/** A gap longer than this many times the mean is the machine's or a prefill's doing, and counts as that. */
constexpr double maxGapFactor = 3;
/** How far below the estimate the slope is taken. */
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
    // Streams that run beside each other get their tokens in the same steps, which makes them one sample.
    const double steps = std::max(this->weight / std::max(this->meanStreams, 1.0), 1.0);
    return slope - standardErrors * std::sqrt(unexplained / (this->varianceStreams * steps));
}

std::optional<std::uint32_t> StepModel::maxStreams(std::uint32_t online, double slowdown) const
{
    if (this->weight < minSamples || this->varianceStreams < minVariance) {
        return std::nullopt;
    }
    // The least slope that the tokens seen leave likely: a noisy machine must not keep items out for no reason.
    const double perStream = this->minTimePerStream();
    if (perStream <= 0) {
        return std::nullopt;
    }
    const double alone = std::max(this->meanGap - perStream * this->meanStreams, 0.0);
    const double allowed = (1 + slowdown) * (alone + perStream * online);
    return static_cast<std::uint32_t>(std::max((allowed - alone) / perStream, static_cast<double>(online)));
}

} // namespace Dogwoodkeel
