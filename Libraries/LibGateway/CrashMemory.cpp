#include <LibGateway/CrashMemory.h>

namespace Dogwoodkeel
{

namespace
{

constexpr int mostCrashes = 3;
/** Longer than a caller goes on sending the same request, short enough for a replica's fault to be mended. */
constexpr std::chrono::minutes remembered{2};
/** A bound on memory: far more than there can be at the rate at which replicas come back. */
constexpr std::size_t mostEntries = 20000;

} // namespace

CrashMemory::CrashMemory(const Clock &clock) : clock(clock)
{
}

void CrashMemory::noteCrash(std::uint64_t fingerprint)
{
    if (this->entries.size() >= mostEntries) {
        this->forgetOld();
    }
    Entry &entry = this->entries[fingerprint];
    const SteadyTime now = this->clock.now();
    entry.crashes = now - entry.last > remembered ? 1 : entry.crashes + 1;
    entry.last = now;
}

bool CrashMemory::isRefused(std::uint64_t fingerprint) const
{
    const auto found = this->entries.find(fingerprint);
    return found != this->entries.end() && found->second.crashes >= mostCrashes
        && this->clock.now() - found->second.last <= remembered;
}

void CrashMemory::forgetOld()
{
    const SteadyTime now = this->clock.now();
    std::erase_if(this->entries, [now](const auto &entry) {
        return now - entry.second.last > remembered;
    });
    if (this->entries.size() >= mostEntries) {
        this->entries.clear();
    }
}

} // namespace Dogwoodkeel
