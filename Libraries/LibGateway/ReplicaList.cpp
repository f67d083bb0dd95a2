#include <LibGateway/ReplicaList.h>

#include <algorithm>
#include <set>

namespace Dogwoodkeel
{

ReplicaList::ReplicaList(const Clock &clock, std::chrono::milliseconds lapsedKept) : clock(clock), lapsedKept(lapsedKept)
{
}

void ReplicaList::replaceAll(const std::vector<ServingReplica> &replicas)
{
    std::set<EndpointName> present;
    for (const ServingReplica &replica : replicas) {
        present.insert(replica.instance);
        this->put(replica);
    }
    std::vector<EndpointName> missing;
    for (const auto &[instance, replica] : this->list) {
        if (!present.contains(instance)) {
            missing.push_back(instance);
        }
    }
    for (const EndpointName &instance : missing) {
        this->remove(instance);
    }
}

void ReplicaList::replaceNow(const std::vector<ServingReplica> &replicas)
{
    this->list.clear();
    this->lapsed.clear();
    for (const ServingReplica &replica : replicas) {
        this->put(replica);
    }
}

bool ReplicaList::isOut() const
{
    return this->isAway;
}

void ReplicaList::put(const ServingReplica &replica)
{
    std::erase(this->lapsed, replica.instance);
    // An address belongs to one replica at a time: whoever had it before is gone, whatever the list still says.
    std::erase_if(this->list, [&replica](const auto &entry) {
        return entry.second.address == replica.address && entry.first != replica.instance;
    });
    this->list.insert_or_assign(replica.instance, replica);
}

void ReplicaList::remove(const EndpointName &instance)
{
    const auto found = this->list.find(instance);
    if (found == this->list.end()) {
        return;
    }
    if (this->isAroundOutage() && !found->second.isDraining) {
        if (std::ranges::find(this->lapsed, instance) == this->lapsed.end()) {
            this->lapsed.push_back(instance);
        }
        return;
    }
    this->list.erase(found);
}

void ReplicaList::noteOutage()
{
    this->isAway = true;
}

void ReplicaList::noteAnswer()
{
    if (this->isAway) {
        this->isAway = false;
        this->returned = this->clock.now();
    }
}

bool ReplicaList::expire()
{
    if (this->isAroundOutage() || this->lapsed.empty()) {
        return false;
    }
    for (const EndpointName &instance : this->lapsed) {
        this->list.erase(instance);
    }
    this->lapsed.clear();
    return true;
}

const std::map<EndpointName, ServingReplica> &ReplicaList::replicas() const
{
    return this->list;
}

bool ReplicaList::isAroundOutage() const
{
    return this->isAway || (this->returned && this->clock.now() - *this->returned < this->lapsedKept);
}

} // namespace Dogwoodkeel
