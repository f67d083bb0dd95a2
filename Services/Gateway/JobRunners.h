#pragma once

#include <LibGateway/JobCheckSchedule.h>
#include <LibGateway/ServingConfiguration.h>
#include <LibMembership/ViewStability.h>
#include <LibSettings/Generated/Settings.h>
#include <Services/Gateway/JobRun.h>
#include <Services/Gateway/PeerNetwork.h>
#include <Services/Gateway/TableFollower.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Runs the open jobs that fall to this node.
 *
 * For each open row there is a node that knows it has to see to the job, whatever was lost and whoever follows the rows: the
 * member that would inherit the job follows them, and as long as the row is there it looks at it again and again. If the runner
 * that the row names is gone, it runs the job itself; else it reminds the runner, which looks at the row if it does not run the
 * job.
 */
class JobRunners
{
public:
    /**
     * @param rows by which the open jobs are followed
     * @param settings how long the store is asked to wait, and how soon ended jobs stop
     * @param configuration gives the configuration in force, or null
     */
    JobRunners(GatewayContext &context,
               RowFeed &rows,
               JobStore &store,
               PeerNetwork &peers,
               const GatewaySettings &settings,
               std::function<ServingConfigurationPointer()> configuration);
    ~JobRunners();
    JobRunners(const JobRunners &) = delete;
    JobRunners &operator=(const JobRunners &) = delete;

    /** The members changed: jobs may fall to other nodes. */
    void setView(const MemberViewPointer &view);

    /** This node has accepted a job, or found that it was: unless it is known to fall to another, it is run here. */
    void handleAccepted(const JobId &job);

    /** Another node reads rows that name this one as the runner of these jobs. */
    void handleReminder(const std::vector<JobId> &jobs);

    /** Ask the store anew which jobs are open. */
    void refreshOpenJobs();

    /** @return whether a job has items without a result, as far as this node knows. */
    bool isOpen(const JobId &job) const;

    /** A job needs no runner any more. */
    void stopJob(const JobId &job, RunEnd end);

    /** Give all jobs back: this node is leaving. */
    void stopAll();

private:
    void followOpenJobs();
    void considerFollowing();
    void takeAll(const std::vector<StoredRow> &rows);
    void takeChange(const StoredRow &row);
    void decide(const JobId &job);
    void decideAll();
    void decideSettled();
    void takeRunEnd(const JobId &job, RunEnd end);
    void lookAtJobs();
    void look(const JobId &job, std::map<SessionNumber, JobReminder> &reminders);
    void reportReminder(const JobId &job, SessionNumber runner);
    std::string_view handleReminder(const JobId &job);
    const Member *presentRunner(const OpenJob &open) const;
    bool isOurs(const JobId &job, const OpenJob &open) const;
    void startRun(const JobId &job, JobRun::Origin origin);
    void stopRun(const JobId &job, RunEnd end);
    std::optional<ItemAttempt::Target> targetOf(const JobHead &job, const std::string &target) const;

    GatewayContext &context;
    RowFeed &rows;
    JobStore &store;
    PeerNetwork &peers;
    std::chrono::milliseconds storeWait;
    std::chrono::milliseconds endBound;
    std::function<ServingConfigurationPointer()> configuration;
    MemberViewPointer view;
    std::map<JobId, OpenJob> open;
    JobCheckSchedule looks;
    /** The runners that were reminded of open jobs. */
    std::map<JobId, SessionNumber> reminded;
    std::map<JobId, std::shared_ptr<JobRun>> runs;
    bool isStopped = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::optional<TableFollower> follower;
    TimerId hurryTimer = 0;
    TimerId settleTimer = 0;
    TimerId considerTimer = 0;
    TimerId lookTimer = 0;
    ViewStability settling;
    /** When this node last ran a job, as far as was looked. */
    SteadyTime lastBusy;
};

} // namespace Dogwoodkeel
