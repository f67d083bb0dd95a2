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
class LogGate
{
public:
    /** Selects the limit that applies to a line. */
    enum class Weight {
        Ordinary,
        Grave,
    };

    /** Lines per second that are admitted for each priority. */
    struct Limits
    {
        std::uint32_t ordinary = 300;
        std::uint32_t grave = 100;
    };

    LogGate(const Clock &clock, Limits limits);

    /** @return whether a line may be written now. */
    bool admit(Weight weight);

    /** Counts an admitted line as dropped because writing it would have blocked. */
    void noteBlocked();

    /** @return the number of lines dropped since the last call. */
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
