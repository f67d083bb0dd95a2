#pragma once

#include <LibFleet/Replica.h>
#include <LibSettings/Generated/Settings.h>

namespace Dogwoodkeel
{

/** What a pool's replicas are on average; renewed at intervals, so that no choice looks at all of them. */
struct PoolMeans
{
    /** The other nodes' requests per unit of capacity. */
    double othersPerCapacity = 0;
    /** All requests per unit of capacity. */
    double inFlightPerCapacity = 0;
    /** Seconds; 0 if nothing was measured. */
    double serviceTime = 0;
};

/**
 * @return how much of its share a replica should get by now: near 0 when it is new or returned, 1 at the end of its slow
 * start
 */
double rampShare(const Replica &replica, SteadyTime now, std::chrono::milliseconds slowStart);

/**
 * How long a request would take on a replica, in relation to the others: its service time, from what was measured,
 * times how full it would be. So an old accelerator that takes twice as long gets half as many requests, whatever
 * number of places it claims.
 * @param failureDomain where the choosing node is: a replica there is a little better
 * @param prefix key of the request's prompt prefix, or 0
 * @return the cost; lower is better
 */
double replicaCost(const Replica &replica,
                   const PoolMeans &means,
                   const FailureDomain &failureDomain,
                   std::uint64_t prefix,
                   SteadyTime now,
                   const FleetSettings &settings);

} // namespace Dogwoodkeel
