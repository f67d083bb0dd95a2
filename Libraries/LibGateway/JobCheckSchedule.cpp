#include <LibGateway/JobCheckSchedule.h>

namespace Dogwoodkeel
{

JobLooks::JobLooks(const Clock &clock) : clock(clock)
{
}

void JobLooks::noteRow(const JobId &job)
{
    this->forget(job);
    this->schedule(job);
}

void JobLooks::forget(const JobId &job)
{
    const auto found = this->times.find(job);
    if (found != this->times.end()) {
        this->queue.erase({found->second, job});
        this->times.erase(found);
    }
}

void JobLooks::clear()
{
    this->times.clear();
    this->queue.clear();
}

std::vector<JobId> JobLooks::takeDue(std::size_t most)
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
        this->noteRow(job);
    }
    return due;
}

void JobLooks::schedule(const JobId &job)
{
    const SteadyTime time = this->clock.now() + interval;
    this->times.emplace(job, time);
    this->queue.emplace(time, job);
}

} // namespace Dogwoodkeel
