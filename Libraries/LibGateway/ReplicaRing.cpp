#include <LibGateway/ReplicaRing.h>

#include <LibBase/Hash.h>
#include <LibGateway/ReplicaList.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

std::uint64_t placeOf(const ServingReplica &replica)
{
    return stableHash(replica.instance.value());
}

} // namespace

void ReplicaRing::addBehind(const Ring &ring, std::uint64_t place, std::size_t most, Selection &choice)
{
    auto next = ring.lower_bound(place);
    for (std::size_t count = 0; count < std::min(most, ring.size()); ++count) {
        if (next == ring.end()) {
            next = ring.begin();
        }
        choice.replicas.push_back(next->second.replica);
        choice.fingerprint ^= next->second.fingerprint;
        ++next;
    }
}

void ReplicaRing::put(const ServingReplica &replica)
{
    if (replica.isDraining) {
        this->remove(replica);
        return;
    }
    this->services[replica.service][replica.failureDomain].insert_or_assign(placeOf(replica),
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
        ring->second.erase(placeOf(replica));
    }
}

void ReplicaRing::clear()
{
    this->services.clear();
}

ReplicaRing::Selection ReplicaRing::select(std::uint64_t node, const FailureDomain &near, std::size_t most) const
{
    Selection choice;
    for (const auto &[name, domains] : this->services) {
        std::size_t far = 0;
        for (const auto &[domain, ring] : domains) {
            far += domain == near ? 0 : ring.size();
        }
        const auto own = domains.find(near);
        const std::size_t ownSize = own != domains.end() ? own->second.size() : 0;
        // If the local domain or the other domains have too few replicas, the other side provides the remainder.
        const std::size_t wantedFar = std::max(most / 4, most - std::min(most, ownSize));
        const std::size_t wantedNear = most - std::min(wantedFar, far);
        if (own != domains.end()) {
            addBehind(own->second, node, wantedNear, choice);
        }
        std::size_t left = std::min(wantedFar, far);
        for (const auto &[domain, ring] : domains) {
            if (domain == near || far == 0) {
                continue;
            }
            // In proportion to the replicas of each remote failure domain; the shares add up to the total without rounding loss.
            const std::size_t share = left * ring.size() / far;
            addBehind(ring, node, share, choice);
            left -= share;
            far -= ring.size();
        }
    }
    return choice;
}

} // namespace Dogwoodkeel
