#pragma once

#include <chrono>
#include <cstdint>

namespace Dogwoodkeel
{

/**
 * Detects overload of the entry task from the queueing delay of its messages. A task whose messages wait cannot accept more
 * callers, whatever the state of its requests. The pressure changes slowly, because each change moves callers.
 */
class EntryPressure
{
public:
    /**
     * @param delay time from posting a message until it runs
     * @return the new pressure in percent; 100 is overloaded
     */
    std::uint32_t observe(std::chrono::nanoseconds delay);

private:
    std::uint32_t consecutiveSlow = 0;
    std::uint32_t consecutiveFast = 0;
    std::uint32_t pressure = 0;
};

} // namespace Dogwoodkeel
