#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>
#include <LibGateway/BatchTypes.h>
#include <LibGateway/JobRows.h>
#include <LibGateway/ServingConfiguration.h>
#include <LibPlatform/RowStore.h>
#include <LibPlatform/StoreClock.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Outcome of a submission. */
enum class SubmitOutcome {
    /** This submission stored the job. */
    Accepted,
    /** An earlier submission stored the job. */
    Known,
    /** Too many tokens wait on the route; nothing is stored and nothing will run. */
    Full,
    /** Nothing is stored and nothing will run. */
    NotStored,
    /** The job may be stored now or later; a repeated submission resolves this. */
    Unknown,
};

/** A job that a caller submits. */
struct Submission
{
    JobId id;
    std::string route;
    std::string host;
    /** The workspace that the job belongs to; empty if callers need no key. */
    WorkspaceName workspace;
    /** Tokens of the workspace that may wait on the route; 0: no limit. */
    std::uint64_t waitingTokensLimit = 0;
    std::chrono::milliseconds completionTarget{0};
    std::vector<JobItem> items;
    /** When the caller stops waiting for the answer. */
    SteadyTime deadline{};
};

/** Outcome of reading a job. */
enum class JobReadOutcome {
    Found,
    /** There is no such job. */
    Absent,
    /** The job could not be read now. */
    Failed,
};

/** The results of a job from a position on. */
struct JobResults
{
    JobReadOutcome outcome = JobReadOutcome::Failed;
    std::uint64_t total = 0;
    std::vector<ItemResult> results;
};

/** The head of a job and, where they were read, its items. */
struct LoadedJob
{
    JobReadOutcome outcome = JobReadOutcome::Failed;
    JobHead head;
    RowVersion version = 0;
    std::vector<JobItem> items;
};

/** Accepts, reads and ends batch jobs in the platform's store. Any node can do so for any job at any time. */
class JobStore
{
public:
    /**
     * @param storeClock clock for the submission times of jobs
     * @param self returns the session number of this node
     * @param rowBytes the largest row that the store accepts
     */
    JobStore(Scheduler &scheduler,
             const Clock &clock,
             RowStore &store,
             const StoreClock &storeClock,
             std::function<SessionNumber()> self,
             std::size_t rowBytes,
             std::uint64_t seed);
    ~JobStore();
    JobStore(const JobStore &) = delete;
    JobStore &operator=(const JobStore &) = delete;

    void submit(Submission submission, std::function<void(SubmitOutcome)> done);

    void readResults(const JobId &job, std::uint64_t from, std::function<void(JobResults)> done);

    /** Reads a job's head and items. */
    void load(const JobId &job, std::function<void(LoadedJob)> done);

    /** Reads only a job's head; the items stay empty. */
    void loadHead(const JobId &job, std::function<void(LoadedJob)> done);

    /** Ends a job; the outcome is Found if it is ended now or was ended before. */
    void end(const JobId &job, SteadyTime deadline, std::function<void(JobReadOutcome)> done);

    /**
     * Changes a job in one transaction.
     * @param version version of the head that the change is based on
     * @param head the new head
     * @param results results that are added behind those that the previous head lists
     * @param open the new row among the open jobs, or nothing to remove it
     * @param done receives, with Done, the head's new version
     */
    void update(const JobId &job,
                RowVersion version,
                const JobHead &head,
                const std::vector<ItemResult> &results,
                const std::optional<OpenJob> &open,
                std::function<void(WriteOutcome, RowVersion)> done);

    /** Reads the output of a job's items so far; nothing if it could not be read now. */
    void readProgress(const JobId &job, std::function<void(std::optional<std::map<std::uint32_t, JobRows::Generated>>)> done);

    /** Stores the output of items since the last call. If the write is lost, the items generate that output again. */
    void saveProgress(const JobId &job, const std::vector<ItemProgress> &parts);

private:
    struct PendingSubmission;
    struct PendingEnd;

    void storeContent(const std::shared_ptr<PendingSubmission> &submitting);
    void checkCapacity(const std::shared_ptr<PendingSubmission> &submitting);
    void write(const std::shared_ptr<PendingSubmission> &submitting, std::uint64_t waiting, RowVersion orderVersion);
    void handleWritten(const std::shared_ptr<PendingSubmission> &submitting, const RowTransactionResult &result);
    void confirm(const std::shared_ptr<PendingSubmission> &submitting, SubmitOutcome otherwise);
    void handleFound(const std::shared_ptr<PendingSubmission> &submitting);
    void retry(const std::shared_ptr<PendingSubmission> &submitting, SubmitOutcome otherwise);
    void retryUnanswered(const std::shared_ptr<PendingSubmission> &submitting);
    void tryEnd(const std::shared_ptr<PendingEnd> &ending);
    void retryEnd(const std::shared_ptr<PendingEnd> &ending);
    std::chrono::milliseconds pause(int tries);

    Scheduler &scheduler;
    const Clock &clock;
    RowStore &store;
    const StoreClock &storeClock;
    std::function<SessionNumber()> self;
    std::size_t rowBytes;
    std::minstd_rand random;
    /** The number of items of jobs. It never changes; a cached one saves a read. */
    std::map<JobId, std::uint64_t> totals;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
