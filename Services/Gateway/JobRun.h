#pragma once

#include <LibGateway/JobLedger.h>
#include <LibGateway/OpenConfirmation.h>
#include <Services/Gateway/ItemAttempt.h>
#include <Services/Gateway/JobStore.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** Why a node ends its run of a job. */
enum class RunEnd {
    Complete,
    /** The node that ended the job for its caller reported it. */
    EndReported,
    /** The job's row among the open jobs was removed. */
    RowRemoved,
    /** A complete snapshot of the open jobs does not list it. */
    NotListed,
    /** The job's head states that it was ended, or that another node's results complete it. */
    HeadClosed,
    /** The store has no such job. */
    Absent,
    /** Another node runs it. */
    HandedOver,
    NodeLeaving,
};

std::string_view toString(RunEnd end);

/**
 * Runs the items of one job on this node, and adds their results to the job. Another node may run the same job at the same
 * time, after a change of the members. Every write is conditional on the version of the head, so positions and results never
 * change, and only work is wasted.
 */
class JobRun : public std::enable_shared_from_this<JobRun>
{
public:
    struct Hooks
    {
        /** @return the current session number of this node. */
        std::function<SessionNumber()> self;
        /** @return the version of the configuration in force; 0 if there is none. */
        std::function<std::uint64_t()> configurationVersion;
        /** @return the route of an item of the job, which has a path and query, by the configuration in force. */
        std::function<ItemAttempt::Routing(const JobHead &job, const std::string &target)> routing;
        /** @return the route whose limits apply to an item: that of the job, or, if it was removed, the one for the item's path;
         * or null. */
        std::function<const Route *(const JobHead &job, const std::string &target)> limitingRoute;
        /** Called when the run has ended by itself. */
        std::function<void(RunEnd)> runEnded;
    };

    /** Whether another node may have run items of the job before. */
    enum class Origin {
        Accepted,
        TakenOver,
    };

    /** @param endBound max time after the end of a job in which its items may still reach replicas */
    JobRun(GatewayContext &context, JobStore &store, JobId job, std::chrono::milliseconds endBound, Hooks hooks);

    void start(Origin origin);

    /** Stores the output of the items so far, for the next node that runs them. */
    void saveProgress();

    /** Queries the store whether the job is open, and ends the run if it is closed. */
    void checkOpen();

    /** Stops all items at once; no hook is called any more. */
    void cancel(RunEnd end);

private:
    /** An item without a result. */
    struct Open
    {
        std::shared_ptr<ItemAttempt> attempt;
    };

    void readProgress();
    void saveProgressPeriodically();
    void load();
    void handleLoaded(const LoadedJob &loaded);
    void queryOpen(std::function<void(OpenConfirmation::Reply)> answer);
    void startItems();
    void startItem(std::uint32_t number);
    void handleItemEnd(std::uint32_t number, ItemAttempt::End end, std::string output);
    void handleItemFailure(std::uint32_t number);
    void abandon(std::uint32_t number, std::string_view reason);
    /** Applies a changed configuration to the items that wait, and gives up those whose retention has ended. */
    void checkItems();
    void abandonExpired();
    /** Logs at intervals which item has waited longest, if that is long. */
    void logLongestWait();
    void writeSoon();
    void write();
    void handleWritten(const JobHead &written, RowVersion version);
    void handleFailedWrite(WriteOutcome outcome);
    void endRun(RunEnd end);
    std::uint64_t waitingTokens(const JobHead &head) const;
    const Route *limitingRoute(std::uint32_t number) const;
    std::chrono::milliseconds age() const;
    void stopAll();

    GatewayContext &context;
    JobStore &store;
    JobId job;
    Hooks hooks;
    JobLedger ledger;
    std::vector<JobItem> items;
    std::map<std::uint32_t, Open> open;
    /** Output of the items from before this run. */
    std::map<std::uint32_t, JobRows::Generated> before;
    OpenConfirmation confirmation;
    bool isLoaded = false;
    /** At most one read or write of the job is pending, as each builds on the result of the one before. */
    bool isBusyWithStore = false;
    bool isWriteScheduled = false;
    int writeFailures = 0;
    TimerId timer = 0;
    TimerId checkTimer = 0;
    /** The version of the configuration that the waiting items were last checked with. */
    std::uint64_t checkedVersion = 0;
    TimerId progressTimer = 0;
    SteadyTime nextWaitLog{};
    bool isOver = false;
};

} // namespace Dogwoodkeel
