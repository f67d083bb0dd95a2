#include <LibGateway/NewerVersions.h>

#include <algorithm>

namespace Dogwoodkeel
{

NewerVersions::NewerVersions(const Clock &clock) : clock(clock)
{
}

void NewerVersions::update(std::uint64_t own, std::uint64_t newest)
{
    this->firstKnown.erase(this->firstKnown.begin(), this->firstKnown.upper_bound(own));
    if (newest <= own) {
        this->firstKnown.clear();
        return;
    }
    SteadyTime since = this->clock.now();
    // The nodes that had these are gone, but this node has been behind the others as well.
    const auto gone = this->firstKnown.upper_bound(newest);
    for (auto entry = gone; entry != this->firstKnown.end(); ++entry) {
        since = std::min(since, entry->second);
    }
    this->firstKnown.erase(gone, this->firstKnown.end());
    this->firstKnown.try_emplace(newest, since);
}

std::chrono::milliseconds NewerVersions::behindFor() const
{
    const SteadyTime now = this->clock.now();
    SteadyTime since = now;
    for (const auto &[version, known] : this->firstKnown) {
        since = std::min(since, known);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
}

} // namespace Dogwoodkeel
