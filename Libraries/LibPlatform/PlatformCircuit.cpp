#include <LibPlatform/PlatformCircuit.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

PlatformCircuit::PlatformCircuit(const Clock &clock, Options options, std::uint64_t seed)
    : clock(clock), options(options), random(seed), nextRest(options.firstRest)
{
}

bool PlatformCircuit::admit()
{
    if (!this->open) {
        return true;
    }
    if (this->isProbing || this->clock.now() < this->restEnd) {
        return false;
    }
    this->isProbing = true;
    return true;
}

void PlatformCircuit::onOutcome(bool isAnswered)
{
    if (isAnswered) {
        this->failures = 0;
        this->open = false;
        this->isProbing = false;
        this->nextRest = this->options.firstRest;
        return;
    }
    // Calls that were made before it opened may fail long after: only the probe's failure makes the next rest longer.
    if (this->open && !std::exchange(this->isProbing, false)) {
        return;
    }
    if (this->open || ++this->failures >= this->options.failuresInARow) {
        this->rest();
    }
}

bool PlatformCircuit::isOpen() const
{
    return this->open;
}

void PlatformCircuit::rest()
{
    this->open = true;
    std::uniform_int_distribution<std::int64_t> jitter(this->nextRest.count() / 2, this->nextRest.count());
    this->restEnd = this->clock.now() + std::chrono::milliseconds(jitter(this->random));
    this->nextRest = std::min(this->nextRest * 2, this->options.longestRest);
}

} // namespace Dogwoodkeel
