#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstdint>

namespace Dogwoodkeel
{

/**
 * Bounds how many log lines are written in a second. Under load each request brings lines; without a bound writing them
 * takes the processor from the requests. Grave lines have a share of their own, so that a flood of others does not hide them.
 */
class LogGate
{
public:
    /** Whether a line is one of many or needs a look. */
    enum class Weight {
        Ordinary,
        Grave,
    };

    /** How many lines a second of each weight are let through. */
    struct Limits
    {
        std::uint32_t ordinary = 300;
        std::uint32_t grave = 100;
    };

    LogGate(const Clock &clock, Limits limits);

    /** @return whether a line may be written now. */
    bool admit(Weight weight);

    /** A line that was let through could not be written without waiting. */
    void noteBlocked();

    /** @return lines that were left out since the last call. */
    std::uint64_t takeDropped();

private:
    const Clock &clock;
    Limits limits;
    SteadyTime second{};
    std::uint32_t ordinary = 0;
    std::uint32_t grave = 0;
    std::uint64_t dropped = 0;
};

} // namespace Dogwoodkeel
