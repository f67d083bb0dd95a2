#pragma once

#include <LibBatch/JobTable.h>
#include <LibJournal/RequestTable.h>
#include <LibJournal/ResultIndex.h>
#include <LibPlatform/Outcomes.h>
#include <LibWire/Generated/Messages.h>

namespace Dogwoodkeel
{

/** A shard that this node owns. */
struct ShardState
{
    /** Times and sizes. */
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
    /** Results written long ago. */
    ResultIndex index;
    /** A checkpoint is being written: the row must not be changed by anything else. */
    bool isCheckpointing = false;
    /** A checkpoint was begun because the shard is to be handed over. */
    bool isHandoverPrepared = false;
    /** Objects that former owners left behind were looked for. */
    bool isSwept = false;

    /** Take over one journalled decision. Records that cannot be read are reported and left out. */
    void replay(const JournalRecord &record);
};

} // namespace Dogwoodkeel
