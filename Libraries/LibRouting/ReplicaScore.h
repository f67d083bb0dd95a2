#pragma once

#include <LibFleet/Replica.h>
#include <LibSettings/Generated/Settings.h>

#include <vector>

namespace Dogwoodkeel
{

/** Means over the replicas of a pool, refreshed at intervals so that a selection need not examine all of them. */
struct PoolMeans
{
    /** The other nodes' requests per unit of capacity. */
    double otherNodesPerCapacity = 0;
    /** Mean of utilization() over the replicas, without additional requests. */
    double utilization = 0;
    /** Mean service time in seconds; 0 if nothing was measured. */
    double serviceTime = 0;
    /** Mean lifetime of a request in seconds; 0 if nothing was measured. */
    double lifetime = 0;
};

/**
 * @param replicas the usable replicas of a pool
 * @return their means
 */
PoolMeans meansOf(const std::vector<Replica *> &replicas, SteadyTime now, const FleetSettings &settings);

/** @return the estimated number of requests on a replica, of all nodes */
double estimatedRequests(const Replica &replica, const PoolMeans &means, SteadyTime now, const FleetSettings &settings);

/**
 * @return the share of its capacity that a replica may use during its slow start: small after a restart or an
 * ejection, 1 at the end
 */
double rampShare(const Replica &replica, SteadyTime now, std::chrono::milliseconds slowStart);

/**
 * Returns the utilization of a replica, weighted by its service time: requests per slot, times the ratio of its service
 * time to the mean.
 * @param additionalRequests requests to count in addition to those in flight
 */
double utilization(
    const Replica &replica, const PoolMeans &means, double additionalRequests, SteadyTime now, const FleetSettings &settings);

/**
 * Estimates the relative duration of a request on a replica: its measured service time times its utilization. An
 * accelerator that takes twice as long gets half as many requests, whatever number of slots it claims.
 * @param failureDomain the selecting node's failure domain; replicas in it are slightly preferred
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
