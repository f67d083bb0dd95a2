#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace Dogwoodkeel
{

using TimerId = std::uint64_t;

/** Runs actions after a delay, on the task that owns the scheduler. */
class Scheduler
{
public:
    virtual ~Scheduler() = default;

    /**
     * @param delay minimum delay; zero runs the action after the current one
     * @param action runs once
     * @return the id for cancel(), never 0
     */
    virtual TimerId schedule(std::chrono::milliseconds delay, std::function<void()> action) = 0;

    /** @param id id of a timer; ignored if it has run or is unknown */
    virtual void cancel(TimerId id) = 0;
};

} // namespace Dogwoodkeel
