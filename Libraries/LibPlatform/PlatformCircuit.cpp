#include <LibPlatform/PlatformCircuit.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

PlatformCircuit::PlatformCircuit(const Clock &clock, Options options, std::uint64_t seed)
    : clock(clock), options(options), random(seed), nextBackoff(options.initialBackoff)
{
}

bool PlatformCircuit::admit()
{
    if (!this->open) {
        return true;
    }
    if (this->isProbing || this->clock.now() < this->backoffEnd) {
        return false;
    }
    this->isProbing = true;
    return true;
}

void PlatformCircuit::onOutcome(bool isAnswered)
{
    if (isAnswered) {
        this->consecutiveFailures = 0;
        this->open = false;
        this->isProbing = false;
        this->nextBackoff = this->options.initialBackoff;
        return;
    }
    // Calls sent before the circuit opened may fail long afterwards: only a failed probe makes the backoff longer.
    if (this->open && !std::exchange(this->isProbing, false)) {
        return;
    }
    if (this->open || ++this->consecutiveFailures >= this->options.failureThreshold) {
        this->trip();
    }
}

bool PlatformCircuit::isOpen() const
{
    return this->open;
}

void PlatformCircuit::trip()
{
    this->open = true;
    std::uniform_int_distribution<std::int64_t> jitter(this->nextBackoff.count() / 2, this->nextBackoff.count());
    this->backoffEnd = this->clock.now() + std::chrono::milliseconds(jitter(this->random));
    this->nextBackoff = std::min(this->nextBackoff * 2, this->options.maxBackoff);
}

} // namespace Dogwoodkeel
