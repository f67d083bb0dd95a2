#include <LibRouting/ReplicaScore.h>

#include <LibFleet/FleetState.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** A replica in another failure domain costs a few hops more, far less than a place in its batch. */
constexpr double remoteCost = 0.05;
/** What a cached prefix saves, as a part of a replica's places. */
constexpr double prefixGain = 0.15;
/** However fast or slow a replica was measured, it counts as no more than this many times the mean. */
constexpr double speedBound = 4;
/** Share of failures that is not counted against it: single ones happen everywhere. */
constexpr double worstFailureShare = 0.9;
constexpr double leastRamp = 0.1;

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
    double known = 0;
    double knownOthers = 0;
    double serviceTime = 0;
    double measured = 0;
    double lifetime = 0;
    for (const Replica *const replica : replicas) {
        // Each counts as much as its reports are fresh.
        const double trust = remainingShare(now - replica->others.at, settings.loadHalfLife);
        known += trust * replica->capacity;
        knownOthers += trust * replica->others.average.valueOr(0);
        const double seconds = replica->serviceTime.valueOr(0);
        serviceTime += seconds;
        measured += seconds > 0 ? 1 : 0;
        lifetime += replica->lifetime.valueOr(0);
    }
    PoolMeans means;
    means.othersPerCapacity = known > 0 ? knownOthers / known : 0;
    means.serviceTime = measured > 0 ? serviceTime / measured : 0;
    means.lifetime = measured > 0 ? lifetime / measured : 0;
    double busy = 0;
    for (const Replica *const replica : replicas) {
        busy += busyness(*replica, means, 0, now, settings);
    }
    means.busyness = replicas.empty() ? 0 : busy / static_cast<double>(replicas.size());
    return means;
}

double estimatedRequests(const Replica &replica, const PoolMeans &means, SteadyTime now, const FleetSettings &settings)
{
    const LoadPrior prior{
        means.othersPerCapacity * replica.capacity, std::chrono::duration<double>(means.lifetime), settings.loadHalfLife};
    return estimatedInFlight(replica, now, prior);
}

double rampShare(const Replica &replica, SteadyTime now, std::chrono::milliseconds slowStart)
{
    const auto age = now - replica.rampStart;
    if (age >= slowStart) {
        return 1;
    }
    const double share = std::chrono::duration<double>(age) / std::chrono::duration<double>(slowStart);
    return std::max(leastRamp, share);
}

double busyness(const Replica &replica, const PoolMeans &means, double more, SteadyTime now, const FleetSettings &settings)
{
    const double capacity = std::max(1.0, static_cast<double>(replica.capacity));
    const double inFlight = estimatedRequests(replica, means, now, settings);
    const double places = capacity * rampShare(replica, now, settings.slowStart);
    return relativeServiceTime(replica, means) * (inFlight + more) / places;
}

double replicaCost(const Replica &replica,
                   const PoolMeans &means,
                   const FailureDomain &failureDomain,
                   std::uint64_t prefix,
                   SteadyTime now,
                   const FleetSettings &settings)
{
    double cost = busyness(replica, means, 1, now, settings);
    // What fails with probability p has to be sent 1/(1-p) times on average.
    const double failed = replica.failures.valueOr(0) * std::min(1.0, static_cast<double>(replica.consecutiveFailures));
    cost /= 1 - std::min(failed, worstFailureShare);
    if (prefix != 0) {
        cost -= prefixGain * replica.prefixes.confidence(prefix);
    }
    if (replica.failureDomain != failureDomain) {
        cost += remoteCost;
    }
    return cost;
}

} // namespace Dogwoodkeel
