#include <LibGateway/RecentReplicas.h>

namespace Dogwoodkeel
{

namespace
{

/** Limits memory; several times the number of connections to replicas that a node keeps. */
constexpr std::size_t maxReplicas = 1024;

} // namespace

void RecentReplicas::add(const ServingReplica &replica)
{
    if (this->byAddress.insert_or_assign(replica.address, replica).second) {
        this->order.push_back(replica.address);
    }
    if (this->order.size() > maxReplicas) {
        this->byAddress.erase(this->order.front());
        this->order.pop_front();
    }
}

const ServingReplica *RecentReplicas::findAt(const Address &address) const
{
    const auto found = this->byAddress.find(address);
    return found != this->byAddress.end() ? &found->second : nullptr;
}

} // namespace Dogwoodkeel
