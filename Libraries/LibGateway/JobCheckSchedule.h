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
 * When the open jobs are looked at again: each some time after its row was last read or it was last looked at. A job whose row
 * changes all the time is at work and needs no look.
 */
class JobLooks
{
public:
    /** How long a row stands still before its job is looked at. */
    static constexpr std::chrono::seconds interval{2};

    explicit JobLooks(const Clock &clock);

    /** The row of an open job was read. */
    void noteRow(const JobId &job);

    /** A job is not open any more. */
    void forget(const JobId &job);

    /** No job is known any more. */
    void clear();

    /** @return the jobs to look at now, those that have waited longest first; at most so many. */
    std::vector<JobId> takeDue(std::size_t most);

private:
    void schedule(const JobId &job);

    const Clock &clock;
    std::map<JobId, SteadyTime> times;
    std::set<std::pair<SteadyTime, JobId>> queue;
};

} // namespace Dogwoodkeel
