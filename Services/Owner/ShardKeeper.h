#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>
#include <LibJournal/JournalWriter.h>
#include <LibMembership/MemberView.h>
#include <LibPlatform/Platform.h>
#include <Services/Owner/Checkpointer.h>
#include <Services/Owner/JournalCleaner.h>
#include <Services/Owner/ShardRecovery.h>
#include <Services/Owner/ShardState.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Acquires and releases shards, so that each is owned by the member that should own it.
 *
 * The owner of a shard changes only by a conditional transaction on the shard's row. A shard of a departed owner is
 * acquired after that owner's journal has been sealed: the replay then covers all that the owner ever acknowledged, and a
 * paused owner that resumes can acknowledge nothing more. A live owner releases its shards itself.
 */
class ShardKeeper
{
public:
    /** Sizes, intervals and timeouts. */
    struct Options
    {
        std::uint32_t shards = 64;
        ShardState::Options state;
        Checkpointer::Options checkpoint;
        /** Interval between checks of the ownership. */
        std::chrono::milliseconds interval{100};
        /** How long an owner that was never in the member view must stay unknown before it counts as departed. */
        std::chrono::milliseconds unknownOwnerTimeout{3000};
        /** A node that was paused for longer than this may have lost its shards, and reads their rows before it serves. */
        std::chrono::milliseconds pauseLimit{1000};
        /** Called with the member that should own a shard whose row has just been marked as free. */
        std::function<void(const Member &successor)> onReleased;
        /** Interval between deletions of journal groups that are not needed any more. */
        std::chrono::milliseconds cleanInterval{30000};
    };

    ShardKeeper(Platform &platform,
                Scheduler &scheduler,
                const Clock &clock,
                SessionNumber self,
                JournalWriter &journal,
                const Options &options);
    ~ShardKeeper();
    ShardKeeper(const ShardKeeper &) = delete;
    ShardKeeper &operator=(const ShardKeeper &) = delete;

    void start();
    void setView(MemberViewPointer view);

    /** Checks for shards to acquire now, because another node has just released one. */
    void checkSoon();

    /** Releases every shard and acquires no more. @param released called when all rows are written */
    void releaseAll(std::function<void()> released);

    /** Drops all shards and fails the waiting calls, because another session has sealed the journal. */
    void fenced();

    /** @return a shard's state, or null if this node does not own it. */
    ShardState *find(ShardNumber shard);

    /** @return the state of a shard to serve from, or null if it is not owned or has to be confirmed after a pause. */
    ShardState *serving(ShardNumber shard);

    /**
     * Checks whether this node still owns a shard.
     * @param reported receives true if the shard's row names this node, and false also if the platform does not answer
     */
    void confirmOwned(ShardNumber shard, std::function<void(bool isOwned)> reported);

    const std::map<ShardNumber, std::shared_ptr<ShardState>> &owned() const;

    /** @return the shard of a request or job id. */
    ShardNumber shardOf(const std::string &id) const;

private:
    using States = std::map<ShardNumber, std::shared_ptr<ShardState>>;

    /** The claims that are in progress. */
    struct Takeover
    {
        std::shared_ptr<ShardRecovery> recovery;
        std::size_t pending = 0;
    };

    void tick();
    bool mayChange() const;
    void releaseAndAcquire();
    void checkRows();
    void acquireAssigned(const std::vector<Row> &rows);
    void takeOver(std::vector<ReadShard> shards);
    void closeOwnSpans(ShardRow &row) const;
    void claim(const std::shared_ptr<Takeover> &takeover);
    void claimOne(const std::shared_ptr<Takeover> &takeover, const ReadShard &shard);
    void confirm(const std::shared_ptr<Takeover> &takeover, const ReadShard &shard, const ShardRow &claimed);
    void adopt(const ShardRecovery &recovery, const ReadShard &shard, const ShardRow &claimed, RowVersion version);
    void finishOne(const std::shared_ptr<Takeover> &takeover);
    void finishTakeover();
    bool wasPaused() const;
    void checkOwned();
    void dropLost(const std::vector<Row> &rows);
    static bool isSameOwnership(const ShardState &state, const Row &row);
    bool isOwnedOrReleasing(ShardNumber shard) const;
    bool hasDeparted(SessionNumber session);
    void dropLostRunners();
    void checkpointOne();
    void cleanJournals();
    void releaseReassigned();
    void releaseOwned();
    void handOver(ShardNumber shard);
    void release(ShardNumber shard);
    void writeRelease(const std::shared_ptr<ShardState> &state, ShardNumber shard, std::uint64_t appended);
    void releaseWritten(ShardNumber shard);
    void notifySuccessors();
    void releaseFinished();

    Platform &platform;
    Scheduler &scheduler;
    const Clock &clock;
    SessionNumber self;
    JournalWriter &journal;
    Options options;
    Checkpointer checkpointer;
    JournalCleaner cleaner;
    /** Start of the span of a claim that may still reach the platform. */
    std::optional<GroupNumber> unconfirmedSpan;
    MemberViewPointer view;
    States shards;
    /** Shards that were released in memory, while their rows may still name this session. */
    std::set<ShardNumber> releasing;
    SteadyTime lastTick;
    SteadyTime lastRunnerCheck{};
    /** Whether this node was paused and has not read the shard rows since. */
    bool isOwnershipUncertain = false;
    std::set<SessionNumber> knownSessions;
    std::map<SessionNumber, SteadyTime> unknownOwnersSince;
    /** The time since when each owned shard should belong to another member. */
    std::map<ShardNumber, SteadyTime> reassignedSince;
    /** Whether another node released a shard while a takeover was in progress. */
    bool isRecheckNeeded = false;
    bool busy = false;
    bool isStopping = false;
    /** Shards released since the last notification of the successors. */
    std::vector<ShardNumber> released;
    std::function<void()> onAllReleased;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
