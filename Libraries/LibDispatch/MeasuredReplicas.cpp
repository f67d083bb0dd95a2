#include <LibDispatch/MeasuredReplicas.h>

#include <algorithm>
#include <chrono>

namespace Dogwoodkeel
{

namespace
{

/** Keeps a report within one datagram. */
constexpr std::size_t maxReplicas = 100;
/** Older measurements say little about a replica's present speed. */
constexpr std::chrono::seconds retention{30};
/** Number of runs whose mean is kept. */
constexpr std::uint32_t maxRuns = 10;
/** A stream with fewer events shows the prefill of its prompt rather than the pace. */
constexpr std::uint32_t minEvents = 5;

std::chrono::microseconds meanOf(std::chrono::microseconds mean, std::chrono::microseconds value, std::uint32_t runs)
{
    return mean + (value - mean) / static_cast<std::int64_t>(runs);
}

} // namespace

void MeasuredReplicas::record(std::uint32_t replica, const RunTiming &timing, SteadyTime now)
{
    const bool isMeasured = !timing.isError && (timing.events == 1 || timing.events >= minEvents);
    if (!isMeasured) {
        return;
    }
    if (this->replicas.size() >= maxReplicas && !this->replicas.contains(replica)) {
        this->removeOldest();
    }
    Measured &measured = this->replicas[replica];
    ReplicaTiming &mean = measured.timing;
    const bool isStream = timing.events > 1;
    if (!isStream && mean.perEvent.count() > 0) {
        // Whole answers and streams are not comparable; streams show the replica's speed more precisely.
        return;
    }
    if (isStream && mean.perEvent.count() == 0) {
        mean = ReplicaTiming();
    }
    mean.replica = replica;
    mean.runs = std::min(mean.runs + 1, maxRuns);
    mean.firstEvent = meanOf(mean.firstEvent, timing.firstEvent, mean.runs);
    if (isStream) {
        mean.perEvent = meanOf(mean.perEvent, timing.generation / (timing.events - 1), mean.runs);
    }
    measured.last = now;
}

void MeasuredReplicas::removeOldest()
{
    const auto oldest = std::ranges::min_element(this->replicas, {}, [](const auto &entry) {
        return entry.second.last;
    });
    this->replicas.erase(oldest);
}

std::vector<ReplicaTiming> MeasuredReplicas::timings(SteadyTime now) const
{
    std::vector<ReplicaTiming> recent;
    for (const auto &[replica, measured] : this->replicas) {
        if (now - measured.last <= retention) {
            recent.push_back(measured.timing);
        }
    }
    return recent;
}

} // namespace Dogwoodkeel
