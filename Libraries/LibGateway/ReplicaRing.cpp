#include <LibGateway/ReplicaRing.h>

#include <LibBase/Hash.h>
#include <LibGateway/ReplicaList.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

std::uint64_t positionOf(const ServingReplica &replica)
{
    return stableHash(replica.instance.value());
}

} // namespace

void ReplicaRing::addSuccessors(const Ring &ring, std::uint64_t position, std::size_t maxCount, Selection &selection)
{
    auto next = ring.lower_bound(position);
    for (std::size_t count = 0; count < std::min(maxCount, ring.size()); ++count) {
        if (next == ring.end()) {
            next = ring.begin();
        }
        selection.replicas.push_back(next->second.replica);
        selection.fingerprint ^= next->second.fingerprint;
        ++next;
    }
}

void ReplicaRing::put(const ServingReplica &replica)
{
    if (replica.isDraining) {
        this->remove(replica);
        return;
    }
    this->services[replica.service][replica.failureDomain].insert_or_assign(positionOf(replica),
                                                                            Entry{replica, fingerprintOf(replica)});
}

void ReplicaRing::remove(const ServingReplica &replica)
{
    const auto service = this->services.find(replica.service);
    if (service == this->services.end()) {
        return;
    }
    const auto ring = service->second.find(replica.failureDomain);
    if (ring != service->second.end()) {
        ring->second.erase(positionOf(replica));
    }
}

void ReplicaRing::clear()
{
    this->services.clear();
}

ReplicaRing::Selection ReplicaRing::select(std::uint64_t node, const FailureDomain &localDomain, std::size_t maxCount) const
{
    Selection selection;
    for (const auto &[name, domains] : this->services) {
        std::size_t remoteCount = 0;
        for (const auto &[domain, ring] : domains) {
            remoteCount += domain == localDomain ? 0 : ring.size();
        }
        const auto localRing = domains.find(localDomain);
        const std::size_t localSize = localRing != domains.end() ? localRing->second.size() : 0;
        // If the local domain or the other domains have too few replicas, the other side provides the remainder.
        const std::size_t remoteWanted = std::max(maxCount / 4, maxCount - std::min(maxCount, localSize));
        const std::size_t localWanted = maxCount - std::min(remoteWanted, remoteCount);
        if (localRing != domains.end()) {
            addSuccessors(localRing->second, node, localWanted, selection);
        }
        std::size_t remaining = std::min(remoteWanted, remoteCount);
        for (const auto &[domain, ring] : domains) {
            if (domain == localDomain || remoteCount == 0) {
                continue;
            }
            // In proportion to the replicas of each remote failure domain; the shares add up to the total without rounding loss.
            const std::size_t share = remaining * ring.size() / remoteCount;
            addSuccessors(ring, node, share, selection);
            remaining -= share;
            remoteCount -= ring.size();
        }
    }
    return selection;
}

} // namespace Dogwoodkeel
