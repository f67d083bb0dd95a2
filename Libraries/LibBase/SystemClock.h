#pragma once

#include <LibBase/Clock.h>

namespace Dogwoodkeel
{

/** The machine's own clocks. */
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
};

} // namespace Dogwoodkeel
