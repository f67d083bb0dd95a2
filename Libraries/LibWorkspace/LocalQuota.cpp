#include <LibWorkspace/LocalQuota.h>

#include <LibBase/Hash.h>

namespace Dogwoodkeel
{

LoneQuota::LoneQuota(const Clock &clock, const QuotaBounds &bounds) : clock(clock), bounds(bounds)
{
}

void LoneQuota::setNodes(std::size_t place, std::size_t count)
{
    this->place = place;
    this->count = count;
}

std::uint64_t LoneQuota::part(const WorkspaceName &workspace, const RequestQuota &quota) const
{
    if (this->count == 0) {
        return 0;
    }
    const auto whole = static_cast<std::uint64_t>(QuotaMargins(this->bounds.tolerance(quota)).alone);
    const std::uint64_t first = stableHash(workspace.value()) % this->count;
    const std::uint64_t behindFirst = (this->place + this->count - first) % this->count;
    return whole / this->count + (behindFirst < whole % this->count ? 1 : 0);
}

bool LoneQuota::take(const WorkspaceName &workspace, const RequestQuota &quota)
{
    const SteadyTime now = this->clock.now();
    std::deque<SteadyTime> &times = this->granted[workspace];
    while (!times.empty() && now - times.front() > this->bounds.window) {
        times.pop_front();
    }
    const bool isGranted = times.size() < this->part(workspace, quota);
    if (isGranted) {
        times.push_back(now);
    } else if (times.empty()) {
        this->granted.erase(workspace);
    }
    return isGranted;
}

} // namespace Dogwoodkeel
