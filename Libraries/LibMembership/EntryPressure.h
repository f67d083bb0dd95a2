#pragma once

#include <chrono>
#include <cstdint>

namespace Dogwoodkeel
{

/**
 * Tells from the delay of messages to the entry task whether it keeps up. A task whose messages wait cannot take more
 * callers, whatever its requests are doing. Slow to change, since each change moves callers.
 */
class EntryPressure
{
public:
    /**
     * @param delay from posting a message to its being run
     * @return the pressure from now on, in percent; 100 is overloaded
     */
    std::uint32_t observe(std::chrono::nanoseconds delay);

private:
    std::uint32_t slowInARow = 0;
    std::uint32_t quickInARow = 0;
    std::uint32_t pressure = 0;
};

} // namespace Dogwoodkeel
