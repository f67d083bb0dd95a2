#pragma once

#include <LibBase/Clock.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace Dogwoodkeel
{

/**
 * Number of requests that this node had on a replica during the last few seconds. A load report counts requests of all
 * nodes at an earlier moment, so the other nodes' part is the reported number minus this node's own number at that
 * moment. Subtracting the current number would make a burst sent since the report look like a drop of the other nodes'
 * load.
 */
class InFlightHistory
{
public:
    /** Records a change of the number. */
    void record(std::uint32_t inFlight, SteadyTime now);

    /** @return the number at a moment, or the oldest recorded one if the moment is earlier */
    std::uint32_t at(SteadyTime when) const;

private:
    struct Sample
    {
        SteadyTime since{};
        std::uint32_t inFlight = 0;
    };

    static constexpr std::size_t samples = 128;
    /** Changes within this interval share a sample, so the history covers about 3 s at any rate. */
    static constexpr std::chrono::milliseconds resolution{25};

    std::array<Sample, samples> ring{};
    std::size_t newest = 0;
};

} // namespace Dogwoodkeel
