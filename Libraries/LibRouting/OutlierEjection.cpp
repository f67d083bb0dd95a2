#include <LibRouting/OutlierEjection.h>

#include <LibRouting/ReplicaScore.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

constexpr std::uint32_t maxDoublings = 16;

std::chrono::milliseconds ejectionTime(std::uint32_t times, const FleetSettings &settings)
{
    const auto duration = settings.ejectTime * (std::int64_t(1) << std::min(times, maxDoublings));
    return std::min<std::chrono::milliseconds>(duration, settings.ejectTimeMost);
}

void readmit(Replica &replica, SteadyTime now)
{
    replica.ejection.isEjected = false;
    // During the slow start a single failure ejects the replica again, without the usual number of failures.
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

void updateEjections(const std::vector<Replica *> &pool, SteadyTime now, const FleetSettings &settings)
{
    auto remaining = static_cast<std::size_t>(settings.ejectShare * static_cast<double>(pool.size()));
    for (Replica *const replica : pool) {
        if (replica->ejection.isEjected && now >= replica->ejection.until) {
            readmit(*replica, now);
        }
        const bool isRecovered = replica->ejection.times > 0 && !replica->ejection.isEjected && replica->consecutiveFailures == 0
            && now - replica->rampStart >= settings.ejectTimeMost;
        if (isRecovered) {
            replica->ejection.times = 0;
        }
        remaining -= replica->ejection.isEjected && remaining > 0 ? 1 : 0;
    }
    std::vector<Replica *> outliers;
    for (Replica *const replica : pool) {
        if (!replica->ejection.isEjected && isOutlier(*replica, now, settings)) {
            outliers.push_back(replica);
        }
    }
    // If the cap does not allow all ejections, the replicas with the most consecutive failures are ejected first.
    std::ranges::sort(outliers, std::ranges::greater(), &Replica::consecutiveFailures);
    outliers.resize(std::min(outliers.size(), remaining));
    for (Replica *const replica : outliers) {
        eject(*replica, now, settings);
    }
}

} // namespace Dogwoodkeel
