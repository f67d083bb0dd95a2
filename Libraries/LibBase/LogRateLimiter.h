#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstdint>

namespace Dogwoodkeel
{

/**
 * Limits how many log lines are written in a second. Under load each request brings lines; without a limit writing them
 * takes processor time from the requests. Urgent lines have a separate limit, so that a flood of others does not hide them.
 */
class LogRateLimiter
{
public:
    /** Selects the limit that applies to a line. */
    enum class Priority {
        Ordinary,
        Urgent,
    };

    /** Lines per second that are admitted for each priority. */
    struct Limits
    {
        std::uint32_t ordinary = 300;
        std::uint32_t urgent = 100;
    };

    LogRateLimiter(const Clock &clock, Limits limits);

    /** @return whether a line may be written now. */
    bool admit(Priority priority);

    /** Counts an admitted line as dropped because writing it would have blocked. */
    void recordBlocked();

    /** @return the number of lines dropped since the last call. */
    std::uint64_t takeDropped();

private:
    const Clock &clock;
    Limits limits;
    SteadyTime windowStart{};
    std::uint32_t ordinary = 0;
    std::uint32_t urgent = 0;
    std::uint64_t dropped = 0;
};

} // namespace Dogwoodkeel
