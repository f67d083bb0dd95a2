#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>

#include <algorithm>
#include <map>
#include <utility>

namespace Dogwoodkeel
{

/** A clock and scheduler whose time advances only by explicit calls; for tests and benchmarks of decision logic. */
class ManualClock final : public Clock, public Scheduler
{
public:
    SteadyTime now() const override
    {
        return this->time;
    }

    WallTime wallNow() const override
    {
        return WallTime(std::chrono::duration_cast<WallTime::duration>(this->time.time_since_epoch()));
    }

    TimerId schedule(std::chrono::milliseconds delay, std::function<void()> action) override
    {
        const TimerId id = ++this->lastTimer;
        this->timers.emplace(std::pair(this->time + delay, id), std::move(action));
        this->due.emplace(id, this->time + delay);
        return id;
    }

    void cancel(TimerId id) override
    {
        const auto found = this->due.extract(id);
        if (!found.empty()) {
            this->timers.erase({found.mapped(), id});
        }
    }

    /**
     * Advances time and runs the timers that become due, in order.
     * @param step how far to advance
     */
    void advance(std::chrono::milliseconds step)
    {
        const SteadyTime target = this->time + step;
        while (!this->timers.empty() && this->timers.begin()->first.first <= target) {
            auto entry = this->timers.extract(this->timers.begin());
            this->due.erase(entry.key().second);
            this->time = std::max(this->time, entry.key().first);
            entry.mapped()();
        }
        this->time = target;
    }

    /** Advances time without running the timers that become due, as for a process that was paused. */
    void jump(std::chrono::milliseconds step)
    {
        this->time += step;
    }

private:
    SteadyTime time = SteadyTime(std::chrono::hours(1));
    TimerId lastTimer = 0;
    std::map<std::pair<SteadyTime, TimerId>, std::function<void()>> timers;
    /** Due time of each timer by its id. */
    std::map<TimerId, SteadyTime> due;
};

} // namespace Dogwoodkeel
