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

/** Removes the rows of jobs that nobody may want to read any more; without it the store would fill up. */
class JobCleaner
{
public:
    struct Hooks
    {
        /** @return whether this node is the one that cleans now. */
        std::function<bool()> isOurDuty;
        /** @return whether a job has items without a result. */
        std::function<bool(const JobId &)> isOpen;
    };

    /** @param kept how long after its submission a job is kept */
    JobCleaner(Scheduler &scheduler, const StoreClock &storeClock, RowStore &store, std::chrono::milliseconds kept, Hooks hooks);
    ~JobCleaner();
    JobCleaner(const JobCleaner &) = delete;
    JobCleaner &operator=(const JobCleaner &) = delete;

private:
    void look();
    void list(const std::string &after);
    void examineNext();
    void examine(const JobId &job);
    void remove(const JobId &job);
    void removeRows(const JobId &job, const std::vector<StoredRow> &rows);
    bool isOver(StoreTime submitted) const;

    Scheduler &scheduler;
    const StoreClock &storeClock;
    RowStore &store;
    std::chrono::milliseconds kept;
    Hooks hooks;
    /** When each job was submitted, as its head said; heads are read once. */
    std::map<JobId, StoreTime> submitted;
    std::deque<JobId> waiting;
    TimerId timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
