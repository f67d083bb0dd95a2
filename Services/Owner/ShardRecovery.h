#pragma once

#include <LibBase/Scheduler.h>
#include <LibJournal/JournalRecovery.h>
#include <LibPlatform/Platform.h>
#include <Services/Owner/ShardState.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Dogwoodkeel
{

/** A shard row as it was read, with its version. */
struct ReadShard
{
    ShardNumber shard;
    ShardRow row;
    /** Nothing if there was no row. */
    std::optional<RowVersion> version;
};

/**
 * Reads the checkpoints and journal groups from which shards are replayed, and seals the journals to which their owners
 * may still write. Groups that several shards need are read once.
 */
class ShardRecovery : public std::enable_shared_from_this<ShardRecovery>
{
public:
    /** @param shards the shards to recover; spans of this session itself are closed already */
    ShardRecovery(Platform &platform, Scheduler &scheduler, SessionNumber self, std::vector<ReadShard> shards);

    /**
     * Starts the recovery.
     * @param recovered called once, with false if an object that a row names is missing because the row has changed since
     */
    void start(std::function<void(bool isComplete)> recovered);

    const std::vector<ReadShard> &shards() const;

    /** @return the row of the shard with every span closed and without empty spans. */
    ShardRow closedRow(const ReadShard &shard) const;

    /** Restores the state of a shard from its checkpoint and then from the spans of the row, oldest first. */
    void replay(const ReadShard &shard, const ShardRow &row, ShardState &state) const;

private:
    using Groups = std::map<GroupNumber, JournalGroup>;

    /** A checkpoint and the runs it names. */
    struct LoadedCheckpoint
    {
        Checkpoint checkpoint;
        std::map<std::string, ResultRun> runs;
    };

    std::map<SessionNumber, std::vector<JournalSpan>> wantedSpans() const;
    void loadCheckpoint(ShardNumber shard, const std::string &key);
    void loadRun(ShardNumber shard, const std::string &key);
    template <typename Content>
    void load(const std::string &key, std::function<void(std::optional<Content>)> loaded);
    void recoverSpan(const JournalSpan &span);
    void finishOne(bool isComplete);

    Platform &platform;
    Scheduler &scheduler;
    SessionNumber self;
    std::vector<ReadShard> wanted;
    std::map<SessionNumber, Groups> journals;
    /** The last group of each journal that was sealed here. */
    std::map<SessionNumber, GroupNumber> ends;
    std::map<ShardNumber, LoadedCheckpoint> checkpoints;
    std::size_t pending = 0;
    bool complete = true;
    std::function<void(bool)> recovered;
};

} // namespace Dogwoodkeel
