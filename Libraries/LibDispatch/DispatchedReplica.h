#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/ConcurrencyLimit.h>
#include <LibDispatch/PlacementTypes.h>
#include <LibDispatch/ReplicaCircuitBreaker.h>
#include <LibDispatch/ReplicaSlots.h>
#include <LibDispatch/ReplicaSpeed.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
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

/**
 * Minimum share by which the expected time of a request grows from an idle replica to a full one. It keeps equal replicas
 * evenly loaded where measurements show no effect of the load.
 */
inline constexpr double minLoadEffect = 0.25;
inline constexpr double maxLoadEffect = 2;

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
    /** Whether it is selected by its learned speed and concurrency limit, and not by its slots alone. */
    bool isCapacityLearned = false;
    ReplicaSpeed speed;
    ConcurrencyLimit concurrency;
    /** What of it is counted in the slots of the service, see CapacityLearner. */
    std::size_t countedSlots = 0;
    bool isCountedBlocked = false;
    bool isCountedTrial = false;
    /** The expected time that was last logged, and when. */
    double reportedTime = 1;
    SteadyTime lastSpeedLog{};

    /** @return the number of requests that it may run concurrently. */
    std::uint32_t usableSlots() const
    {
        return this->isCapacityLearned ? this->concurrency.value(this->traits.slots) : this->traits.slots;
    }

    /** @return whether at least one slot is free. */
    bool hasFreeSlot(SteadyTime now) const
    {
        return this->slots.used(now) < this->usableSlots();
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
        consider(this->breaker.nextChange(now));
        if (this->isCapacityLearned) {
            const SteadyTime speedChange = this->speed.nextChange(now);
            consider(speedChange == SteadyTime::max() ? std::nullopt : std::optional(speedChange));
        }
        if (now - this->lastFull < batchStartDelay) {
            consider(this->lastFull + batchStartDelay);
        }
        return next;
    }

    /**
     * @return how unfavourable it is for one more request: the share of its slots that is in use, or, if its capacity is
     * learned, the expected time of the request relative to an idle replica of the service's median speed
     */
    double load(SteadyTime now) const
    {
        const double used = static_cast<double>(this->slots.used(now)) / this->usableSlots();
        return this->isCapacityLearned ? this->idleTime(now) * (1 + this->loadEffect() * used) : used;
    }

    /**
     * @return how unfavourable it is for a batch item that can wait: the share of used slots, and, if the capacity is learned,
     * how fast it is. Such items use spare capacity, so that fast replicas are free for requests that can not wait.
     */
    double itemLoad(SteadyTime now) const
    {
        const double used = static_cast<double>(this->slots.used(now)) / this->usableSlots();
        return this->isCapacityLearned ? used - std::log(this->speed.expected(now)) : used;
    }

    /** @return by how much one more running request changes itemLoad(). */
    double itemLoadOfRequest() const
    {
        return 1.0 / this->usableSlots();
    }

    /** @return by how much one more running request changes load(). */
    double loadOfRequest(SteadyTime now) const
    {
        const double effect = this->isCapacityLearned ? this->idleTime(now) * this->loadEffect() : 1;
        return effect / this->usableSlots();
    }

private:
    /** @return the expected time of a request while nothing else runs, with the repetitions that its errors cause. */
    double idleTime(SteadyTime now) const
    {
        return this->speed.expected(now) / (1 - std::min(this->breaker.errorShare(now), 0.9));
    }

    double loadEffect() const
    {
        return std::clamp(this->concurrency.slowdown(), minLoadEffect, maxLoadEffect);
    }
};

} // namespace Dogwoodkeel
