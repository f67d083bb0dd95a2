#include <LibGateway/ServedTimes.h>

#include <utility>

namespace Dogwoodkeel
{

ServedTimes::ServedTimes(const Clock &clock, std::chrono::milliseconds span, std::size_t maxEntries)
    : clock(clock), span(span), maxEntries(maxEntries), spanStart(clock.now())
{
}

void ServedTimes::record(std::uint64_t hash)
{
    const SteadyTime now = this->clock.now();
    if (now - this->spanStart > this->span || this->current.size() >= this->maxEntries) {
        this->previous = std::exchange(this->current, {});
        this->spanStart = now;
    }
    this->current.insert_or_assign(hash, now);
}

std::optional<SteadyTime> ServedTimes::last(std::uint64_t hash) const
{
    for (const auto *const times : {&this->current, &this->previous}) {
        const auto found = times->find(hash);
        if (found != times->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace Dogwoodkeel
