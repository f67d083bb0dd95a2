#include <LibGateway/ReplicaList.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Dogwoodkeel
{

ReplicaList::ReplicaList(const Clock &clock, std::chrono::milliseconds lapsedKept, Restarted restarted)
    : clock(clock), lapsedKept(lapsedKept), restarted(std::move(restarted))
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
            missing.push_back(replica.registeredName);
        }
    }
    for (const EndpointName &registeredName : missing) {
        this->remove(registeredName);
    }
}

void ReplicaList::replaceNow(const std::vector<ServingReplica> &replicas)
{
    this->lapsed.clear();
    std::set<EndpointName> present;
    for (const ServingReplica &replica : replicas) {
        present.insert(replica.instance);
        this->put(replica);
    }
    std::erase_if(this->list, [&present](const auto &entry) {
        return !present.contains(entry.first);
    });
}

bool ReplicaList::isOut() const
{
    return this->isAway;
}

void ReplicaList::put(const ServingReplica &replica)
{
    std::erase(this->lapsed, replica.instance);
    this->dropOthersLike(replica);
    this->list.insert_or_assign(replica.instance, replica);
    this->instancesAt.insert_or_assign(replica.address, replica.instance);
    if (this->instancesAt.size() > this->list.size() * 2 + 16) {
        std::erase_if(this->instancesAt, [this](const auto &entry) {
            return !this->list.contains(entry.second);
        });
    }
}

void ReplicaList::dropOthersLike(const ServingReplica &replica)
{
    std::vector<ServingReplica> former;
    std::erase_if(this->list, [&replica, &former](const auto &entry) {
        const ServingReplica &other = entry.second;
        if (other.instance == replica.instance) {
            return false;
        }
        const bool isFormer = other.registeredName == replica.registeredName;
        if (isFormer) {
            former.push_back(other);
        }
        // An address belongs to one replica at a time: whoever had it before is gone, whatever the list still says.
        return isFormer || other.address == replica.address;
    });
    for (const ServingReplica &over : former) {
        std::erase(this->lapsed, over.instance);
        this->restarted(over);
    }
}

void ReplicaList::remove(const EndpointName &registeredName)
{
    const ServingReplica *const found = this->findRegistered(registeredName);
    if (found == nullptr) {
        return;
    }
    const EndpointName instance = found->instance;
    if (this->isAroundOutage() && !found->isDraining) {
        if (std::ranges::find(this->lapsed, instance) == this->lapsed.end()) {
            this->lapsed.push_back(instance);
        }
        return;
    }
    this->list.erase(instance);
}

bool ReplicaList::holdBack(const EndpointName &registeredName)
{
    const ServingReplica *const found = this->findRegistered(registeredName);
    if (found == nullptr || found->isDraining) {
        return false;
    }
    this->list.at(found->instance).isDraining = true;
    return true;
}

const ServingReplica *ReplicaList::findAt(const Address &address) const
{
    const auto named = this->instancesAt.find(address);
    const auto found = named != this->instancesAt.end() ? this->list.find(named->second) : this->list.end();
    return found != this->list.end() && found->second.address == address ? &found->second : nullptr;
}

const ServingReplica *ReplicaList::findRegistered(const EndpointName &registeredName) const
{
    const auto found = std::ranges::find_if(this->list, [&registeredName](const auto &entry) {
        return entry.second.registeredName == registeredName;
    });
    return found != this->list.end() ? &found->second : nullptr;
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
