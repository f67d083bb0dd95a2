#include <LibDispatch/LocalPlacement.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/**
 * Penalty for a replica in another failure domain, in requests: at equal load a replica in the own domain is selected.
 */
constexpr double crossDomainPenalty = 0.5;
/** Bonus for an open connection, in requests. */
constexpr double connectionBonus = 0.6;
/** A blocked replica is selected only if all others are blocked: an attempt is better than no answer. */
constexpr double blockedPenalty = 1000;
/** A replica that failed the request is selected only if there is no other. */
constexpr double avoidedPenalty = 1e6;

} // namespace

LocalPlacement::LocalPlacement(const Clock &clock, std::uint64_t seed)
    : clock(clock), random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void LocalPlacement::setReplicas(const std::vector<DispatchReplica> &replicas)
{
    this->update(updateTo(replicas, this->replicas));
}

void LocalPlacement::update(const ReplicaUpdate &update)
{
    for (const DispatchReplica &traits : update.put) {
        Replica &replica = this->replicas[traits.instance];
        replica.traits = traits;
        replica.nameHash = nameHashOf(traits.instance);
    }
    for (const EndpointName &instance : update.removed) {
        this->replicas.erase(instance);
    }
}

std::optional<EndpointName> LocalPlacement::select(const FailureDomain &ownDomain, const PlacementTraits &request)
{
    std::optional<EndpointName> best;
    double bestScore = 0;
    std::uniform_real_distribution<double> tieBreak(0, 0.25);
    for (const auto &[instance, replica] : this->replicas) {
        if (replica.traits.isDraining || !request.acceptsVersion(replica.traits.version)) {
            continue;
        }
        const bool maySend = replica.breaker.maySend(this->clock.now());
        const bool isAvoided = request.avoids(instance);
        if (isAvoided && !maySend) {
            // The request would fail there again at once, and run out of attempts.
            continue;
        }
        const double domainPenalty = replica.traits.failureDomain == ownDomain ? 0 : crossDomainPenalty;
        const double bonus = request.isConnectedTo(replica.nameHash) ? connectionBonus : 0;
        const double load = (replica.running + domainPenalty - bonus + tieBreak(this->random)) / replica.traits.slots;
        const double score = load + (maySend ? 0 : blockedPenalty) + (isAvoided ? avoidedPenalty : 0);
        if (!best || score < bestScore) {
            best = instance;
            bestScore = score;
        }
    }
    return best;
}

void LocalPlacement::begin(const EndpointName &instance)
{
    const auto replica = this->replicas.find(instance);
    if (replica != this->replicas.end()) {
        ++replica->second.running;
        replica->second.breaker.recordSent(this->clock.now());
    }
}

void LocalPlacement::end(const EndpointName &instance, PlacementVerdict verdict)
{
    const auto replica = this->replicas.find(instance);
    if (replica != this->replicas.end()) {
        replica->second.running -= std::min<std::uint32_t>(replica->second.running, 1);
        replica->second.breaker.recordEnd(verdict, this->clock.now());
    }
}

} // namespace Dogwoodkeel
