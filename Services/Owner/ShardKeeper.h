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
 * Takes and gives up shards, so that each is owned by the member that should own it.
 *
 * A shard changes hands only by a conditional transaction on its row. From an owner that is gone it is taken by
 * sealing that owner's journal first: what is replayed is then all that the owner ever acknowledged, and a paused owner
 * that wakes can acknowledge nothing more. An owner that is there gives its shards up itself.
 */
class ShardKeeper
{
public:
    /** Sizes and times. */
    struct Options
    {
        std::uint32_t shards = 64;
        ShardState::Options state;
        Checkpointer::Options checkpoint;
        /** How often ownership is looked at. */
        std::chrono::milliseconds interval{100};
        /** How long an owner that no member has ever told of must stay unknown before it counts as gone. */
        std::chrono::milliseconds strangerGrace{3000};
        /** A node that did not run for so long may have lost its shards meanwhile, and reads their rows first. */
        std::chrono::milliseconds pauseLimit{1000};
        /** Told of the member that should own a shard whose row now says that it is free. */
        std::function<void(const Member &successor)> onReleased;
        /** How often groups that are not needed any more are deleted. */
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

    /** Look for shards to take now: one has just been given up. */
    void lookSoon();

    /** Give up every shard and take none; told when all rows are written. */
    void releaseAll(std::function<void()> released);

    /** The journal was sealed by another session: all shards are lost, and those who wait at them are told. */
    void fenced();

    /** @return a shard's state, or null if this node does not own it. */
    ShardState *find(ShardNumber shard);

    /** @return a shard's state to answer from, or null if this node does not own it or was paused and has to look first. */
    ShardState *serving(ShardNumber shard);

    /**
     * Find out whether a shard is still this node's.
     * @param reported gets whether its row says so; false also if the platform does not answer
     */
    void confirmOwned(ShardNumber shard, std::function<void(bool isOwned)> reported);

    const std::map<ShardNumber, std::shared_ptr<ShardState>> &owned() const;

    /** @return the shard of a request or job id. */
    ShardNumber shardOf(const std::string &id) const;

private:
    using States = std::map<ShardNumber, std::shared_ptr<ShardState>>;

    /** Claims that are on their way. */
    struct Takeover
    {
        std::shared_ptr<ShardRecovery> recovery;
        std::size_t pending = 0;
    };

    void tick();
    bool mayChange() const;
    void releaseAndTake();
    void look();
    void consider(const std::vector<Row> &rows);
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
    bool isHeld(ShardNumber shard) const;
    bool hasLeft(SessionNumber session);
    void dropLostRunners();
    void checkpointOne();
    void cleanJournals();
    void releaseUnwanted();
    void releaseOwned();
    void handOver(ShardNumber shard);
    void release(ShardNumber shard);
    void writeRelease(const std::shared_ptr<ShardState> &state, ShardNumber shard, std::uint64_t appended);
    void releaseWritten(ShardNumber shard);
    void tellSuccessors();
    void releaseFinished();

    Platform &platform;
    Scheduler &scheduler;
    const Clock &clock;
    SessionNumber self;
    JournalWriter &journal;
    Options options;
    Checkpointer checkpointer;
    JournalCleaner cleaner;
    /** Where the span of a claim starts that may still reach the platform. */
    std::optional<GroupNumber> unconfirmedSpan;
    MemberViewPointer view;
    States shards;
    /** Given up here, while their rows may still name this session. */
    std::set<ShardNumber> releasing;
    SteadyTime lastTick;
    SteadyTime lastRunnerCheck{};
    /** This node was paused, and has not read its rows since. */
    bool unsure = false;
    std::set<SessionNumber> everSeen;
    std::map<SessionNumber, SteadyTime> strangers;
    /** Since when a shard has been another member's to own. */
    std::map<ShardNumber, SteadyTime> unwantedSince;
    /** A shard was given up while a takeover was going on. */
    bool lookAgain = false;
    bool busy = false;
    bool closing = false;
    /** Given up since the successors were told last. */
    std::vector<ShardNumber> released;
    std::function<void()> onAllReleased;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
