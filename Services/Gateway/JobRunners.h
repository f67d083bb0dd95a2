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
 * Runs the open jobs that are assigned to this node.
 *
 * Every open job gets a runner, even if datagrams or writes were lost: the member that would take the job over follows the rows
 * of open jobs, and checks the job periodically while its row exists. If the runner that the row names has departed, this member
 * runs the job itself. Otherwise it sends the runner a reminder, and the runner checks the row if it does not run the job.
 */
class JobRunners
{
public:
    /** The configuration by which items are sent. */
    struct ConfigurationSource
    {
        /** @return the configuration in force, or null. */
        std::function<ServingConfigurationPointer()> current;
        /** @return whether nothing may be sent by it any more. */
        std::function<bool()> isOutdated;
    };

    /**
     * @param rows feed of the table of open jobs
     * @param settings the wait time of reads from the store, and the max time in which ended jobs stop
     */
    JobRunners(GatewayContext &context,
               RowFeed &rows,
               JobStore &store,
               PeerNetwork &peers,
               const GatewaySettings &settings,
               ConfigurationSource configuration);
    ~JobRunners();
    JobRunners(const JobRunners &) = delete;
    JobRunners &operator=(const JobRunners &) = delete;

    /** Applies a change of the members, which may assign jobs to other nodes. */
    void setView(const MemberViewPointer &view);

    /** Runs a job that this node has accepted, or found accepted, unless its open row is known: then the row decides. */
    void handleAccepted(const JobId &job);

    /** Handles a reminder from another node that the open rows of these jobs name this node as the runner. */
    void handleReminder(const std::vector<JobId> &jobs);

    /** Reads the open jobs from the store again. */
    void refreshOpenJobs();

    /** @return whether a job has items without a result, to the knowledge of this node. */
    bool isOpen(const JobId &job) const;

    /** Stops the run of a job that needs no runner any more. */
    void stopJob(const JobId &job, RunEnd end);

    /** Stops all runs and stores their progress, because this node is leaving. */
    void stopAll();

private:
    void followOpenJobs();
    void updateFollowing();
    void applySnapshot(const std::vector<StoredRow> &rows);
    void applyChange(const StoredRow &row);
    void decide(const JobId &job);
    void decideAll();
    void decideOnceStable();
    void handleRunEnd(const JobId &job, RunEnd end);
    void checkJobs();
    void checkJob(const JobId &job, std::map<SessionNumber, JobReminder> &reminders);
    void reportReminder(const JobId &job, SessionNumber runner);
    std::string_view handleReminder(const JobId &job);
    const Member *activeRunner(const OpenJob &open) const;
    bool isLocal(const JobId &job, const OpenJob &open) const;
    void startRun(const JobId &job, JobRun::Origin origin);
    void stopRun(const JobId &job, RunEnd end);
    ItemAttempt::Routing routingOf(const JobHead &job, const std::string &target) const;
    /** @return see JobRun::Hooks::limitingRoute. */
    const Route *limitingRouteOf(const JobHead &job, const std::string &target) const;

    GatewayContext &context;
    RowFeed &rows;
    JobStore &store;
    PeerNetwork &peers;
    std::chrono::milliseconds storeWait;
    std::chrono::milliseconds endBound;
    ConfigurationSource configuration;
    MemberViewPointer view;
    std::map<JobId, OpenJob> open;
    JobCheckSchedule checkSchedule;
    /** The runner last reminded of each open job, so that a change of it is logged once. */
    std::map<JobId, SessionNumber> reminded;
    std::map<JobId, std::shared_ptr<JobRun>> runs;
    bool isStopped = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::optional<TableFollower> follower;
    TimerId refreshTimer = 0;
    TimerId stabilityTimer = 0;
    TimerId followingTimer = 0;
    TimerId checkTimer = 0;
    ViewStability viewStability;
    /** When this node last ran a job or was reminded of one, to the precision of the periodic check. */
    SteadyTime lastBusy;
};

} // namespace Dogwoodkeel
