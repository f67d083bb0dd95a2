#include <LibGateway/NewerVersions.h>

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
    // The nodes that had these are gone, but this node has been behind the others as well.
    const auto gone = this->firstKnown.upper_bound(newest);
    const SteadyTime since = gone != this->firstKnown.end() ? gone->second : this->clock.now();
    this->firstKnown.erase(gone, this->firstKnown.end());
    this->firstKnown.try_emplace(newest, since);
}

std::chrono::milliseconds NewerVersions::behindFor() const
{
    if (this->firstKnown.empty()) {
        return std::chrono::milliseconds(0);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - this->firstKnown.begin()->second);
}

} // namespace Dogwoodkeel
