#include <LibDispatch/LoadForecast.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Long against the gaps between requests that find a place by luck, short against the time that callers wait. */
constexpr std::chrono::milliseconds lateMemory{1500};
/** Several bursts and the calm between them; a load that has stayed for so long is the usual one. */
constexpr std::chrono::seconds usualMemory{15};
/** Before so much of it has passed, a burst can't be told from the usual load. */
constexpr double enoughExperience = 0.4;
/** Weight of one run in the mean of how long a slot is held. */
constexpr double runWeight = 0.02;
/** Requests that wait again after a shorter pause than this belong to the same burst: about half of a caller's objective. */
constexpr std::chrono::milliseconds burstPause{150};
/** What is shorter is no burst but chance. */
constexpr std::chrono::milliseconds shortestBurst{300};
/** Weight of one burst in how long they last: the last three or so count. */
constexpr double burstWeight = 0.3;

} // namespace

LoadForecast::Rate::Rate(std::chrono::duration<double> memory) : memory(memory)
{
}

void LoadForecast::Rate::note(SteadyTime now)
{
    if (this->count == 0) {
        this->first = now;
    }
    this->count = this->count * std::exp(-(now - this->last) / this->memory) + 1;
    this->last = now;
}

double LoadForecast::Rate::perSecond(SteadyTime now) const
{
    const double known = 1 - std::exp(-std::max(this->experience(now), 0.1));
    return this->count * std::exp(-(now - this->last) / this->memory) / this->memory.count() / known;
}

double LoadForecast::Rate::experience(SteadyTime now) const
{
    return this->count == 0 ? 0 : (now - this->first) / this->memory;
}

LoadForecast::LoadForecast(const Clock &clock) : clock(clock), late(lateMemory), usual(usualMemory)
{
}

void LoadForecast::noteArrival()
{
    this->usual.note(this->clock.now());
}

void LoadForecast::noteLatePlaced()
{
    this->late.note(this->clock.now());
}

void LoadForecast::recordRun(std::chrono::nanoseconds held)
{
    const double weight = this->meanHeld.count() == 0 ? 1 : runWeight;
    this->meanHeld += weight * (std::chrono::duration<double>(held) - this->meanHeld);
}

void LoadForecast::noteWaiting(bool isAnyWaiting)
{
    const SteadyTime now = this->clock.now();
    if (isAnyWaiting) {
        this->burstSince = this->burstSince.value_or(now);
        this->lastWaiting = now;
        return;
    }
    if (!this->burstSince || now - this->lastWaiting < burstPause) {
        return;
    }
    const std::chrono::duration<double> lasted = this->lastWaiting - *std::exchange(this->burstSince, std::nullopt);
    if (lasted >= shortestBurst) {
        const double weight = this->usualBurst.count() == 0 ? 1 : burstWeight;
        this->usualBurst += weight * (lasted - this->usualBurst);
    }
}

std::optional<SteadyTime> LoadForecast::burstEnd() const
{
    if (!this->burstSince || this->usualBurst.count() == 0) {
        return std::nullopt;
    }
    return *this->burstSince + std::chrono::duration_cast<SteadyTime::duration>(this->usualBurst);
}

void LoadForecast::setSlots(std::size_t slots)
{
    this->slots = slots;
}

double LoadForecast::serviceRate() const
{
    return this->meanHeld.count() > 0 ? static_cast<double>(this->slots) / this->meanHeld.count() : 0;
}

double LoadForecast::lateRate() const
{
    return this->late.perSecond(this->clock.now());
}

double LoadForecast::usualRoom() const
{
    const SteadyTime now = this->clock.now();
    if (this->usual.experience(now) < enoughExperience) {
        return 0;
    }
    return std::max(0.0, this->serviceRate() - this->usual.perSecond(now));
}

} // namespace Dogwoodkeel
