#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace Dogwoodkeel
{

using TimerId = std::uint64_t;

/** Runs actions later, on the task that owns it. */
class Scheduler
{
public:
    virtual ~Scheduler() = default;

    /**
     * @param delay how long to wait, no less; zero runs the action after the current one
     * @param action what to run, once
     * @return an id to cancel it by, never 0
     */
    virtual TimerId schedule(std::chrono::milliseconds delay, std::function<void()> action) = 0;

    /** @param id a timer; one that has run or is unknown is ignored */
    virtual void cancel(TimerId id) = 0;
};

} // namespace Dogwoodkeel
