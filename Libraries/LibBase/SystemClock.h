#pragma once

#include <LibBase/Clock.h>

#include <ctime>

namespace Dogwoodkeel
{

/** Reads the clocks of the operating system. */
class SystemClock final : public Clock
{
public:
    SteadyTime now() const override
    {
        return std::chrono::steady_clock::now();
    }

    WallTime wallNow() const override
    {
        return std::chrono::system_clock::now();
    }

    std::chrono::nanoseconds suspended() const override
    {
        return read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC);
    }

private:
    static std::chrono::nanoseconds read(clockid_t clock)
    {
        timespec time{};
        ::clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }
};

} // namespace Dogwoodkeel
