#include <LibGateway/StreamOrigins.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** Limits memory; about ten times the entries that a node receives at the rate at which a fleet serves. */
constexpr std::size_t maxEntries = 20000;
/** Longer than any caller waits; longer stated lifetimes are cut to it. */
constexpr std::chrono::minutes maxLifetime{2};

} // namespace

StreamOrigins::StreamOrigins(const Clock &clock) : clock(clock)
{
}

void StreamOrigins::record(std::uint64_t request, const StreamOrigin &origin, std::chrono::milliseconds lifetime)
{
    this->removeExpired();
    const SteadyTime expiry = this->clock.now() + std::min<std::chrono::milliseconds>(lifetime, maxLifetime);
    this->entries.insert_or_assign(request, Entry{origin, expiry});
    this->byExpiry.emplace(expiry, request);
}

std::optional<StreamOrigin> StreamOrigins::find(std::uint64_t request) const
{
    const auto found = this->entries.find(request);
    const bool isKnown = found != this->entries.end() && this->clock.now() <= found->second.expiry;
    return isKnown ? std::optional(found->second.origin) : std::nullopt;
}

std::size_t StreamOrigins::count() const
{
    return this->entries.size();
}

void StreamOrigins::removeExpired()
{
    const SteadyTime now = this->clock.now();
    while (!this->byExpiry.empty() && (this->byExpiry.begin()->first < now || this->byExpiry.size() >= maxEntries)) {
        const auto oldest = this->byExpiry.begin();
        const auto entry = this->entries.find(oldest->second);
        if (entry != this->entries.end() && entry->second.expiry == oldest->first) {
            this->entries.erase(entry);
        }
        this->byExpiry.erase(oldest);
    }
}

} // namespace Dogwoodkeel
