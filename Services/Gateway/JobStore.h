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

/** What came of a submission. */
enum class SubmitOutcome {
    /** The job is kept now, by this submission. */
    Accepted,
    /** The job is kept since an earlier submission. */
    Known,
    /** Too many tokens wait on its route; nothing is kept and nothing will run. */
    Full,
    /** Nothing is kept and nothing will run. */
    NotStored,
    /** It may be kept, or may yet be: a repeat will tell. */
    Unknown,
};

/** A job to be accepted. */
struct Submission
{
    JobId id;
    std::string route;
    std::string host;
    /** Whose it is; empty if callers need no key. */
    WorkspaceName workspace;
    /** Tokens of the workspace that may wait on the route; 0: no limit. */
    std::uint64_t waitingTokensLimit = 0;
    std::chrono::milliseconds completionTarget{0};
    std::vector<JobItem> items;
    /** Until when the caller waits for the answer. */
    SteadyTime deadline{};
};

/** What a job was read as. */
enum class JobReadOutcome {
    Found,
    /** There is no such job. */
    Absent,
    /** It can't be told now. */
    Failed,
};

/** The results of a job from some position on. */
struct JobResults
{
    JobReadOutcome outcome = JobReadOutcome::Failed;
    std::uint64_t total = 0;
    std::vector<ItemResult> results;
};

/** A job as its runner needs it. */
struct LoadedJob
{
    JobReadOutcome outcome = JobReadOutcome::Failed;
    JobHead head;
    RowVersion version = 0;
    std::vector<JobItem> items;
};

/** Accepts, reads and ends batch jobs in the platform's store. Any node can, at any moment, for any job. */
class JobStore
{
public:
    /**
     * @param storeClock by which the ages of jobs are told
     * @param self gives the session number of this node
     * @param rowBytes the largest row that the store takes
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

    /** Read a job's head and items. */
    void load(const JobId &job, std::function<void(LoadedJob)> done);

    /** Read a job's head alone; the items stay empty. */
    void loadHead(const JobId &job, std::function<void(LoadedJob)> done);

    /** End a job; Found when it is ended, now or before. */
    void end(const JobId &job, SteadyTime deadline, std::function<void(JobReadOutcome)> done);

    /**
     * Change a job in one step.
     * @param version of the head that the change is based on
     * @param head the new head
     * @param results that are added behind those that the head had before
     * @param open the new row among the open jobs, or nothing to remove it
     * @param done gets, with Done, the head's new version
     */
    void update(const JobId &job,
                RowVersion version,
                const JobHead &head,
                const std::vector<ItemResult> &results,
                const std::optional<OpenJob> &open,
                std::function<void(WriteOutcome, RowVersion)> done);

    /** Read what the items of a job have generated so far; nothing if it can't be told now. */
    void readProgress(const JobId &job, std::function<void(std::optional<std::map<std::uint32_t, JobRows::Generated>>)> done);

    /** Keep what items have generated since it was kept last. Lost without harm: the items then generate it again. */
    void saveProgress(const JobId &job, const std::vector<ItemProgress> &parts);

private:
    struct Submitting;
    struct Ending;

    void storeContent(const std::shared_ptr<Submitting> &submitting);
    void checkRoom(const std::shared_ptr<Submitting> &submitting);
    void write(const std::shared_ptr<Submitting> &submitting, std::uint64_t waiting, RowVersion orderVersion);
    void takeWritten(const std::shared_ptr<Submitting> &submitting, const RowTransactionResult &result);
    void confirm(const std::shared_ptr<Submitting> &submitting, SubmitOutcome otherwise);
    void takeFound(const std::shared_ptr<Submitting> &submitting);
    void retry(const std::shared_ptr<Submitting> &submitting, SubmitOutcome otherwise);
    void retryUnanswered(const std::shared_ptr<Submitting> &submitting);
    void tryEnd(const std::shared_ptr<Ending> &ending);
    void retryEnd(const std::shared_ptr<Ending> &ending);
    std::chrono::milliseconds pause(int tries);

    Scheduler &scheduler;
    const Clock &clock;
    RowStore &store;
    const StoreClock &storeClock;
    std::function<SessionNumber()> self;
    std::size_t rowBytes;
    std::minstd_rand random;
    /** Totals never change; knowing one saves a read. */
    std::map<JobId, std::uint64_t> totals;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
