#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>
#include <LibBatch/JobSchedule.h>
#include <LibBatch/RateMeter.h>
#include <LibJournal/JournalWriter.h>
#include <LibMembership/MemberView.h>
#include <LibPlatform/ObjectStore.h>
#include <LibWire/PeerServer.h>
#include <Services/Owner/ObjectCache.h>
#include <Services/Owner/ResultReader.h>
#include <Services/Owner/ShardKeeper.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Dogwoodkeel
{

/** Summary of the waiting items that an owner advertises to the lanes. */
struct Backlog
{
    std::uint32_t items = 0;
    /** See Member::backlogModels. */
    std::uint64_t models = 0;

    bool operator==(const Backlog &) const = default;
};

/**
 * Serves the batch jobs of the shards that this node owns. A decision is durable in the journal before it is reported to
 * another node as done.
 */
class BatchOwner
{
public:
    template <typename Response>
    using Respond = PeerServer::Respond<Response>;

    /** Notifies a runner that a job was cancelled. The notification may be lost. */
    using NotifyStopped = std::function<void(const Address &lane, const JobStopped &)>;

    BatchOwner(Scheduler &scheduler,
               const Clock &clock,
               ShardKeeper &keeper,
               JournalWriter &journal,
               ObjectStore &objects,
               NotifyStopped notifyStopped);
    ~BatchOwner();
    BatchOwner(const BatchOwner &) = delete;
    BatchOwner &operator=(const BatchOwner &) = delete;

    /** Registers the handlers for calls from other nodes and from this one. */
    void serve(PeerServer &server);

    void start();
    void setView(MemberViewPointer view);

    /** @return a summary of the items that wait in the shards of this node. */
    Backlog backlog();

    /** Reports the state and progress of a job. */
    void status(const JobStatusRequest &request, const Respond<JobStatusResponse> &respond);

private:
    using Lines = std::vector<std::string>;

    /** The items that are being read to answer one pull request of a lane. */
    struct Pull;
    /** The results of one commit request of a lane that are being journalled. */
    struct Commit;

    /** @param reported receives Absent only if this node still owns the shard of the job */
    void confirmAbsent(const JobId &id, const std::function<void(JobState)> &reported);
    void submit(const SubmitJobRequest &request, const Respond<SubmitJobResponse> &respond);
    void list(const ListJobsRequest &request, const Respond<ListJobsResponse> &respond);
    void cancel(const CancelJobRequest &request, const Respond<JobStatusResponse> &respond);
    void results(const JobResultsRequest &request, const Respond<JobResultsResponse> &respond);
    void pull(const PullItemsRequest &request, const Respond<PullItemsResponse> &respond);
    void commitItems(const CommitItemsRequest &request, const Respond<CommitItemsResponse> &respond);
    void renew(const RenewItemsRequest &request, const Respond<RenewItemsResponse> &respond);
    void returnItems(const ReturnItemsRequest &request, const Respond<ReturnItemsResponse> &respond);

    ShardState *stateOf(const JobId &id);
    const Job *jobOf(ShardState *state, const JobId &id, const WorkspaceName &tenant) const;
    JobProgress progressOf(const ShardState &state, const JobId &id) const;

    void tick();
    void refreshSchedule();
    void warnOfLateJobs();
    void notifyRunners(const JobId &job, const std::vector<SessionNumber> &runners);
    std::vector<LeasedItems> leaseNext(const PullItemsRequest &request);
    void answerPull(Pull &pull);
    void readLeased(const std::shared_ptr<Pull> &pull, const LeasedItems &leased);
    void commitOne(const std::shared_ptr<Commit> &commit, const ItemRecord &result);
    void moveResults();
    void move(ShardNumber shard, const PageDraft &draft);

    template <typename Record>
    void append(ShardNumber shard, RecordKind kind, const Record &record, const JournalWriter::Appended &appended);

    Scheduler &scheduler;
    const Clock &clock;
    ShardKeeper &keeper;
    JournalWriter &journal;
    ObjectStore &objects;
    NotifyStopped notifyStopped;
    MemberViewPointer view;
    ObjectCache<Lines> items;
    ResultReader resultReader;

    JobSchedule schedule;
    /** The scheduled jobs of one shard, and the shard epoch in which they were scheduled. */
    struct Scheduled
    {
        ShardEpoch epoch;
        std::set<JobId> jobs;
    };
    std::map<ShardNumber, Scheduled> scheduled;
    std::map<std::string, RateMeter> rates;
    /** When each model last had waiting items. */
    std::map<std::string, SteadyTime> lastBacklog;
    std::size_t moving = 0;
    SteadyTime lastWarning{};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
