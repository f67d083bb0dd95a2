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
inline constexpr std::chrono::milliseconds batchCalm{30};

/** A replica as its dispatcher sees it. */
struct DispatchedReplica
{
    DispatchReplica traits;
    /** Its short name. */
    std::uint32_t mark = 0;
    /** Which of all that the dispatcher has known it is: the order among equals. */
    std::uint64_t number = 0;
    ReplicaGate gate;
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
        return !this->traits.isDraining && this->gate.isOpen(now) && this->hasFreeSlot(now);
    }

    /** @return whether an open replica takes an item of a batch job. */
    bool mayTakeItem(SteadyTime now) const
    {
        return this->slots.mayTakeItem(now) && now - this->lastFull >= batchCalm;
    }

    /** @return when time alone next changes what it may get, if it does. */
    std::optional<SteadyTime> changesAt(SteadyTime now) const
    {
        std::optional<SteadyTime> next = this->slots.forgetsAt(now);
        const auto consider = [&next](std::optional<SteadyTime> time) {
            next = time && (!next || *time < *next) ? time : next;
        };
        consider(this->gate.opensAt(now));
        if (now - this->lastFull < batchCalm) {
            consider(this->lastFull + batchCalm);
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
