#include <LibDispatch/LoadForecast.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/**
 * Long compared with the gaps between late requests that find a slot by chance, short compared with the time that
 * callers wait.
 */
constexpr std::chrono::milliseconds latePlacementTimeConstant{1500};
/** Covers several bursts and the calm between them; a load that has lasted this long is the usual one. */
constexpr std::chrono::seconds arrivalTimeConstant{15};
/** Share of the time constant that has to be observed before a burst can be distinguished from the usual load. */
constexpr double minObservedShare = 0.4;
/** Weight of one run in the mean time for which a slot is held. */
constexpr double runWeight = 0.02;
/** A shorter pause between waiting requests does not end a burst. About half of a caller's objective. */
constexpr std::chrono::milliseconds maxGapInBurst{150};
/** Shorter episodes are random fluctuations, not bursts. */
constexpr std::chrono::milliseconds minBurst{300};
/** Weight of one burst in their mean length; about the last three count. */
constexpr double burstWeight = 0.3;

} // namespace

LoadForecast::Rate::Rate(std::chrono::duration<double> timeConstant) : timeConstant(timeConstant)
{
}

void LoadForecast::Rate::record(SteadyTime now)
{
    if (this->count == 0) {
        this->first = now;
    }
    this->count = this->count * std::exp(-(now - this->last) / this->timeConstant) + 1;
    this->last = now;
}

double LoadForecast::Rate::perSecond(SteadyTime now) const
{
    const double known = 1 - std::exp(-std::max(this->observedShare(now), 0.1));
    return this->count * std::exp(-(now - this->last) / this->timeConstant) / this->timeConstant.count() / known;
}

double LoadForecast::Rate::observedShare(SteadyTime now) const
{
    return this->count == 0 ? 0 : (now - this->first) / this->timeConstant;
}

LoadForecast::LoadForecast(const Clock &clock)
    : clock(clock), latePlacements(latePlacementTimeConstant), arrivals(arrivalTimeConstant)
{
}

void LoadForecast::recordArrival()
{
    this->arrivals.record(this->clock.now());
}

void LoadForecast::recordLatePlacement()
{
    this->latePlacements.record(this->clock.now());
}

void LoadForecast::recordRun(std::chrono::nanoseconds holdTime)
{
    const double weight = this->meanHoldTime.count() == 0 ? 1 : runWeight;
    this->meanHoldTime += weight * (std::chrono::duration<double>(holdTime) - this->meanHoldTime);
}

void LoadForecast::recordWaiting(bool isAnyWaiting)
{
    const SteadyTime now = this->clock.now();
    if (isAnyWaiting) {
        this->burstSince = this->burstSince.value_or(now);
        this->lastSeenWaiting = now;
        return;
    }
    if (!this->burstSince || now - this->lastSeenWaiting < maxGapInBurst) {
        return;
    }
    const std::chrono::duration<double> burst = this->lastSeenWaiting - *std::exchange(this->burstSince, std::nullopt);
    if (burst >= minBurst) {
        const double weight = this->meanBurst.count() == 0 ? 1 : burstWeight;
        this->meanBurst += weight * (burst - this->meanBurst);
    }
}

std::optional<SteadyTime> LoadForecast::burstEnd() const
{
    if (!this->burstSince || this->meanBurst.count() == 0) {
        return std::nullopt;
    }
    return *this->burstSince + std::chrono::duration_cast<SteadyTime::duration>(this->meanBurst);
}

void LoadForecast::setSlots(std::size_t slots)
{
    this->slots = slots;
}

double LoadForecast::serviceRate() const
{
    return this->meanHoldTime.count() > 0 ? static_cast<double>(this->slots) / this->meanHoldTime.count() : 0;
}

double LoadForecast::latePlacementRate() const
{
    return this->latePlacements.perSecond(this->clock.now());
}

double LoadForecast::spareCapacity() const
{
    const SteadyTime now = this->clock.now();
    if (this->arrivals.observedShare(now) < minObservedShare) {
        return 0;
    }
    return std::max(0.0, this->serviceRate() - this->arrivals.perSecond(now));
}

} // namespace Dogwoodkeel
