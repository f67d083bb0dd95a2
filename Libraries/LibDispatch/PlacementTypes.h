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

/** Identifies a placement request among those of all nodes. */
struct TicketId
{
    SessionNumber node;
    std::uint64_t number = 0;

    auto operator<=>(const TicketId &) const = default;
};

/** Whether a request may be delayed in favour of others. */
enum class WorkClass {
    /** A caller waits for the answer. */
    Online,
    /** An item of a batch job: it releases its slot when an online request needs it. */
    Batch,
};

/**
 * @return a 32-bit hash of a replica's name, to keep lists short. In a fleet of thousands, about one fleet in a
 * thousand has a collision.
 */
std::uint32_t nameHashOf(const EndpointName &instance);

/** The properties of a request that its placement depends on. */
struct PlacementTraits
{
    WorkClass work = WorkClass::Online;
    /** 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** When it arrived at its node. */
    SteadyTime arrived{};
    /** By when it has to be placed to be on time. */
    SteadyTime due{};
    /** When its caller's timeout expires. */
    SteadyTime deadline{};
    /** Hash of the request's content; identifies the retry of a refused request. */
    std::uint64_t content = 0;
    /** Whether it may be refused: only a request that was never sent to a replica. */
    bool mayRefuse = false;
    /** Replicas that rejected it or failed while serving it. Others are preferred, but where there are none, these are used. */
    std::vector<EndpointName> avoided;
    /** Name hashes of the replicas to which its node has a usable open connection. */
    std::vector<std::uint32_t> connected;
    /** The only version that can resume its stream; empty if any version will do. */
    SoftwareVersion version{};
    /** The workspace that it belongs to; empty if it belongs to none. */
    WorkspaceName workspace{};
    /** Weight of that workspace when slots are shared between workspaces. */
    double weight = 1;
    /** Expected work, in tokens. */
    std::uint32_t cost = 0;

    /** @return whether only some replicas can serve it, so that it may find no slot where other requests would. */
    bool isRestricted() const
    {
        return !this->avoided.empty() || !this->version.value().empty();
    }

    /** @return whether replicas of a version can serve it. */
    bool acceptsVersion(const SoftwareVersion &offered) const
    {
        return this->version.value().empty() || this->version == offered;
    }

    /** @return whether a replica rejected it or failed while serving it. */
    bool avoids(const EndpointName &instance) const
    {
        return std::ranges::find(this->avoided, instance) != this->avoided.end();
    }

    /** @return whether its node has an open connection to the replica with this name hash. */
    bool isConnectedTo(std::uint32_t nameHash) const
    {
        return std::ranges::find(this->connected, nameHash) != this->connected.end();
    }
};

/** A placement request as its dispatcher receives it. */
struct PlacementRequest : PlacementTraits
{
    TicketId id;
    /** The failure domain of its node. */
    FailureDomain failureDomain;
    /** Whether it is the retry of a refused request for which a slot was reserved. */
    bool isReserved = false;
};

/** The properties of a replica that placement depends on. */
struct DispatchReplica
{
    EndpointName instance;
    FailureDomain failureDomain;
    /** Number of requests that it runs concurrently. */
    std::uint32_t slots = 1;
    /** Whether it accepts no new requests. */
    bool isDraining = false;
    SoftwareVersion version{};
};

} // namespace Dogwoodkeel
