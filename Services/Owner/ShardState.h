#pragma once

#include <LibBatch/JobTable.h>
#include <LibJournal/RequestTable.h>
#include <LibPlatform/Outcomes.h>
#include <LibWire/Generated/Messages.h>

namespace Dogwoodkeel
{

/** A shard that this node owns. */
struct ShardState
{
    ShardState(const Clock &clock, std::chrono::milliseconds claimLease, std::chrono::milliseconds itemLease)
        : requests(clock, claimLease), jobs(clock, itemLease)
    {
    }

    /** The shard's row, and the version it was written at. */
    ShardRow row;
    RowVersion version = 0;
    RequestTable requests;
    JobTable jobs;

    /** Take over one journalled decision. Records that cannot be read are reported and left out. */
    void replay(const JournalRecord &record);
};

} // namespace Dogwoodkeel
