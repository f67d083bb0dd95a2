#pragma once

#include <LibBatch/JobTable.h>
#include <LibJournal/RequestTable.h>
#include <LibJournal/ResultIndex.h>
#include <LibPlatform/Outcomes.h>
#include <LibWire/Generated/Messages.h>

namespace Dogwoodkeel
{

/** The state of a shard that this node owns. */
struct ShardState
{
    /** Lease times and sizes. */
    struct Options
    {
        std::chrono::milliseconds claimLease{120000};
        std::chrono::milliseconds itemLease{30000};
        std::size_t recentBytes = 4194304;
    };

    ShardState(const Clock &clock, ObjectStore &objects, const Options &options)
        : requests(clock, options.claimLease, options.recentBytes), jobs(clock, options.itemLease), index(objects)
    {
    }

    /** The shard's row, and the version it was written at. */
    ShardRow row;
    RowVersion version = 0;
    RequestTable requests;
    JobTable jobs;
    /** Results that were moved from memory to runs. */
    ResultIndex index;
    /** Whether a checkpoint is being written. Only the checkpoint may change the row then. */
    bool isCheckpointing = false;
    /** Whether a checkpoint was started because the shard is to be handed over. */
    bool isHandoverPrepared = false;
    /** Whether unreferenced objects of former owners have been searched for. */
    bool isSwept = false;

    /** Applies one journalled decision. Records that cannot be decoded are logged and skipped. */
    void replay(const JournalRecord &record);
};

} // namespace Dogwoodkeel
