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

/** A slot that online requests have just left is most likely wanted by the next one: starting an item in it only to stop it again
 * would make a replica read the item's tokens again. About two gaps between requests in a burst. */
inline constexpr std::chrono::milliseconds batchStartDelay{30};

/** A replica as its dispatcher sees it. */
struct DispatchedReplica
{
    DispatchReplica traits;
    /** Its short name. */
    std::uint32_t nameHash = 0;
    /** Which of all that the dispatcher has known it is: the order among equals. */
    std::uint64_t number = 0;
    ReplicaCircuitBreaker breaker;
    ReplicaSlots slots;
    /** When it last had no free slot. */
    SteadyTime lastFull{};

    /** @return whether a request more would find a free slot. */
    bool hasFreeSlot(SteadyTime now) const
    {
        return this->slots.used(now) < this->traits.slots;
    }

    /** @return whether it takes requests and has a free slot. */
    bool isOpen(SteadyTime now) const
    {
        return !this->traits.isDraining && this->breaker.maySend(now) && this->hasFreeSlot(now);
    }

    /** @return whether an open replica takes an item of a batch job. */
    bool mayAcceptItem(SteadyTime now) const
    {
        return this->slots.mayAcceptItem(now) && now - this->lastFull >= batchStartDelay;
    }

    /** @return when time alone next changes what it may get, if it does. */
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

    /** @return the part of its slots that is taken. */
    double load(SteadyTime now) const
    {
        return static_cast<double>(this->slots.used(now)) / this->traits.slots;
    }
};

} // namespace Dogwoodkeel
