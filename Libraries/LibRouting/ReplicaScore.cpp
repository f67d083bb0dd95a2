#include <LibRouting/ReplicaScore.h>

#include <LibFleet/FleetState.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** Cost of a replica in another failure domain: a few more network hops, far less than a slot in its batch. */
constexpr double remoteCost = 0.05;
/** Cost reduction for a cached prefix, as a share of a replica's slots. */
constexpr double prefixDiscount = 0.15;
/** Bound of the ratio between measured and mean service time, in both directions. */
constexpr double speedBound = 4;
/** Upper bound of the failure share, which keeps the cost finite. */
constexpr double maxFailureShare = 0.9;
constexpr double minRampShare = 0.1;

double relativeServiceTime(const Replica &replica, const PoolMeans &means)
{
    if (means.serviceTime <= 0) {
        return 1;
    }
    const double relative = replica.serviceTime.valueOr(means.serviceTime) / means.serviceTime;
    return std::clamp(relative, 1 / speedBound, speedBound);
}

} // namespace

PoolMeans meansOf(const std::vector<Replica *> &replicas, SteadyTime now, const FleetSettings &settings)
{
    double weightedCapacity = 0;
    double weightedOtherNodes = 0;
    double serviceTime = 0;
    double measured = 0;
    double lifetime = 0;
    for (const Replica *const replica : replicas) {
        // Each replica is weighted by the freshness of its reports.
        const double freshness = decayFactor(now - replica->otherNodes.at, settings.loadHalfLife);
        weightedCapacity += freshness * replica->capacity;
        weightedOtherNodes += freshness * replica->otherNodes.average.valueOr(0);
        const double seconds = replica->serviceTime.valueOr(0);
        serviceTime += seconds;
        measured += seconds > 0 ? 1 : 0;
        lifetime += replica->lifetime.valueOr(0);
    }
    PoolMeans means;
    means.otherNodesPerCapacity = weightedCapacity > 0 ? weightedOtherNodes / weightedCapacity : 0;
    means.serviceTime = measured > 0 ? serviceTime / measured : 0;
    means.lifetime = measured > 0 ? lifetime / measured : 0;
    double utilizationSum = 0;
    for (const Replica *const replica : replicas) {
        utilizationSum += utilization(*replica, means, 0, now, settings);
    }
    means.utilization = replicas.empty() ? 0 : utilizationSum / static_cast<double>(replicas.size());
    return means;
}

double estimatedRequests(const Replica &replica, const PoolMeans &means, SteadyTime now, const FleetSettings &settings)
{
    const LoadPrior prior{
        means.otherNodesPerCapacity * replica.capacity, std::chrono::duration<double>(means.lifetime), settings.loadHalfLife};
    return estimatedInFlight(replica, now, prior);
}

double rampShare(const Replica &replica, SteadyTime now, std::chrono::milliseconds slowStart)
{
    const auto age = now - replica.rampStart;
    if (age >= slowStart) {
        return 1;
    }
    const double share = std::chrono::duration<double>(age) / std::chrono::duration<double>(slowStart);
    return std::max(minRampShare, share);
}

double utilization(
    const Replica &replica, const PoolMeans &means, double additionalRequests, SteadyTime now, const FleetSettings &settings)
{
    const double capacity = std::max(1.0, static_cast<double>(replica.capacity));
    const double inFlight = estimatedRequests(replica, means, now, settings);
    const double slots = capacity * rampShare(replica, now, settings.slowStart);
    return relativeServiceTime(replica, means) * (inFlight + additionalRequests) / slots;
}

double replicaCost(const Replica &replica,
                   const PoolMeans &means,
                   const FailureDomain &failureDomain,
                   std::uint64_t prefix,
                   SteadyTime now,
                   const FleetSettings &settings)
{
    double cost = utilization(replica, means, 1, now, settings);
    // With failure probability p, a request needs 1/(1-p) attempts on average.
    const double failed = replica.failures.valueOr(0) * std::min(1.0, static_cast<double>(replica.consecutiveFailures));
    cost /= 1 - std::min(failed, maxFailureShare);
    if (prefix != 0) {
        cost -= prefixDiscount * replica.prefixes.confidence(prefix);
    }
    if (replica.failureDomain != failureDomain) {
        cost += remoteCost;
    }
    return cost;
}

} // namespace Dogwoodkeel
