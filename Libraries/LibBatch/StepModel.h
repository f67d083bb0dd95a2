#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace Dogwoodkeel
{

/**
 * Models how the time per token of an engine grows with its number of concurrent streams: a linear regression over the token gaps
 * of batch streams, weighted towards the newest. Batch streams serve as probes for the online streams on the same engine.
 */
class StepModel
{
public:
    /** Records that a stream received a token. @param streams number of concurrent streams, including this one */
    void observe(std::chrono::nanoseconds gap, std::uint32_t streams);

    /**
     * @param online number of online streams on the engine
     * @param slowdown tolerated relative increase of their time per token; 0.1 is 10 percent
     * @return max number of streams in total, or nothing until there are enough samples
     */
    std::optional<std::uint32_t> maxStreams(std::uint32_t online, double slowdown) const;

    /** @return mean time per token; zero until it is known. */
    std::chrono::nanoseconds meanStep() const;

private:
    double minTimePerStream() const;

    double weight = 0;
    double meanStreams = 0;
    double meanGap = 0;
    double varianceStreams = 0;
    double varianceGap = 0;
    double covariance = 0;
};

} // namespace Dogwoodkeel
