#pragma once

#include <LibBase/SystemClock.h>

#include <chrono>

namespace Dogwoodkeel
{

/** The system clocks, with a steady time that a test can move forward. */
class ShiftedClock final : public Clock
{
public:
    SteadyTime now() const override
    {
        return this->system.now() + this->offset;
    }

    WallTime wallNow() const override
    {
        return this->system.wallNow();
    }

    /** Moves the steady time forward. Timers of the event loop are not affected. */
    void shift(std::chrono::seconds forward)
    {
        this->offset += forward;
    }

private:
    SystemClock system;
    std::chrono::seconds offset{0};
};

} // namespace Dogwoodkeel
