#pragma once

#include <LibBase/Clock.h>
#include <LibGateway/ReplicaChanges.h>
#include <LibGateway/ServingReplica.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Dogwoodkeel
{

/** @return a hash of an entry; that of a list is the XOR of those of its entries. */
std::uint64_t fingerprintOf(const ServingReplica &replica);

/**
 * The replicas that the platform lists. While the platform is away, entries of replicas that live lapse, and they are back
 * a little after its return; so an entry that goes around an outage is kept for that time, or all requests would be refused
 * for want of a replica.
 *
 * Finding one, and changing one, takes the same time however many there are: each node takes each change of each replica.
 */
class ReplicaList
{
public:
    using Replicas = std::unordered_map<EndpointName, ServingReplica>;

    /** Told of the incarnation that is over when a replica has started again under its name. */
    using Restarted = std::function<void(const ServingReplica &former)>;

    /** @param lapsedKept how long after the platform's return a missing entry is kept */
    ReplicaList(const Clock &clock, std::chrono::milliseconds lapsedKept, Restarted restarted);

    /** Take a whole list, as it is after a start or a gap in what was followed. */
    void replaceAll(const std::vector<ServingReplica> &replicas);

    /** Take a whole list from a node that kept to this class itself: nothing beside it is kept. */
    void replaceNow(const std::vector<ServingReplica> &replicas);

    /** Take a new or changed entry. */
    void put(const ServingReplica &replica);

    /** Take the end of an entry. */
    void remove(const EndpointName &registeredName);

    /**
     * An entry can't be read any more: it names no replica to use until it is right again. What runs there goes on, as at one
     * that leaves, for most likely the replica is as it was and only its entry is spoilt.
     */
    void holdBack(const EndpointName &registeredName);

    /** Drop the entries whose time is over. */
    void expire();

    /** The platform could not be reached just now. */
    void noteOutage();

    /** The platform answered. */
    void noteAnswer();

    /** @return whether the platform has not answered since an outage began. */
    bool isOut() const;

    /** @return what changed since the last call. */
    ReplicaChanges takeChanges();

    /** @return the entry with an address, or null. */
    const ServingReplica *findAt(const Address &address) const;

    /** @return the entry under a registered name, or null. */
    const ServingReplica *findRegistered(const EndpointName &registeredName) const;

    /** @return whether entries are kept that the platform does not list any more. */
    bool hasLapsed() const;

    /** @return a hash of all entries, whatever their order; the same lists have the same. */
    std::uint64_t fingerprint() const;

    /** @return the entries by instance, lapsed ones that are still kept among them. */
    const Replicas &replicas() const;

private:
    bool isAroundOutage() const;
    void erase(const EndpointName &instance);
    void change(const EndpointName &instance);

    const Clock &clock;
    std::chrono::milliseconds lapsedKept;
    Restarted restarted;
    Replicas list;
    /** An address, and a registered name, belong to one replica at a time. */
    std::map<Address, EndpointName> byAddress;
    std::unordered_map<EndpointName, EndpointName> byRegisteredName;
    /** Entries that are gone from the platform. */
    std::unordered_set<EndpointName> lapsed;
    std::unordered_set<EndpointName> changed;
    std::unordered_map<EndpointName, ServingReplica> removed;
    std::uint64_t hash = 0;
    bool isAway = false;
    std::optional<SteadyTime> returned;
};

} // namespace Dogwoodkeel
