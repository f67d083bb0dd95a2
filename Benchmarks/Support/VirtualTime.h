#pragma once

#include <LibBase/Clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace Dogwoodkeel
{

/** Time that goes from event to event. */
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

    /** Run an action later; actions of one moment run in the order of the calls. */
    void after(std::chrono::duration<double> delay, std::function<void()> action)
    {
        const auto when = this->time + std::chrono::duration_cast<SteadyTime::duration>(delay);
        this->events.emplace(std::pair(when, ++this->count), std::move(action));
    }

    /** Run what falls due, and stop at a moment. Something has to fall due behind it. */
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
