#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Schedules the periodic checks of open jobs. A job is due one interval after its row was last read or it was last checked.
 * A job whose row keeps changing makes progress and needs no check.
 */
class JobCheckSchedule
{
public:
    /** How long the row of a job stays unchanged before the job is checked. */
    static constexpr std::chrono::seconds interval{2};

    explicit JobCheckSchedule(const Clock &clock);

    /** Schedules the check of an open job one interval from now, as its row was read. */
    void postpone(const JobId &job);

    /** Removes a job that is no longer open. */
    void remove(const JobId &job);

    /** Removes all jobs. */
    void clear();

    /**
     * Returns the jobs whose check is due, longest overdue first, and schedules their next checks.
     * @param maxCount maximum number of jobs
     */
    std::vector<JobId> popDue(std::size_t maxCount);

private:
    void schedule(const JobId &job);

    const Clock &clock;
    std::map<JobId, SteadyTime> checkTimes;
    std::set<std::pair<SteadyTime, JobId>> queue;
};

} // namespace Dogwoodkeel
