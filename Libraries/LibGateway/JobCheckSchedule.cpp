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
    const auto found = this->checkTimes.find(job);
    if (found != this->checkTimes.end()) {
        this->queue.erase({found->second, job});
        this->checkTimes.erase(found);
    }
}

void JobCheckSchedule::clear()
{
    this->checkTimes.clear();
    this->queue.clear();
}

std::vector<JobId> JobCheckSchedule::popDue(std::size_t maxCount)
{
    const SteadyTime now = this->clock.now();
    std::vector<JobId> due;
    for (const auto &[time, job] : this->queue) {
        if (time > now || due.size() == maxCount) {
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
    this->checkTimes.emplace(job, time);
    this->queue.emplace(time, job);
}

} // namespace Dogwoodkeel
