#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>
#include <LibWire/Generated/Messages.h>

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <vector>

namespace Dogwoodkeel
{

/** Names a request that wants a place at a replica, among all nodes. */
struct TicketId
{
    SessionNumber node;
    std::uint64_t number = 0;

    auto operator<=>(const TicketId &) const = default;
};

/** Whether a request can be made to wait in favour of others. */
enum class WorkClass {
    /** Somebody waits for it. */
    Online,
    /** An item of a batch job: it gives its place up when an online request needs it. */
    Batch,
};

/** @return a short name of a replica, for lists of many: two replicas of a fleet of thousands share one in one case of a
 * thousand. */
std::uint32_t nameHashOf(const EndpointName &instance);

/** What a request says of itself when it wants a place. */
struct PlacementTraits
{
    WorkClass work = WorkClass::Online;
    /** The most urgent is 0. */
    std::uint32_t priority = 0;
    /** When it arrived at its node. */
    SteadyTime arrived{};
    /** Until when it has to have a place to be on time. */
    SteadyTime due{};
    /** Until when its caller waits. */
    SteadyTime deadline{};
    /** Hash of what it asks for: by it, a request that was sent away is known when it comes back. */
    std::uint64_t content = 0;
    /** Whether it has never been at a replica: only then it may be refused. */
    bool mayRefuse = false;
    /** Replicas that turned it away or failed it. */
    std::vector<EndpointName> avoided;
    /** Marks of the replicas to which its node has an open connection that it can use. */
    std::vector<std::uint32_t> connected;
    /** The only version that can go on with its stream; empty: any will do. */
    SoftwareVersion version{};

    /** @return whether only some replicas can serve it, so that it may find no place where others would. */
    bool isRestricted() const
    {
        return !this->avoided.empty() || !this->version.value().empty();
    }

    /** @return whether replicas of a version can serve it. */
    bool acceptsVersion(const SoftwareVersion &offered) const
    {
        return this->version.value().empty() || this->version == offered;
    }

    /** @return whether a replica turned it away or failed it. */
    bool avoids(const EndpointName &instance) const
    {
        return std::ranges::find(this->avoided, instance) != this->avoided.end();
    }

    /** @return whether its node has an open connection to the replica with a mark. */
    bool isConnectedTo(std::uint32_t nameHash) const
    {
        return std::ranges::find(this->connected, nameHash) != this->connected.end();
    }
};

/** A request that wants a place, as its dispatcher knows it. */
struct PlacementRequest : PlacementTraits
{
    TicketId id;
    /** Where its node is. */
    FailureDomain failureDomain;
};

/** A replica as far as placing requests needs to know it. */
struct DispatchReplica
{
    EndpointName instance;
    FailureDomain failureDomain;
    /** Requests that it runs side by side. */
    std::uint32_t slots = 1;
    /** Whether it takes no new requests. */
    bool isDraining = false;
    /** Of its software. */
    SoftwareVersion version{};
};

} // namespace Dogwoodkeel
