#pragma once

#include <chrono>
#include <cstdint>

namespace Dogwoodkeel
{

/** Learns the mean cost of a run and the time for which it holds its slot, and converts such a time to work. */
class WorkEstimate
{
public:
    /** @param cost expected work in tokens */
    void recordRun(std::uint32_t cost, std::chrono::nanoseconds holdTime);

    /** @return mean cost in tokens; 0 while unknown. */
    double meanCost() const;

    /** @return the tokens for which a slot is usually held that long; 0 while unknown. */
    double workOf(std::chrono::nanoseconds holdTime) const;

private:
    double cost = 0;
    std::chrono::duration<double> holdTime{0};
};

} // namespace Dogwoodkeel
