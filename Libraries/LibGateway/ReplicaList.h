#pragma once

#include <LibBase/Clock.h>
#include <LibGateway/ServingReplica.h>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * The replicas that the platform lists. While the platform is away, entries of replicas that live lapse, and they are back
 * a little after its return; so an entry that goes around an outage is kept for that time, or all requests would be refused
 * for want of a replica.
 */
class ReplicaList
{
public:
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
     * @return whether there was such an entry in use
     */
    bool holdBack(const EndpointName &registeredName);

    /** @return the entry with an address, or null. */
    const ServingReplica *findAt(const Address &address) const;

    /** @return the entry under a registered name, or null. */
    const ServingReplica *findRegistered(const EndpointName &registeredName) const;

    /** The platform could not be reached just now. */
    void noteOutage();

    /** The platform answered. */
    void noteAnswer();

    /** Drop the entries whose time is over. @return whether there was one */
    bool expire();

    /** @return whether the platform has not answered since an outage began. */
    bool isOut() const;

    /** @return the entries by instance, lapsed ones that are still kept among them. */
    const std::map<EndpointName, ServingReplica> &replicas() const;

private:
    bool isAroundOutage() const;
    void dropOthersLike(const ServingReplica &replica);

    const Clock &clock;
    std::chrono::milliseconds lapsedKept;
    Restarted restarted;
    std::map<EndpointName, ServingReplica> list;
    std::map<Address, EndpointName> instancesAt;
    /** Entries that are gone from the platform. */
    std::vector<EndpointName> lapsed;
    bool isAway = false;
    std::optional<SteadyTime> returned;
};

} // namespace Dogwoodkeel
