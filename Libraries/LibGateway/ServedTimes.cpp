#include <LibGateway/ServedTimes.h>

#include <utility>

namespace Dogwoodkeel
{

ServedTimes::ServedTimes(const Clock &clock, std::chrono::milliseconds span, std::size_t most)
    : clock(clock), span(span), most(most), spanStart(clock.now())
{
}

void ServedTimes::note(std::uint64_t hash)
{
    const SteadyTime now = this->clock.now();
    if (now - this->spanStart > this->span || this->current.size() >= this->most) {
        this->before = std::exchange(this->current, {});
        this->spanStart = now;
    }
    this->current.insert_or_assign(hash, now);
}

std::optional<SteadyTime> ServedTimes::last(std::uint64_t hash) const
{
    for (const auto *const times : {&this->current, &this->before}) {
        const auto found = times->find(hash);
        if (found != times->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace Dogwoodkeel
