#include <LibWorkspace/LocalQuota.h>

#include <LibBase/Hash.h>

namespace Dogwoodkeel
{

LocalQuota::LocalQuota(const Clock &clock, const QuotaBounds &bounds) : clock(clock), bounds(bounds)
{
}

void LocalQuota::setNodes(std::size_t position, std::size_t count)
{
    this->position = position;
    this->count = count;
}

std::uint64_t LocalQuota::share(const WorkspaceName &workspace, const RequestQuota &quota) const
{
    if (this->count == 0) {
        return 0;
    }
    const auto total = static_cast<std::uint64_t>(QuotaMargins(this->bounds.tolerance(quota)).local);
    const std::uint64_t first = stableHash(workspace.value()) % this->count;
    const std::uint64_t offset = (this->position + this->count - first) % this->count;
    return total / this->count + (offset < total % this->count ? 1 : 0);
}

bool LocalQuota::tryAcquire(const WorkspaceName &workspace, const RequestQuota &quota)
{
    const SteadyTime now = this->clock.now();
    std::deque<SteadyTime> &times = this->granted[workspace];
    while (!times.empty() && now - times.front() > this->bounds.window) {
        times.pop_front();
    }
    const bool isGranted = times.size() < this->share(workspace, quota);
    if (isGranted) {
        times.push_back(now);
    } else if (times.empty()) {
        this->granted.erase(workspace);
    }
    return isGranted;
}

} // namespace Dogwoodkeel
