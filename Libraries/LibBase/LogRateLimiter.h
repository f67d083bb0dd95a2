#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstdint>

namespace Dogwoodkeel
{

/**
 * Limits how many log lines are written per second. Every request writes lines; without a limit, logging under load would
 * use processor time that the requests need. High-priority lines have a separate limit, so that normal lines cannot
 * displace them.
 */
class LogRateLimiter
{
public:
    /** Selects the limit that applies to a line. */
    enum class Priority {
        Normal,
        High,
    };

    /** Lines per second that are admitted for each priority. */
    struct Limits
    {
        std::uint32_t normalLines = 300;
        std::uint32_t highPriorityLines = 100;
    };

    LogRateLimiter(const Clock &clock, Limits limits);

    /** @return whether a line may be written now. */
    bool admit(Priority priority);

    /** Counts an admitted line as dropped because writing it would have blocked. */
    void recordBlocked();

    /** @return the number of lines dropped since the last call. */
    std::uint64_t resetDropped();

private:
    const Clock &clock;
    Limits limits;
    SteadyTime windowStart{};
    std::uint32_t normalLines = 0;
    std::uint32_t highPriorityLines = 0;
    std::uint64_t dropped = 0;
};

} // namespace Dogwoodkeel
