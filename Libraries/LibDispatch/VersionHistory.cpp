#include <LibDispatch/VersionHistory.h>

namespace Dogwoodkeel
{

namespace
{

/** Longer than callers wait for a stream, and than a replica serves and other nodes use it after its removal. */
constexpr std::chrono::minutes retained{5};

} // namespace

VersionHistory::VersionHistory(const Clock &clock) : clock(clock), since(clock.now())
{
}

void VersionHistory::restart()
{
    this->since = this->clock.now();
}

void VersionHistory::add(const SoftwareVersion &version)
{
    ++this->entries[version].replicas;
}

void VersionHistory::remove(const SoftwareVersion &version)
{
    const auto found = this->entries.find(version);
    if (found == this->entries.end() || found->second.replicas == 0) {
        return;
    }
    const SteadyTime now = this->clock.now();
    if (--found->second.replicas == 0) {
        found->second.removedAt = now;
    }
    std::erase_if(this->entries, [now](const auto &entry) {
        return entry.second.replicas == 0 && now - entry.second.removedAt > retained;
    });
}

std::optional<SoftwareVersion> VersionHistory::sole(std::chrono::milliseconds period) const
{
    const SteadyTime now = this->clock.now();
    if (now - this->since < period || period > retained) {
        return std::nullopt;
    }
    std::optional<SoftwareVersion> sole;
    for (const auto &[version, entry] : this->entries) {
        const bool isRecent = entry.replicas > 0 || now - entry.removedAt <= retained;
        if (isRecent && (sole || entry.replicas == 0)) {
            return std::nullopt;
        }
        sole = isRecent ? std::optional(version) : sole;
    }
    return sole;
}

} // namespace Dogwoodkeel
