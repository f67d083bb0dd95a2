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

/** State of a job that the schedule depends on. */
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

/** Items that were leased together; all are in one object. */
struct LeasedItems
{
    JobId jobId;
    ItemSpan span;
};

/**
 * Holds the batch jobs of one shard and decides on their items. The owner task does the I/O: it journals, answers, reads the
 * objects of the items and moves results.
 */
class JobTable
{
public:
    /** How long a job restored from a journal leases out nothing, so that runners can report the items they hold. */
    static constexpr std::chrono::milliseconds defaultHold{2000};

    /**
     * @param clock measures the leases of items
     * @param itemLease how long a lane may keep an item without renewing
     * @param takeoverHold see defaultHold
     */
    JobTable(const Clock &clock, std::chrono::milliseconds itemLease, std::chrono::milliseconds takeoverHold = defaultHold);

    /** Decision on a submission. Accepted with isNew: the owner journals the job. */
    struct Submission
    {
        SubmitDecision decision = SubmitDecision::Unavailable;
        bool isNew = false;
    };
    Submission submit(const JobRecord &job);

    /** Applies a job, a result, a moved page or a cancellation that is durable or was read from a journal. */
    void apply(const JobRecord &job);
    void apply(const ItemRecord &item);
    void apply(const PageRecord &page);
    void apply(const CancelRecord &cancel);

    /**
     * Leases items of one job to a lane.
     * @param limit max number of items
     * @param runner node that holds the lane
     */
    std::optional<LeasedItems> lease(const JobId &id, std::uint32_t limit, SessionNumber runner);

    /** Makes an item wait again because it could not be read or its runner returned it. */
    void returnItem(const JobId &id, std::uint32_t index, SessionNumber runner);

    ItemVerdict commit(const ItemRecord &result);

    /**
     * Extends the leases of a runner on items of a job.
     * @param lost receives the items that the runner must stop
     * @return whether its other items may continue
     */
    bool renew(const HeldItems &held, SessionNumber runner, std::vector<ItemSpan> &lost);

    /** Removes a runner that has departed; its leased items wait again. */
    void removeRunner(SessionNumber runner);

    /** Ends expired leases, and the hold of jobs after a takeover. */
    void expire();

    /** @return demands of the jobs that may have changed since the last call. */
    std::vector<JobDemand> drainChanged();

    /** @return results to move to an object now: a complete page, or an incomplete one if the results exceed memoryBound. */
    std::optional<PageDraft> nextDraft(std::size_t memoryBound);

    /** Reverts a draft that could not be written; its page is drafted again later. */
    void discardDraft(const PageDraft &draft);

    /** @return the record of a draft, to be journalled once its object is written. */
    PageRecord recordOf(const PageDraft &draft, std::string objectKey) const;

    /** @return the current demand of a job. */
    JobDemand demand(const JobId &id) const;

    const Job *find(const JobId &id) const;
    JobProgress progress(const JobId &id) const;

    /** @return up to limit jobs of a tenant, the newest first. */
    std::vector<ListedJob> list(const WorkspaceName &tenant, std::size_t limit) const;

    /** Marks a job as warned about. @return whether it was not marked before */
    bool markWarned(const JobId &id);

    /** @return number of items that wait to be leased, over all jobs. */
    std::size_t waiting() const;

    std::size_t size() const;

    /** @return size of the results in memory, in bytes. */
    std::size_t resultBytes() const;

    /** @return the records that restore this state, for a checkpoint, as kind and encoded record. */
    std::vector<std::pair<RecordKind, std::string>> checkpointRecords() const;

private:
    void markChanged(Job &job);
    std::optional<PageDraft> draftIncompletePage();

    const Clock &clock;
    std::chrono::milliseconds itemLease;
    std::chrono::milliseconds takeoverHold;
    std::unordered_map<JobId, Job> jobs;
    /** Jobs with leases, or on hold after a takeover; only these change with time. */
    std::set<JobId> timed;
    std::set<JobId> dirty;
    std::size_t waitingItems = 0;
    std::size_t bytesOfResults = 0;
    std::deque<std::pair<JobId, std::uint32_t>> completePages;
    /** Jobs with results in memory. */
    std::set<JobId> withResults;
};

} // namespace Dogwoodkeel
