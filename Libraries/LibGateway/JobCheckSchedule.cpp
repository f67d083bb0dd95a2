#include <LibGateway/JobCheckSchedule.h>

namespace Dogwoodkeel
{

JobCheckSchedule::JobCheckSchedule(const Clock &clock) : clock(clock)
{
}

void JobCheckSchedule::postpone(const JobId &job)
{
    this->remove(job);
    this->schedule(job);
}

void JobCheckSchedule::remove(const JobId &job)
{
    const auto found = this->times.find(job);
    if (found != this->times.end()) {
        this->queue.erase({found->second, job});
        this->times.erase(found);
    }
}

void JobCheckSchedule::clear()
{
    this->times.clear();
    this->queue.clear();
}

std::vector<JobId> JobCheckSchedule::popDue(std::size_t most)
{
    const SteadyTime now = this->clock.now();
    std::vector<JobId> due;
    for (const auto &[time, job] : this->queue) {
        if (time > now || due.size() == most) {
            break;
        }
        due.push_back(job);
    }
    for (const JobId &job : due) {
        this->postpone(job);
    }
    return due;
}

void JobCheckSchedule::schedule(const JobId &job)
{
    const SteadyTime time = this->clock.now() + interval;
    this->times.emplace(job, time);
    this->queue.emplace(time, job);
}

} // namespace Dogwoodkeel
