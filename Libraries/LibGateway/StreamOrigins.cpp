#include <LibGateway/StreamOrigins.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** Limits memory; about ten times the entries that a node receives at the rate at which a fleet serves. */
constexpr std::size_t mostEntries = 20000;
/** Longer than any caller waits; longer stated lifetimes are cut to it. */
constexpr std::chrono::minutes longestLifetime{2};

} // namespace

StreamOrigins::StreamOrigins(const Clock &clock) : clock(clock)
{
}

void StreamOrigins::record(std::uint64_t request, const StreamOrigin &origin, std::chrono::milliseconds lifetime)
{
    this->forgetOld();
    const SteadyTime until = this->clock.now() + std::min<std::chrono::milliseconds>(lifetime, longestLifetime);
    this->entries.insert_or_assign(request, Entry{origin, until});
    this->order.emplace(until, request);
}

std::optional<StreamOrigin> StreamOrigins::find(std::uint64_t request) const
{
    const auto found = this->entries.find(request);
    const bool isKnown = found != this->entries.end() && this->clock.now() <= found->second.until;
    return isKnown ? std::optional(found->second.origin) : std::nullopt;
}

std::size_t StreamOrigins::count() const
{
    return this->entries.size();
}

void StreamOrigins::forgetOld()
{
    const SteadyTime now = this->clock.now();
    while (!this->order.empty() && (this->order.begin()->first < now || this->order.size() >= mostEntries)) {
        const auto oldest = this->order.begin();
        const auto entry = this->entries.find(oldest->second);
        if (entry != this->entries.end() && entry->second.until == oldest->first) {
            this->entries.erase(entry);
        }
        this->order.erase(oldest);
    }
}

} // namespace Dogwoodkeel
