#include <LibRouting/OutlierEjection.h>

#include <LibRouting/ReplicaScore.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

constexpr std::uint32_t mostDoublings = 16;

std::chrono::milliseconds ejectionTime(std::uint32_t times, const FleetSettings &settings)
{
    const auto longer = settings.ejectTime * (std::int64_t(1) << std::min(times, mostDoublings));
    return std::min<std::chrono::milliseconds>(longer, settings.ejectTimeMost);
}

void release(Replica &replica, SteadyTime now)
{
    replica.ejection.isEjected = false;
    // One more failure ejects it again; it need not fail as often as one of good standing.
    replica.consecutiveFailures = 0;
    replica.rampStart = now;
}

bool isOutlier(const Replica &replica, SteadyTime now, const FleetSettings &settings)
{
    const bool isOnProbation = replica.ejection.times > 0 && rampShare(replica, now, settings.slowStart) < 1;
    const std::uint32_t limit = isOnProbation ? 1 : static_cast<std::uint32_t>(settings.ejectFailures);
    return replica.consecutiveFailures >= limit;
}

void eject(Replica &replica, SteadyTime now, const FleetSettings &settings)
{
    replica.ejection.isEjected = true;
    replica.ejection.until = now + ejectionTime(replica.ejection.times, settings);
    ++replica.ejection.times;
}

} // namespace

void renewEjections(const std::vector<Replica *> &pool, SteadyTime now, const FleetSettings &settings)
{
    auto left = static_cast<std::size_t>(settings.ejectShare * static_cast<double>(pool.size()));
    for (Replica *const replica : pool) {
        if (replica->ejection.isEjected && now >= replica->ejection.until) {
            release(*replica, now);
        }
        const bool isReformed = replica->ejection.times > 0 && !replica->ejection.isEjected && replica->consecutiveFailures == 0
            && now - replica->rampStart >= settings.ejectTimeMost;
        if (isReformed) {
            replica->ejection.times = 0;
        }
        left -= replica->ejection.isEjected && left > 0 ? 1 : 0;
    }
    std::vector<Replica *> outliers;
    for (Replica *const replica : pool) {
        if (!replica->ejection.isEjected && isOutlier(*replica, now, settings)) {
            outliers.push_back(replica);
        }
    }
    // Under the cap, those that fail the most go first.
    std::ranges::sort(outliers, std::ranges::greater(), &Replica::consecutiveFailures);
    outliers.resize(std::min(outliers.size(), left));
    for (Replica *const replica : outliers) {
        eject(*replica, now, settings);
    }
}

} // namespace Dogwoodkeel
