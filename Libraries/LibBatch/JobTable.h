#pragma once

#include <LibBase/Clock.h>
#include <LibBatch/Job.h>
#include <LibWire/Generated/Messages.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/** What the schedule needs to know of a job. */
struct JobDemand
{
    JobId jobId;
    std::string model;
    WorkspaceName tenant;
    WallTime due{};
    /** Items without a result; 0 once the job has ended. */
    std::uint32_t remaining = 0;
    /** Items that may be leased now. */
    std::uint32_t waiting = 0;
};

/** Items that were leased together. They stand in one object. */
struct LeasedItems
{
    JobId jobId;
    ItemSpan span;
};

/**
 * The batch jobs of one shard. Decides; the owner task journals, answers, reads the items' objects and moves results.
 */
class JobTable
{
public:
    /** How long a job found in a journal hands out nothing, so that its items' runners can tell what they hold. */
    static constexpr std::chrono::milliseconds defaultHold{2000};

    /**
     * @param clock measures the items' leases
     * @param itemLease how long a lane may keep an item without renewing
     * @param takeoverHold see defaultHold
     */
    JobTable(const Clock &clock, std::chrono::milliseconds itemLease, std::chrono::milliseconds takeoverHold = defaultHold);

    /** What to do with a submission: Accepted with isNew means that it is to be journalled. */
    struct Submission
    {
        SubmitDecision decision = SubmitDecision::Unavailable;
        bool isNew = false;
    };
    Submission submit(const JobRecord &job);

    /** A job, an item's result, a moved page or a cancellation is durable, or was found in a journal. */
    void apply(const JobRecord &job);
    void apply(const ItemRecord &item);
    void apply(const PageRecord &page);
    void apply(const CancelRecord &cancel);

    /**
     * Lease items of one job to a lane.
     * @param limit how many at most
     * @param runner the lane's holder
     */
    std::optional<LeasedItems> lease(const JobId &id, std::uint32_t limit, SessionNumber runner);

    /** An item waits again: it could not be read, or its runner gave it back. */
    void returnItem(const JobId &id, std::uint32_t index, SessionNumber runner);

    ItemVerdict commit(const ItemRecord &result);

    /**
     * Keep a runner's leases on a job.
     * @param lost gets the items that it is not to run on
     * @return whether its other items may go on
     */
    bool renew(const HeldItems &held, SessionNumber runner, std::vector<ItemSpan> &lost);

    /** A runner is gone for good: what it held waits again. */
    void removeRunner(SessionNumber runner);

    /** Take back leases that have ended, and let go of jobs that were held after a takeover. */
    void expire();

    /** @return jobs whose demand may have changed since the last call. */
    std::vector<JobDemand> drainChanged();

    /** @return results to move to an object now: a whole page, or a part of one if memory is short. */
    std::optional<PageDraft> nextDraft(std::size_t memoryBound);

    /** A draft could not be written; it is drafted again later. */
    void discardDraft(const PageDraft &draft);

    /** @return a draft's record: to be journalled when the object is written. */
    PageRecord recordOf(const PageDraft &draft, std::string objectKey) const;

    /** @return where a job stands now. */
    JobDemand demand(const JobId &id) const;

    const Job *find(const JobId &id) const;
    JobProgress progress(const JobId &id) const;

    /** @return up to limit jobs of a tenant, the newest first. */
    std::vector<ListedJob> list(const WorkspaceName &tenant, std::size_t limit) const;

    /** Mark a job as warned of. @return whether it was not yet */
    bool markWarned(const JobId &id);

    /** @return items that wait to be leased, over all jobs. */
    std::size_t waiting() const;

    std::size_t size() const;

    /** @return bytes of results in memory. */
    std::size_t resultBytes() const;

    /** @return the records that bring back this state, for a checkpoint: kind and encoded record. */
    std::vector<std::pair<RecordKind, std::string>> checkpointRecords() const;

private:
    void markChanged(Job &job);
    std::optional<PageDraft> draftIncompletePage();

    const Clock &clock;
    std::chrono::milliseconds itemLease;
    std::chrono::milliseconds takeoverHold;
    std::unordered_map<JobId, Job> jobs;
    /** Jobs with leases out, or held after a takeover: the only ones that time changes. */
    std::set<JobId> timed;
    std::set<JobId> dirty;
    std::size_t waitingItems = 0;
    std::size_t bytesOfResults = 0;
    std::deque<std::pair<JobId, std::uint32_t>> completePages;
    /** Jobs with results in memory. */
    std::set<JobId> withResults;
};

} // namespace Dogwoodkeel
