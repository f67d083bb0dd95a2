#include <LibGateway/ReplicaList.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

std::uint64_t fingerprintOf(const ServingReplica &replica)
{
    std::uint64_t hash = stableHash(replica.instance.value());
    for (const std::string &text : {replica.registeredName.value(),
                                    replica.service.value(),
                                    replica.address.toString(),
                                    replica.failureDomain.value(),
                                    replica.version.value(),
                                    std::to_string(replica.slots * 2 + (replica.isDraining ? 1 : 0))}) {
        hash = stableHash(text, hash);
    }
    return hash;
}

ReplicaList::ReplicaList(const Clock &clock, const LapseRules &rules, Hooks hooks)
    : clock(clock), rules(rules), hooks(std::move(hooks)), confirmed(clock.now()), outageStart(clock.now())
{
}

void ReplicaList::replaceAll(const std::vector<ListedReplica> &replicas)
{
    std::unordered_set<EndpointName> present;
    for (const ListedReplica &entry : replicas) {
        present.insert(entry.replica.instance);
        this->put(entry);
    }
    std::vector<EndpointName> missing;
    for (const auto &[instance, replica] : this->list) {
        if (!present.contains(instance)) {
            missing.push_back(replica.registeredName);
        }
    }
    this->remove(missing);
}

void ReplicaList::replaceExactly(const std::vector<ListedReplica> &replicas)
{
    this->lapsed.clear();
    const SteadyTime now = this->clock.now();
    std::unordered_set<EndpointName> present;
    for (const ListedReplica &entry : replicas) {
        present.insert(entry.replica.instance);
        this->put(entry);
        if (entry.keptFor) {
            this->lapsed.insert_or_assign(entry.replica.instance, Lapsed{now, now + *entry.keptFor});
        }
    }
    std::vector<EndpointName> missing;
    for (const auto &[instance, replica] : this->list) {
        if (!present.contains(instance)) {
            missing.push_back(instance);
        }
    }
    for (const EndpointName &instance : missing) {
        this->erase(instance);
    }
}

void ReplicaList::confirmEntries()
{
    this->lapsed.clear();
}

bool ReplicaList::isPlatformUnreachable() const
{
    return this->isUnreachable;
}

void ReplicaList::put(const ListedReplica &entry)
{
    const ServingReplica &replica = entry.replica;
    this->lapsed.erase(replica.instance);
    this->origins.insert_or_assign(replica.instance, entry.origin);
    const auto known = this->list.find(replica.instance);
    if (known != this->list.end() && known->second == replica) {
        return;
    }
    if (known != this->list.end() && known->second.isDraining && !replica.isDraining) {
        this->hooks.resumed(entry);
    }
    const ServingReplica *const sameName = this->findRegistered(replica.registeredName);
    if (sameName != nullptr && sameName->instance != replica.instance) {
        const ServingReplica former = *sameName;
        this->erase(former.instance);
        this->hooks.restarted(former);
    }
    // An address belongs to one replica at a time, so the replica that had it before no longer exists, even if it is still
    // listed.
    const ServingReplica *const sameAddress = this->findAt(replica.address);
    if (sameAddress != nullptr && sameAddress->instance != replica.instance) {
        this->erase(EndpointName(sameAddress->instance));
    }
    if (known != this->list.end() && known->second.service != replica.service) {
        this->erase(EndpointName(replica.instance));
        this->origins.insert_or_assign(replica.instance, entry.origin);
    } else if (known != this->list.end()) {
        this->hash ^= fingerprintOf(known->second);
        this->byAddress.erase(known->second.address);
        this->byRegisteredName.erase(known->second.registeredName);
    }
    this->list.insert_or_assign(replica.instance, replica);
    this->hash ^= fingerprintOf(replica);
    this->byAddress.insert_or_assign(replica.address, replica.instance);
    this->byRegisteredName.insert_or_assign(replica.registeredName, replica.instance);
    this->recordChange(replica.instance);
}

void ReplicaList::erase(const EndpointName &instance)
{
    auto node = this->list.extract(instance);
    if (node.empty()) {
        return;
    }
    const ServingReplica &replica = node.mapped();
    this->hash ^= fingerprintOf(replica);
    this->byAddress.erase(replica.address);
    this->byRegisteredName.erase(replica.registeredName);
    this->lapsed.erase(replica.instance);
    this->origins.erase(replica.instance);
    this->changed.erase(replica.instance);
    this->removed.insert_or_assign(replica.instance, replica);
}

void ReplicaList::recordChange(const EndpointName &instance)
{
    this->changed.insert(instance);
    const auto former = this->removed.find(instance);
    if (former != this->removed.end() && former->second.service == this->list.at(instance).service) {
        this->removed.erase(former);
    }
}

ReplicaChanges ReplicaList::popChanges()
{
    ReplicaChanges changes;
    for (const EndpointName &instance : std::exchange(this->changed, {})) {
        changes.put.push_back(this->list.at(instance));
    }
    for (auto &[instance, replica] : std::exchange(this->removed, {})) {
        changes.removed.push_back(replica);
    }
    return changes;
}

