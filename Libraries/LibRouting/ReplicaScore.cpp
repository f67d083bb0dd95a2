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

double rampShare(const Replica &replica, SteadyTime now, std::chrono::milliseconds slowStart)
{
    const auto age = now - replica.rampStart;
    if (age >= slowStart) {
        return 1;
    }
    const double share = std::chrono::duration<double>(age) / std::chrono::duration<double>(slowStart);
    return std::max(leastRamp, share);
}

double replicaCost(const Replica &replica,
                   const PoolMeans &means,
                   const FailureDomain &failureDomain,
                   std::uint64_t prefix,
                   SteadyTime now,
                   const FleetSettings &settings)
{
    const double capacity = std::max(1.0, static_cast<double>(replica.capacity));
    const double others = means.othersPerCapacity * capacity;
    const double inFlight = estimatedInFlight(replica, now, settings.loadHalfLife, others);
    double cost = relativeServiceTime(replica, means) * (inFlight + 1) / capacity;
    cost /= rampShare(replica, now, settings.slowStart);
    // What fails with probability p has to be sent 1/(1-p) times on average.
    const double failed = replica.failures.valueOr(0) * std::min(1.0, static_cast<double>(replica.failuresInARow));
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
