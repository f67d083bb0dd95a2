#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/PlacementTypes.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace Dogwoodkeel
{

/**
 * Counts the used slots of a replica: those that this dispatcher has placed, and others that the replica reported.
 *
 * A new dispatcher does not know what was placed before it, and after the loss of all nodes no node does, while the
 * replicas go on with those requests. Without the reported load it would fill the replicas a second time, and new
 * requests would wait in their queues.
 */
class ReplicaSlots
{
public:
    /** Records that a request was placed. */
    void acquire(WorkClass work);

    /** Records that a request runs whose placement was not recorded; its replica has most likely answered before. */
    void adopt(WorkClass work);

    /** Records that a placed request ended or was sent a stop order. */
    void release(WorkClass work, SteadyTime now);

    /** Records the load that the replica reported. */
    void recordReport(const ReportedLoad &load, SteadyTime now);

    /** @return online requests placed by this dispatcher. */
    std::uint32_t online() const;

    /** @return batch items placed by this dispatcher that were sent no stop order. */
    std::uint32_t batch() const;

    /** @return used slots, whichever dispatcher placed the requests. */
    std::uint32_t used(SteadyTime now) const;

    /** @return when the last report expires, if that changes the number of used slots. */
    std::optional<SteadyTime> reportExpiresAt(SteadyTime now) const;

    /**
     * @return whether one more batch item may be placed. Without a fresh report of other requests, one item is placed
     * at a time; the answer to it brings the next report.
     */
    bool mayAcceptItem(SteadyTime now) const;

private:
    void removeOldReleases(SteadyTime now);
    bool isReportFresh(SteadyTime now) const;

    std::uint32_t onlineCount = 0;
    std::uint32_t batchCount = 0;
    /** Times of recent releases, which the next report may not reflect yet. */
    std::deque<SteadyTime> recentReleases;
    bool hasReport = false;
    /** Requests of the last report that were not placed by this dispatcher. */
    std::uint32_t otherRequests = 0;
    SteadyTime reportedAt{};
    /** Items placed since the last report. */
    std::uint32_t itemsSinceReport = 0;
};

} // namespace Dogwoodkeel
