#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>
#include <LibJournal/JournalWriter.h>
#include <LibPlatform/Platform.h>
#include <Services/Owner/ShardState.h>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Writes checkpoints of shards to objects and makes the shard rows refer to them, so that a new owner replays little and
 * old journal groups can be deleted. New results become a sorted run of the shard's index. Recent runs are merged,
 * expired ones are deleted.
 *
 * Objects are written before the row that names them and are deleted only when no row names them. A reader with an
 * outdated row may therefore find an object missing, which shows that the row has changed.
 */
class Checkpointer
{
public:
    /** Thresholds for writing a checkpoint, and sizes of its objects. */
    struct Options
    {
        /** Size of the new results that makes a checkpoint due, in bytes. */
        std::size_t bytes = 4194304;
        /** Growth of the journal that makes a checkpoint due, in groups. */
        std::uint64_t groups = 2000;
        std::chrono::milliseconds retention{604800000};
        std::size_t blockBytes = 1048576;
        /** Number of recent runs at which they are merged into one. */
        std::size_t runsToMerge = 4;
        /** Max total size of the runs that are merged. */
        std::size_t mergeBytes = 67108864;
        /** Before a planned handover, growth by `groups` divided by this number already justifies a checkpoint. */
        std::uint64_t handoverDivisor = 10;
    };

    Checkpointer(Platform &platform,
                 Scheduler &scheduler,
                 const Clock &clock,
                 SessionNumber self,
                 const JournalWriter &journal,
                 Options options);
    ~Checkpointer();
    Checkpointer(const Checkpointer &) = delete;
    Checkpointer &operator=(const Checkpointer &) = delete;

    /** @return whether a checkpoint is being written. Only one is written at a time. */
    bool isBusy() const;

    bool isDue(const ShardState &state) const;

    /** @return whether a checkpoint before a planned handover would save a new owner enough replay to justify its writes. */
    bool isWorthwhileBeforeHandover(const ShardState &state) const;

    /**
     * Writes a checkpoint. The state may change meanwhile; records that become durable then are covered by the row's span.
     * @param ended called when the checkpoint is written or abandoned
     */
    void write(ShardNumber shard, std::shared_ptr<ShardState> state, std::function<void()> ended = {});

private:
    struct Work;

    void chooseRuns(Work &work) const;
    void readMerged(const std::shared_ptr<Work> &work);
    void build(const std::shared_ptr<Work> &work);
    void buildRun(Work &work, const std::string &nonce) const;
    void putNext(const std::shared_ptr<Work> &work);
    void swapRow(const std::shared_ptr<Work> &work);
    void readBack(const std::shared_ptr<Work> &work);
    void adopt(Work &work, RowVersion version);
    void finish(const std::shared_ptr<Work> &work);
    void sweep(ShardNumber shard, const std::shared_ptr<ShardState> &state);
    std::uint64_t growth(const ShardState &state) const;
    void retry(const std::shared_ptr<Work> &work, void (Checkpointer::*step)(const std::shared_ptr<Work> &));

    Platform &platform;
    Scheduler &scheduler;
    const Clock &clock;
    SessionNumber self;
    const JournalWriter &journal;
    Options options;
    bool busy = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
