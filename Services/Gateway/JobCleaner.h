#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>
#include <LibGateway/JobRows.h>
#include <LibPlatform/RowStore.h>
#include <LibPlatform/StoreClock.h>

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Removes the rows of jobs whose retention has ended, so that the store does not fill up. */
class JobCleaner
{
public:
    struct Hooks
    {
        /** @return whether this node is the coordinator that removes old jobs. */
        std::function<bool()> isCoordinator;
        /** @return whether a job has items without a result. */
        std::function<bool(const JobId &)> isOpen;
    };

    /** @param retention how long a job is kept after its submission */
    JobCleaner(
        Scheduler &scheduler, const StoreClock &storeClock, RowStore &store, std::chrono::milliseconds retention, Hooks hooks);
    ~JobCleaner();
    JobCleaner(const JobCleaner &) = delete;
    JobCleaner &operator=(const JobCleaner &) = delete;

private:
    void check();
    void list(const std::string &after);
    void examineNext();
    void examine(const JobId &job);
    void remove(const JobId &job);
    void removeRows(const JobId &job, const std::vector<StoredRow> &rows);
    bool isExpired(StoreTime submitted) const;

    Scheduler &scheduler;
    const StoreClock &storeClock;
    RowStore &store;
    std::chrono::milliseconds retention;
    Hooks hooks;
    /** Submission time of each closed job, from its head row; the head of a closed job is read once. */
    std::map<JobId, StoreTime> submitted;
    std::deque<JobId> waiting;
    TimerId timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
