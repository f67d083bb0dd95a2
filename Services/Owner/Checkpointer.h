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
 * Writes a shard's state to objects and lets its row start from there, so that a new owner replays little and the old
 * groups can go. New results become a sorted run of the shard's index; young runs are merged, old ones are deleted.
 *
 * Objects are written before the row that names them, and deleted after no row names them. So whoever read a row a while
 * ago may find an object gone, and then knows that the row has changed.
 */
class Checkpointer
{
public:
    /** When to write, and how large the parts are. */
    struct Options
    {
        /** New results, in bytes. */
        std::size_t bytes = 4194304;
        /** Growth of the journal, in groups. */
        std::uint64_t groups = 2000;
        std::chrono::milliseconds retention{604800000};
        std::size_t blockBytes = 1048576;
        /** Young runs that are merged into one when there are so many. */
        std::size_t runsToMerge = 4;
        /** Runs larger than this together are not merged. */
        std::size_t mergeBytes = 67108864;
        /** Growth of the journal that makes a checkpoint worth it before a planned handover, as a part of groups. */
        std::uint64_t handoverPart = 10;
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

    /** @return whether a checkpoint is being written; there is one at a time. */
    bool isBusy() const;

    bool isDue(const ShardState &state) const;

    /** @return whether a new owner would replay so much that a checkpoint before a planned handover is worth its writes. */
    bool isWorthBeforeHandover(const ShardState &state) const;

    /**
     * Write a checkpoint. The state may go on changing; what becomes durable meanwhile is left to the row's span.
     * @param ended told when it is written, or given up
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