void ReplicaList::remove(const std::vector<EndpointName> &registeredNames)
{
    std::vector<ServingReplica> gone;
    for (const EndpointName &registeredName : registeredNames) {
        const ServingReplica *const found = this->findRegistered(registeredName);
        if (found != nullptr && !this->lapsed.contains(found->instance)) {
            gone.push_back(*found);
        }
    }
    // Replicas leave a few at a time. If most are gone at once, the platform has lost their entries.
    const bool areMostGone = gone.size() * 2 > this->list.size() - this->lapsed.size();
    for (const ServingReplica &replica : gone) {
        const bool mayReturn = areMostGone || this->mayLapse();
        if (!mayReturn || replica.isDraining || !this->isRetainingLapsed()) {
            this->erase(replica.instance);
            continue;
        }
        this->lapsed.emplace(replica.instance, Lapsed{this->clock.now(), std::nullopt});
        this->hooks.kept(replica);
    }
}

bool ReplicaList::mayLapse() const
{
    // The newest heartbeat was sent at most one interval before the outage, and three have to be missing.
    return this->clock.now() - this->outageStart >= this->rules.heartbeatInterval * 2;
}

void ReplicaList::markUnreadable(const EndpointName &registeredName)
{
    const ServingReplica *const found = this->findRegistered(registeredName);
    if (found != nullptr && !found->isDraining) {
        ServingReplica &entry = this->list.at(found->instance);
        this->hash ^= fingerprintOf(entry);
        entry.isDraining = true;
        this->hash ^= fingerprintOf(entry);
        this->recordChange(found->instance);
    }
}

const ServingReplica *ReplicaList::findAt(const Address &address) const
{
    const auto found = this->byAddress.find(address);
    return found != this->byAddress.end() ? &this->list.at(found->second) : nullptr;
}

const ServingReplica *ReplicaList::findRegistered(const EndpointName &registeredName) const
{
    const auto found = this->byRegisteredName.find(registeredName);
    return found != this->byRegisteredName.end() ? &this->list.at(found->second) : nullptr;
}

void ReplicaList::recordOutage()
{
    this->isUnreachable = true;
}

void ReplicaList::recordAnswer()
{
    const SteadyTime now = this->clock.now();
    if (std::exchange(this->isUnreachable, false)) {
        // Until all replicas have sent a heartbeat again, another failure belongs to the same outage.
        const bool isSameOutage = this->outageEnd && this->confirmed - *this->outageEnd < this->rules.heartbeatInterval;
        this->outageStart = isSameOutage ? this->outageStart : this->confirmed;
        this->outageEnd = now;
    }
    this->confirmed = now;
}

void ReplicaList::recordConfirmation(SteadyTime at)
{
    this->confirmed = std::max(this->confirmed, at);
}

std::chrono::milliseconds ReplicaList::age() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - this->confirmed);
}

void ReplicaList::expire()
{
    std::vector<EndpointName> expired;
    for (const auto &[instance, entry] : this->lapsed) {
        if (this->isExpired(entry)) {
            expired.push_back(instance);
        }
    }
    for (const EndpointName &instance : expired) {
        this->erase(instance);
    }
}

SteadyTime ReplicaList::keptUntil(const Lapsed &entry) const
{
    return entry.keptUntil.value_or(this->outageEnd.value_or(entry.removed) + this->rules.kept);
}

bool ReplicaList::isExpired(const Lapsed &entry) const
{
    // The list of a node without the platform is not confirmed: its lapsed entries can't reappear.
    const bool isOutage = entry.keptUntil ? this->age() > maxConfirmationAge : this->isUnreachable;
    return !isOutage && this->clock.now() >= this->keptUntil(entry);
}

std::optional<std::chrono::milliseconds> ReplicaList::keptFor(const EndpointName &instance) const
{
    const auto found = this->lapsed.find(instance);
    if (found == this->lapsed.end()) {
        return std::nullopt;
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(this->keptUntil(found->second) - this->clock.now());
    return std::max(left, std::chrono::milliseconds(1));
}

std::optional<EntryState> ReplicaList::state(const EndpointName &instance) const
{
    const auto origin = this->origins.find(instance);
    if (origin == this->origins.end()) {
        return std::nullopt;
    }
    const auto removed = this->lapsed.find(instance);
    return EntryState{origin->second, removed != this->lapsed.end() ? std::optional(removed->second.removed) : std::nullopt};
}

bool ReplicaList::hasLapsed() const
{
    return !this->lapsed.empty();
}

std::uint64_t ReplicaList::fingerprint() const
{
    return this->hash;
}

const ReplicaList::Replicas &ReplicaList::replicas() const
{
    return this->list;
}

bool ReplicaList::isRetainingLapsed() const
{
    return this->isUnreachable || (this->outageEnd && this->clock.now() - *this->outageEnd < this->rules.kept);
}

} // namespace Dogwoodkeel
