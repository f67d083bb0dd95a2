#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/PlacementTypes.h>
#include <LibDispatch/ReplicaCircuitBreaker.h>
#include <LibDispatch/ReplicaSlots.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace Dogwoodkeel
{

/**
 * How long after a replica was last full no batch item is placed there. Its free slot is most likely needed by the next
 * online request, and a stopped item costs the replica a second prefill of the item's tokens. About two gaps between
 * requests in a burst.
 */
inline constexpr std::chrono::milliseconds batchStartDelay{30};

/** The state of one replica at its dispatcher. */
struct DispatchedReplica
{
    DispatchReplica traits;
    /** See nameHashOf(). */
    std::uint32_t nameHash = 0;
    /** Sequence number at this dispatcher; breaks ties between replicas of equal load. */
    std::uint64_t number = 0;
    ReplicaCircuitBreaker breaker;
    ReplicaSlots slots;
    /** When it last had no free slot. */
    SteadyTime lastFull{};

    /** @return whether at least one slot is free. */
    bool hasFreeSlot(SteadyTime now) const
    {
        return this->slots.used(now) < this->traits.slots;
    }

    /** @return whether it accepts requests and has a free slot. */
    bool isOpen(SteadyTime now) const
    {
        return !this->traits.isDraining && this->breaker.maySend(now) && this->hasFreeSlot(now);
    }

    /** @return whether an item of a batch job may be placed on this replica if it is open. */
    bool mayAcceptItem(SteadyTime now) const
    {
        return this->slots.mayAcceptItem(now) && now - this->lastFull >= batchStartDelay;
    }

    /** @return when the passing of time next changes what may be placed here, or nothing if it does not. */
    std::optional<SteadyTime> nextChange(SteadyTime now) const
    {
        std::optional<SteadyTime> next = this->slots.reportExpiresAt(now);
        const auto consider = [&next](std::optional<SteadyTime> time) {
            next = time && (!next || *time < *next) ? time : next;
        };
        consider(this->breaker.maySendAt(now));
        if (now - this->lastFull < batchStartDelay) {
            consider(this->lastFull + batchStartDelay);
        }
        return next;
    }

    /** @return the share of its slots that is in use. */
    double load(SteadyTime now) const
    {
        return static_cast<double>(this->slots.used(now)) / this->traits.slots;
    }
};

} // namespace Dogwoodkeel
