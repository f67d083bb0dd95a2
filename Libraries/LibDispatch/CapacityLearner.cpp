#include <LibDispatch/CapacityLearner.h>

#include <LibBase/Log.h>

#include <algorithm>
#include <cmath>

namespace Dogwoodkeel
{

namespace
{

/** Interval at which the service's median is adjusted. */
constexpr std::chrono::seconds adjustmentInterval{1};
/** A median that differs less from 1, as a logarithm, is left: an adjustment changes all positions in the index. */
constexpr double minAdjustment = 0.02;
/** A replica is reported as slower or faster if its expected time changed by this factor since it was last reported. */
constexpr double reportedChange = 1.6;
/** At most one such line for a replica in this time. */
constexpr std::chrono::seconds speedLogInterval{1};
/** One replica, and one more of this number, may be reduced to half of its slots for a trial at a time. */
constexpr std::size_t maxTrialDivisor = 10;

} // namespace

CapacityLearner::CapacityLearner(const Clock &clock, CapacityLearning mode, Replicas &replicas, ReplicaIndex &index)
    : clock(clock), mode(mode), replicas(replicas), index(index), isUsed(mode == CapacityLearning::Always)
{
}

void CapacityLearner::recount(DispatchedReplica &replica)
{
    this->remove(replica);
    replica.isCapacityLearned = this->isUsed;
    replica.countedSlots = replica.traits.isDraining ? 0 : replica.usableSlots();
    replica.isCountedBlocked = replica.breaker.isBlockedForErrors();
    replica.isCountedTrial = replica.concurrency.isReducedForTrial();
    this->trials += replica.isCountedTrial ? 1 : 0;
    this->slotCount += replica.countedSlots;
    this->blockedSlots += replica.isCountedBlocked ? replica.countedSlots : 0;
}

void CapacityLearner::remove(DispatchedReplica &replica)
{
    this->slotCount -= replica.countedSlots;
    this->blockedSlots -= replica.isCountedBlocked ? replica.countedSlots : 0;
    this->trials -= replica.isCountedTrial ? 1 : 0;
    replica.countedSlots = 0;
    replica.isCountedTrial = false;
}

std::size_t CapacityLearner::slots() const
{
    return this->slotCount;
}

void CapacityLearner::recordPace(DispatchedReplica &replica, std::uint32_t pace)
{
    this->recordStatedPace(pace);
    replica.speed.recordPace(pace, this->clock.now());
}

void CapacityLearner::recordStatedPace(std::uint32_t pace)
{
    if (pace == 0 || this->mode != CapacityLearning::Stated || this->isUsed) {
        return;
    }
    this->isUsed = true;
    for (auto &[instance, replica] : this->replicas) {
        this->recount(replica);
        this->index.update(replica);
    }
}

void CapacityLearner::recordEnd(
    DispatchedReplica &replica, WorkClass work, std::uint32_t concurrency, PlacementVerdict verdict, const RunTiming &timing)
{
    const bool isFinished = verdict == PlacementVerdict::Finished;
    if (this->isUsed && isFinished && timing.isError) {
        replica.breaker.recordError(this->mayBlock(replica), this->clock.now());
    } else {
        replica.breaker.recordEnd(verdict, this->clock.now());
    }
    const std::uint32_t former = replica.concurrency.learnedLimit();
    if (isFinished && !timing.isError) {
        this->recordStatedPace(timing.statedPace);
        this->recordRun(replica, work, concurrency, timing);
    }
    this->recount(replica);
    if (replica.concurrency.learnedLimit() != former) {
        this->logLimit(replica, former);
    }
}

void CapacityLearner::recordRun(DispatchedReplica &replica, WorkClass work, std::uint32_t concurrency, const RunTiming &timing)
{
    if (!this->isUsed) {
        return;
    }
    const SteadyTime now = this->clock.now();
    // The number of requests may change during the run; the mean of its start and its end is taken.
    const std::uint32_t atEnd = replica.slots.used(now);
    const std::uint32_t running = concurrency == 0 ? 0 : (concurrency + atEnd + 1) / 2;
    const bool isConstant = running > 0 && std::max(concurrency, atEnd) - std::min(concurrency, atEnd) <= 1;
    const double loadFactor = running == 0 ? 1 : replica.concurrency.factor(running);
    const std::optional<ServiceSpeed::Comparison> time
        = this->service.recordRun(work, timing, replica.speed.usual() * loadFactor);
    if (!time) {
        return;
    }
    if (isConstant) {
        const bool mayReduce = this->trials * maxTrialDivisor <= this->replicas.size();
        replica.concurrency.recordRun(
            time->toConstant / replica.speed.paceFactor(timing.statedPace), running, {replica.traits.slots, mayReduce}, now);
    }
    replica.speed.recordRun(time->toUsual / loadFactor, timing.statedPace, now);
    this->logSpeed(replica);
}

void CapacityLearner::recordTimings(const std::vector<ReplicaTiming> &timings)
{
    // A service whose replicas state their pace is not recognized before the first run, but these are sent only once.
    if (this->mode == CapacityLearning::Never) {
        return;
    }
    std::unordered_map<std::uint32_t, DispatchedReplica *> byNameHash;
    for (auto &[instance, replica] : this->replicas) {
        byNameHash.emplace(replica.nameHash, &replica);
    }
    const SteadyTime now = this->clock.now();
    const std::vector<double> relative = this->service.compare(timings);
    for (std::size_t number = 0; number < timings.size(); ++number) {
        const auto found = byNameHash.find(timings[number].replica);
        if (found != byNameHash.end()) {
            found->second->speed.recordMean(relative[number], timings[number].runs, now);
            this->index.update(*found->second);
        }
    }
}

void CapacityLearner::tick()
{
    const SteadyTime now = this->clock.now();
    if (!this->isUsed || now < this->nextAdjustment) {
        return;
    }
    this->nextAdjustment = now + adjustmentInterval;
    std::vector<double> times;
    for (auto &[instance, replica] : this->replicas) {
        const std::uint32_t former = replica.usableSlots();
        replica.concurrency.endTrialAfterTimeout(now);
        if (replica.usableSlots() != former) {
            this->recount(replica);
            this->index.update(replica);
        }
        if (replica.speed.isMeasured()) {
            times.push_back(replica.speed.usual());
        }
    }
    if (times.empty()) {
        return;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    const double median = *middle;
    if (std::abs(std::log(median)) < minAdjustment) {
        return;
    }
    this->service.rescale(median);
    for (auto &[instance, replica] : this->replicas) {
        replica.speed.rescale(median);
        replica.reportedTime /= median;
        this->index.update(replica);
    }
}

bool CapacityLearner::mayBlock(const DispatchedReplica &replica) const
{
    const std::size_t others = this->blockedSlots - (replica.isCountedBlocked ? replica.countedSlots : 0);
    return (others + replica.countedSlots) * 2 <= this->slotCount;
}

void CapacityLearner::logLimit(const DispatchedReplica &replica, std::uint32_t former) const
{
    log(LogLevel::Info,
        "concurrency limit of a replica changed",
        {{"replica", replica.traits.instance.value()},
         {"slots", static_cast<std::int64_t>(replica.traits.slots)},
         {"former", static_cast<std::int64_t>(former)},
         {"limit", static_cast<std::int64_t>(replica.concurrency.learnedLimit())}});
}

void CapacityLearner::logSpeed(DispatchedReplica &replica) const
{
    const SteadyTime now = this->clock.now();
    const double expected = replica.speed.expected(now);
    const double change = expected / replica.reportedTime;
    const bool isLarge = change >= reportedChange || change <= 1 / reportedChange;
    if (!isLarge || now - replica.lastSpeedLog < speedLogInterval) {
        return;
    }
    log(LogLevel::Info,
        change > 1 ? "replica became slower" : "replica became faster",
        {{"replica", replica.traits.instance.value()},
         {"former_percent", std::llround(replica.reportedTime * 100)},
         {"time_percent", std::llround(expected * 100)}});
    replica.reportedTime = expected;
    replica.lastSpeedLog = now;
}

CapacityLearner::Summary CapacityLearner::summary() const
{
    Summary summary;
    const SteadyTime now = this->clock.now();
    bool isFirst = true;
    for (const auto &[instance, replica] : this->replicas) {
        if (replica.traits.isDraining || !this->isUsed) {
            continue;
        }
        const double expected = replica.speed.expected(now);
        const std::uint32_t limit = replica.concurrency.learnedLimit();
        summary.limited += limit != 0 && limit < replica.traits.slots ? 1 : 0;
        summary.blocked += replica.breaker.isBlockedForErrors() ? 1 : 0;
        const double usual = replica.speed.usual();
        summary.slowest = isFirst ? expected : std::max(summary.slowest, expected);
        summary.fastest = isFirst ? expected : std::min(summary.fastest, expected);
        summary.slowestUsual = isFirst ? usual : std::max(summary.slowestUsual, usual);
        summary.fastestUsual = isFirst ? usual : std::min(summary.fastestUsual, usual);
        isFirst = false;
    }
    return summary;
}

} // namespace Dogwoodkeel
