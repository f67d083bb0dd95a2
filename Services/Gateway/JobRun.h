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
    /** A whole reading of the open jobs does not list it. */
    NotListed,
    /** The job's head says that it was ended, or is complete by another node's results. */
    HeadClosed,
    /** The store has no such job. */
    Absent,
    /** Another node runs it. */
    HandedOn,
    NodeLeaving,
};

std::string_view toString(RunEnd end);

/**
 * Runs the items of one job on this node, and adds their results to the job. Another node may run the same job at the same
 * time, after a change of the members: each change is made under the condition of the head's version, so positions and
 * results stay what they are, and only work is wasted.
 */
class JobRun : public std::enable_shared_from_this<JobRun>
{
public:
    struct Hooks
    {
        /** @return the number that this node goes by now. */
        std::function<SessionNumber()> self;
        /** @return where an item of the job goes, by the configuration in force. */
        std::function<std::optional<ItemAttempt::Target>(const JobHead &job, const std::string &target)> target;
        /** @return the route of the job, or null if there is none any more. */
        std::function<const Route *(const std::string &name)> route;
        /** The job needs no runner any more. */
        std::function<void(RunEnd)> over;
    };

    /** Whether another node may have run items of the job before. */
    enum class Origin {
        Accepted,
        TakenOver,
    };

    /** @param endBound how long after the end of a job its items may still reach replicas */
    JobRun(GatewayContext &context, JobStore &store, JobId job, std::chrono::milliseconds endBound, Hooks hooks);

    void start(Origin origin);

    /** Keep what the items have generated, for whoever runs them next. */
    void saveProgress();

    /** Something says that the job is closed: end if the store confirms it. */
    void checkOpen();

    /** Stop all items at once, and tell nothing more. */
    void cancel(RunEnd end);

private:
    /** An item without a result. */
    struct Open
    {
        std::shared_ptr<ItemAttempt> attempt;
    };

    void readProgress();
    void keepProgress();
    void load();
    void takeLoaded(const LoadedJob &loaded);
    void askWhetherOpen(std::function<void(OpenConfirmation::Reply)> answer);
    void startItems();
    void startItem(std::uint32_t number);
    void takeItemEnd(std::uint32_t number, ItemAttempt::End end, std::string output);
    void takeFailure(std::uint32_t number);
    void abandon(std::uint32_t number, std::string_view reason);
    void checkRetention();
    void writeSoon();
    void write();
    void takeWritten(const JobHead &written, RowVersion version);
    void takeUnwritten(WriteOutcome outcome);
    void endRun(RunEnd end);
    std::uint64_t waitingTokens(const JobHead &head) const;
    std::chrono::milliseconds completionTarget() const;
    std::chrono::milliseconds age() const;
    void stopAll();

    GatewayContext &context;
    JobStore &store;
    JobId job;
    Hooks hooks;
    JobLedger ledger;
    std::vector<JobItem> items;
    std::map<std::uint32_t, Open> open;
    /** What items had generated before this run. */
    std::map<std::uint32_t, JobRows::Generated> before;
    OpenConfirmation confirmation;
    bool isLoaded = false;
    /** Reading and writing the job take turns: the answer to one is understood by what the other left. */
    bool isBusyWithStore = false;
    bool isWriteScheduled = false;
    int writeFailures = 0;
    TimerId timer = 0;
    TimerId retentionTimer = 0;
    TimerId progressTimer = 0;
    bool isOver = false;
};

} // namespace Dogwoodkeel
