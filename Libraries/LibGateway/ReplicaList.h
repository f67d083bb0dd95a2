#pragma once

#include <LibBase/Clock.h>
#include <LibGateway/EntryOrigin.h>
#include <LibGateway/ReplicaChanges.h>
#include <LibGateway/ServingReplica.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/** A platform that has not confirmed the list for this time is lost. Longer than the wait for a change plus a slow answer. */
inline constexpr std::chrono::milliseconds maxConfirmationAge{1600};

/** @return a hash of an entry. The hash of a list is the XOR of the hashes of its entries. */
std::uint64_t fingerprintOf(const ServingReplica &replica);

/** A replica as it was received, with the origin of its entry. */
struct ListedReplica
{
    ListedReplica(ServingReplica replica, EntryOrigin origin = {}) : replica(std::move(replica)), origin(origin)
    {
    }

    ServingReplica replica;
    EntryOrigin origin;
    /** How much longer another node keeps the entry, as it may have lapsed; nothing if the platform lists it. */
    std::optional<std::chrono::milliseconds> keptFor;
};

/** Which entries are kept for how long after the platform has removed them. */
struct LapseRules
{
    /** How long lapsed entries are kept after an outage of the platform ended. */
    std::chrono::milliseconds kept{0};
    /** How often a replica writes its entry, which lapses after three intervals without a heartbeat. */
    std::chrono::milliseconds heartbeatInterval{0};
};

/**
 * The replicas that the platform lists.
 *
 * During an outage of the platform, entries of live replicas lapse and reappear shortly after it ends. An entry that is removed
 * shortly after an outage, and may have lapsed, is therefore kept for a while; otherwise all requests would be refused for lack
 * of replicas. An entry whose replica has left is removed immediately: the replica serves on for a short time only.
 *
 * The cost of a look-up or a change does not grow with the list, as each node applies each change of each replica.
 */
class ReplicaList
{
public:
    using Replicas = std::unordered_map<EndpointName, ServingReplica>;

    struct Hooks
    {
        /** Called with the previous incarnation when a replica has restarted under the same registered name. */
        std::function<void(const ServingReplica &former)> restarted = [](const ServingReplica &) {};
        /** Called when the platform no longer lists a replica, but its entry is kept as it may have lapsed. */
        std::function<void(const ServingReplica &replica)> kept = [](const ServingReplica &) {};
        /** Called when an entry is received that says that a draining replica accepts requests again. */
        std::function<void(const ListedReplica &entry)> resumed = [](const ListedReplica &) {};
    };

    ReplicaList(const Clock &clock, const LapseRules &rules, Hooks hooks);

    /** Replaces the list by a complete one, read after a start or a gap in the followed changes. Missing entries that may have
     * lapsed are kept. */
    void replaceAll(const std::vector<ListedReplica> &replicas);

    /** Replaces the list by that of another node, which has already applied the rules for lapsed entries. No other entry is kept,
     * and those that are kept there expire here at the same time. */
    void replaceExactly(const std::vector<ListedReplica> &replicas);

    /** Records that another node's list of the same entries has none that is kept as lapsed. */
    void confirmEntries();

    /** Adds or updates an entry. */
    void put(const ListedReplica &entry);

    /** Removes entries that the platform removed together. Those that may have lapsed are kept. */
    void remove(const std::vector<EndpointName> &registeredNames);

    /**
     * Marks an entry as unreadable: its replica is treated as draining until a valid entry is put. Running requests continue, as
     * most likely the replica is unchanged and only its entry is invalid.
     */
    void markUnreadable(const EndpointName &registeredName);

    /** Removes the lapsed entries once their retention has ended. */
    void expire();

    /** Records that the platform is unreachable. */
    void recordOutage();

    /** Records that the platform answered. Called before the changes of that answer are applied. */
    void recordAnswer();

    /** @return the time since the list was last confirmed by the platform, directly or through another node. */
    std::chrono::milliseconds age() const;

    /** Records that the list was confirmed through another node. @param at when the platform answered that node */
    void recordConfirmation(SteadyTime at);

    /** @return whether the platform has not answered since it was last unreachable. */
    bool isPlatformUnreachable() const;

    /** @return the changes since the last call. */
    ReplicaChanges popChanges();

    /** @return the entry at an address, or null. */
    const ServingReplica *findAt(const Address &address) const;

    /** @return the entry under a registered name, or null. */
    const ServingReplica *findRegistered(const EndpointName &registeredName) const;

    /** @return the origin of an entry and whether its removal is known, or nothing if it is not in the list. */
    std::optional<EntryState> state(const EndpointName &instance) const;

    /** @return how much longer an entry is kept, or nothing if the platform lists it or it is unknown. */
    std::optional<std::chrono::milliseconds> keptFor(const EndpointName &instance) const;

    /** @return whether entries are kept that the platform no longer lists. */
    bool hasLapsed() const;

    /** @return a hash of all entries that does not depend on their order. */
    std::uint64_t fingerprint() const;

    /** @return the entries by instance, including lapsed ones that are still kept. */
    const Replicas &replicas() const;

private:
    /** An entry that the platform no longer lists. */
    struct Lapsed
    {
        /** When its removal became known. */
        SteadyTime removed;
        /** When another node, from which the entry was received, ceases to keep it. */
        std::optional<SteadyTime> keptUntil;
    };

    /** @return whether the platform is unreachable or was until recently. */
    bool isRetainingLapsed() const;
    /** @return until when an entry is kept. */
    SteadyTime keptUntil(const Lapsed &entry) const;
    /** @return whether an entry is no longer kept. */
    bool isExpired(const Lapsed &entry) const;
    /** @return whether entries that are removed now may have lapsed in the latest outage. */
    bool mayLapse() const;
    void erase(const EndpointName &instance);
    void recordChange(const EndpointName &instance);

    const Clock &clock;
    LapseRules rules;
    Hooks hooks;
    Replicas list;
    std::unordered_map<EndpointName, EntryOrigin> origins;
    /** Each address and each registered name belongs to one replica at a time. */
    std::map<Address, EndpointName> byAddress;
    std::unordered_map<EndpointName, EndpointName> byRegisteredName;
    std::unordered_map<EndpointName, Lapsed> lapsed;
    std::unordered_set<EndpointName> changed;
    std::unordered_map<EndpointName, ServingReplica> removed;
    std::uint64_t hash = 0;
    bool isUnreachable = false;
    /** When the list was last confirmed by the platform, directly or through another node. */
    SteadyTime confirmed;
    /** When the list was last confirmed before the latest outage. */
    SteadyTime outageStart;
    std::optional<SteadyTime> outageEnd;
};

} // namespace Dogwoodkeel
