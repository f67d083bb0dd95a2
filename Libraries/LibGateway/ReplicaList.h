#pragma once

#include <LibBase/Clock.h>
#include <LibGateway/ServingReplica.h>

#include <chrono>
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
    /** @param lapsedKept how long after the platform's return a missing entry is kept */
    ReplicaList(const Clock &clock, std::chrono::milliseconds lapsedKept);

    /** Take a whole list, as it is after a start or a gap in what was followed. */
    void replaceAll(const std::vector<ServingReplica> &replicas);

    /** Take a whole list from a node that kept to this class itself: nothing beside it is kept. */
    void replaceNow(const std::vector<ServingReplica> &replicas);

    /** Take a new or changed entry. */
    void put(const ServingReplica &replica);

    /** Take the end of an entry. */
    void remove(const EndpointName &instance);

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

    const Clock &clock;
    std::chrono::milliseconds lapsedKept;
    std::map<EndpointName, ServingReplica> list;
    /** Entries that are gone from the platform. */
    std::vector<EndpointName> lapsed;
    bool isAway = false;
    std::optional<SteadyTime> returned;
};

} // namespace Dogwoodkeel
