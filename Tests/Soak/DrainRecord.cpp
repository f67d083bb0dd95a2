#include <Tests/Soak/DrainRecord.h>

namespace Dogwoodkeel
{

void DrainRecord::recordState(std::size_t replica, bool isAccepting)
{
    const std::lock_guard lock(this->mutex);
    if (isAccepting) {
        this->closed.erase(replica);
    } else if (this->closed.try_emplace(replica, std::chrono::steady_clock::now()).second) {
        ++this->closings;
    }
}

void DrainRecord::recordRun(std::size_t replica, const std::string &request)
{
    const std::lock_guard lock(this->mutex);
    if (const auto found = this->closed.find(replica); found != this->closed.end()) {
        this->runs.push_back({replica, request, found->second, std::chrono::steady_clock::now()});
    }
}

std::vector<std::string>
DrainRecord::violations(std::chrono::milliseconds bound, std::chrono::milliseconds margin, const Disturbances &disturbances) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> found;
    for (const Run &run : this->runs) {
        if (run.reached <= run.closed + bound || disturbances.overlapsAny(run.closed - margin, run.reached)) {
            continue;
        }
        const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(run.reached - run.closed);
        found.push_back("request " + run.request + " reached replica " + std::to_string(run.replica) + ' '
                        + std::to_string(late.count()) + " ms after it was draining or gone");
    }
    return found;
}

std::string DrainRecord::summary() const
{
    const std::lock_guard lock(this->mutex);
    return std::to_string(this->runs.size()) + " requests reached replicas that were draining or gone, in "
        + std::to_string(this->closings) + " cases";
}

} // namespace Dogwoodkeel
