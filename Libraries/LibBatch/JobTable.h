#pragma once

#include <LibBase/Clock.h>
#include <LibWire/Generated/Messages.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/** An item to hand out: its body stands in an object. */
struct ItemPlace
{
    JobId jobId;
    std::uint32_t index = 0;
};

/** What the owner does with an item's result. */
enum class ItemVerdict {
    /** The first result: journal it. */
    Journal,
    /** There is one already, or one is being journalled. */
    Superseded,
    /** No such job or item. */
    Unknown,
};

/**
 * The batch jobs of one shard. Decides; the owner task journals, answers and reads the items' objects.
 */
class JobTable
{
public:
    /**
     * @param clock measures the items' leases
     * @param itemLease how long a lane may keep an item without renewing
     */
    JobTable(const Clock &clock, std::chrono::milliseconds itemLease);

    /** @return what to do with a submission: Accepted with isNew means that it is to be journalled. */
    struct Submission
    {
        SubmitDecision decision = SubmitDecision::Unavailable;
        bool isNew = false;
    };
    Submission submit(const JobRecord &job);

    /** A job, an item's result or a cancellation is durable, or was found in a journal. */
    void apply(const JobRecord &job);
    void apply(const ItemRecord &item);
    void apply(const CancelRecord &cancel);

    /**
     * Lease items to a lane, most urgent job first.
     * @param model for which
     * @param limit how many at most
     * @param runner the lane's holder
     */
    std::vector<ItemPlace> lease(const std::string &model, std::size_t limit, SessionNumber runner);

    /** Give an item back that was leased but could not be read. */
    void unlease(const ItemPlace &item);

    ItemVerdict commit(const ItemRecord &result);

    /** Keep a runner's leases on a job. @return whether its items may go on */
    bool renew(const JobId &job, SessionNumber runner);

    const JobRecord *job(const JobId &id) const;
    JobProgress progress(const JobId &id) const;

    /** @return finished items from an index on, at most limit of them; next tells where to read on. */
    JobResultsResponse results(const JobId &id, std::uint32_t from, std::size_t limit) const;

    /** @return items that wait to be leased, over all jobs. */
    std::size_t waiting() const;

    /** @return the records that bring back this state, for a checkpoint: kind and encoded record. */
    std::vector<std::pair<RecordKind, std::string>> checkpointRecords() const;

private:
    enum class Stage : std::uint8_t {
        Waiting,
        Leased,
        ResultPending,
        Done,
    };

    struct Lease
    {
        SessionNumber runner;
        SteadyTime end{};
    };

    struct Job
    {
        JobRecord record;
        bool isDurable = false;
        bool isCancelled = false;
        std::vector<Stage> items;
        /** Items before it are not waiting. */
        std::uint32_t firstWaiting = 0;
        std::uint32_t succeeded = 0;
        std::uint32_t failed = 0;
        std::map<std::uint32_t, Lease> leases;
        std::map<std::uint32_t, ItemRecord> results;
    };

    static JobState stateOf(const Job &job);
    void returnExpired(Job &job);
    void leaseFrom(Job &job, std::size_t limit, SessionNumber runner, std::vector<ItemPlace> &leased);

    const Clock &clock;
    std::chrono::milliseconds itemLease;
    std::map<JobId, Job> jobs;
};

} // namespace Dogwoodkeel
