#pragma once

#include <LibFleet/Replica.h>
#include <LibSettings/Generated/Settings.h>

#include <vector>

namespace Dogwoodkeel
{

/** What a pool's replicas are on average; renewed at intervals, so that no choice looks at all of them. */
struct PoolMeans
{
    /** The other nodes' requests per unit of capacity. */
    double othersPerCapacity = 0;
    /** How full the replicas are, weighted by their service time, as busyness() has it. */
    double busyness = 0;
    /** Seconds; 0 if nothing was measured. */
    double serviceTime = 0;
    /** How long a request lasts, in seconds; 0 if nothing was measured. */
    double lifetime = 0;
};

/** @return the means of replicas; those of a pool that can be used. */
PoolMeans meansOf(const std::vector<Replica *> &replicas, SteadyTime now, const FleetSettings &settings);

/** @return requests on a replica, of all nodes, as far as this one can tell. */
double estimatedRequests(const Replica &replica, const PoolMeans &means, SteadyTime now, const FleetSettings &settings);

/**
 * @return how much of its share a replica should get by now: near 0 when it is new or returned, 1 at the end of its slow
 * start
 */
double rampShare(const Replica &replica, SteadyTime now, std::chrono::milliseconds slowStart);

/**
 * How full a replica is, weighted by its service time: requests per place, times how much longer than the mean it takes.
 * @param more requests to count beside those that are there
 */
double busyness(const Replica &replica, const PoolMeans &means, double more, SteadyTime now, const FleetSettings &settings);

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
