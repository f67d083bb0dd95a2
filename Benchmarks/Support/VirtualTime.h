#pragma once

#include <LibBase/Clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace Dogwoodkeel
{

/** A clock for simulations: its time advances from one scheduled event to the next. */
class VirtualTime final : public Clock
{
public:
    SteadyTime now() const override
    {
        return this->time;
    }

    WallTime wallNow() const override
    {
        return {};
    }

    /** Schedules an action; actions that are due at the same time run in the order of the calls. */
    void after(std::chrono::duration<double> delay, std::function<void()> action)
    {
        const auto when = this->time + std::chrono::duration_cast<SteadyTime::duration>(delay);
        this->events.emplace(std::pair(when, ++this->count), std::move(action));
    }

    /** Runs the actions that are due until a time. At least one action must be scheduled after it. */
    void runUntil(SteadyTime end)
    {
        while (this->events.begin()->first.first <= end) {
            auto next = this->events.extract(this->events.begin());
            this->time = next.key().first;
            next.mapped()();
        }
    }

private:
    SteadyTime time = SteadyTime(std::chrono::hours(1));
    std::uint64_t count = 0;
    std::map<std::pair<SteadyTime, std::uint64_t>, std::function<void()>> events;
};

} // namespace Dogwoodkeel
