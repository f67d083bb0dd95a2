#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace Dogwoodkeel
{

/**
 * How an engine's time per token grows with the streams beside it: a line through what batch streams see there, the newest
 * weighing most. A batch stream is a probe for what online streams on the same engine feel.
 */
class StepModel
{
public:
    /** A stream got a token. @param streams that ran beside it, itself included */
    void observe(std::chrono::nanoseconds gap, std::uint32_t streams);

    /**
     * @param online online streams there
     * @param slowdown how much longer their time per token may get, 0.1 for a tenth
     * @return streams that may run in all, or nothing while too little is known
     */
    std::optional<std::uint32_t> maxStreams(std::uint32_t online, double slowdown) const;

    /** @return the mean time per token; zero while nothing is known. */
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
