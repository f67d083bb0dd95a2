#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/PlacementTypes.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace Dogwoodkeel
{

/**
 * What of a replica is taken: what its dispatcher has placed there, and what the replica itself told of more.
 *
 * A dispatcher that has just begun knows nothing of what others have placed before it. After a loss of all nodes nobody does, and
 * the replicas go on with it: they would be filled a second time, and what comes first would wait in their queues.
 */
class ReplicaSlots
{
public:
    /** Something was placed there. */
    void acquire(WorkClass work);

    /** It is over, or was told to stop. */
    void release(WorkClass work, SteadyTime now);

    /** The replica said how much it has. */
    void recordReport(const ReportedLoad &load, SteadyTime now);

    /** @return online requests that were placed there. */
    std::uint32_t online() const;

    /** @return batch items that were placed there and not told to stop. */
    std::uint32_t batch() const;

    /** @return slots that are taken, by whomever. */
    std::uint32_t used(SteadyTime now) const;

    /** @return when what the replica told is too old to count, if that changes something after now. */
    std::optional<SteadyTime> reportExpiresAt(SteadyTime now) const;

    /** @return whether it may get one more item. Where it isn't known what others have there, one item at a time asks. */
    bool mayAcceptItem(SteadyTime now) const;

private:
    void removeOldReleases(SteadyTime now);
    bool isReportFresh(SteadyTime now) const;

    std::uint32_t onlineCount = 0;
    std::uint32_t batchCount = 0;
    /** What was released a moment ago. */
    std::deque<SteadyTime> recentReleases;
    bool hasReport = false;
    /** What it has that was not placed by this dispatcher, as it was told last. */
    std::uint32_t otherRequests = 0;
    SteadyTime reportedAt{};
    /** Items that were placed since it told last. */
    std::uint32_t itemsSinceReport = 0;
};

} // namespace Dogwoodkeel
