#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>
#include <LibJournal/JournalRecovery.h>
#include <LibJournal/JournalWriter.h>
#include <LibMembership/MemberView.h>
#include <LibPlatform/Platform.h>
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
        std::chrono::milliseconds claimLease{120000};
        std::chrono::milliseconds itemLease{30000};
        /** How often ownership is looked at. */
        std::chrono::milliseconds interval{100};
        /** How long an owner that no member has ever told of must stay unknown before it counts as gone. */
        std::chrono::milliseconds strangerGrace{3000};
    };

    ShardKeeper(Platform &platform,
                Scheduler &scheduler,
                const Clock &clock,
                SessionNumber self,
                JournalWriter &journal,
                Options options);
    ~ShardKeeper();
    ShardKeeper(const ShardKeeper &) = delete;
    ShardKeeper &operator=(const ShardKeeper &) = delete;

    void start();
    void setView(MemberViewPointer view);

    /** Give up every shard and take none; told when all rows are written. */
    void releaseAll(std::function<void()> released);

    /** @return a shard's state, or null if this node does not own it now. */
    ShardState *find(ShardNumber shard);

    const std::map<ShardNumber, std::unique_ptr<ShardState>> &owned() const;

    /** @return the shard of a request or job id. */
    ShardNumber shardOf(const std::string &id) const;

private:
    /** A shard row as it was read, with its version. */
    struct ReadRow
    {
        ShardNumber shard;
        ShardRow row;
        std::optional<RowVersion> version;
    };

    /** Shards being taken in one go, and the journals they are replayed from. */
    struct Takeover
    {
        std::vector<ReadRow> rows;
        std::map<SessionNumber, RecoveredJournal> journals;
        std::size_t pending = 0;
    };

    void tick();
    void look();
    void consider(const std::vector<Row> &rows);
    bool isGone(SessionNumber session);
    void takeOver(std::vector<ReadRow> rows);
    void recover(const std::shared_ptr<Takeover> &takeover);
    void claim(const std::shared_ptr<Takeover> &takeover);
    void claimOne(const std::shared_ptr<Takeover> &takeover, std::size_t index);
    void adopt(const Takeover &takeover, const ReadRow &read, const ShardRow &claimed);
    void confirm(const std::shared_ptr<Takeover> &takeover, std::size_t index, const ShardRow &claimed);
    void releaseUnwanted();
    void release(ShardNumber shard);
    void writeRelease(const std::shared_ptr<ShardState> &state, ShardNumber shard, std::uint64_t appended);
    void releaseFinished();

    Platform &platform;
    Scheduler &scheduler;
    const Clock &clock;
    SessionNumber self;
    JournalWriter &journal;
    Options options;
    MemberViewPointer view;
    std::map<ShardNumber, std::unique_ptr<ShardState>> shards;
    std::set<SessionNumber> everSeen;
    std::map<SessionNumber, SteadyTime> strangers;
    bool busy = false;
    bool closing = false;
    std::size_t releasing = 0;
    std::function<void()> released;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
