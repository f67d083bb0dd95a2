#include <LibFleet/FleetState.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds minHalfLife{10};

} // namespace

FleetState::FleetState(const Clock &clock, const SettingsHandle &settings, ReplicaTable &replicas)
    : clock(clock), settings(settings), replicas(replicas)
{
}

void FleetState::begin(Replica &replica)
{
    replica.lastUsed = this->clock.now();
    accumulateRequestSeconds(replica, replica.lastUsed);
    replica.history.record(++replica.inFlight, replica.lastUsed);
}

void FleetState::end(Replica &replica, const AttemptResult &result)
{
    const SteadyTime now = this->clock.now();
    accumulateRequestSeconds(replica, now);
    // Little's law: request-seconds divided by the number of completed requests is the mean request lifetime.
    replica.lifetime.observe(std::exchange(replica.requestSeconds, 0), now, this->settings->fleet.latencyHalfLife);
    replica.history.record(--replica.inFlight, now);
    switch (result.outcome) {
    case AttemptOutcome::Succeeded:
        replica.consecutiveFailures = 0;
        replica.failures.observe(0, now, this->settings->fleet.failureHalfLife);
        break;
    case AttemptOutcome::NotConnected:
    case AttemptOutcome::Failed:
    case AttemptOutcome::Unresponsive:
        ++replica.consecutiveFailures;
        replica.failures.observe(1, now, this->settings->fleet.failureHalfLife);
        break;
    case AttemptOutcome::Refused:
    case AttemptOutcome::Abandoned:
        break;
    }
    if (result.serviceTime) {
        const double seconds = std::chrono::duration<double>(*result.serviceTime).count();
        replica.serviceTime.observe(seconds, now, this->settings->fleet.latencyHalfLife);
    }
}

void FleetState::accumulateRequestSeconds(Replica &replica, SteadyTime now)
{
    replica.requestSeconds += replica.inFlight * std::chrono::duration<double>(now - replica.requestSecondsUntil).count();
    replica.requestSecondsUntil = now;
}

bool FleetState::observe(const ReplicaReport &report)
{
    Replica *const replica = this->replicas.find(report.endpoint);
    if (replica == nullptr) {
        return false;
    }
    const SteadyTime at = this->clock.now() - std::chrono::milliseconds(report.ageMilliseconds);
    if (at > replica->otherNodes.at) {
        observeLoad(*replica, report.inFlight, at);
    }
    if (at > replica->lastReported) {
        replica->lastReported = at;
        replica->version = report.version;
        replica->adapters = report.adapters;
        this->observeInstance(*replica, report.instance);
    }
    return report.isLeaving && this->markLeaving(*replica, report.instance);
}

void FleetState::observeLoad(Replica &replica, std::uint32_t inFlight, SteadyTime at)
{
    const double own = replica.history.at(at);
    replica.otherNodes.inFlight = std::max(0.0, inFlight - own);
    replica.otherNodes.at = at;
    replica.otherNodes.average.observe(replica.otherNodes.inFlight, this->clock.now(), this->settings->fleet.loadHalfLife);
}

void FleetState::observeInstance(Replica &replica, const std::string &instance)
{
    if (instance.empty() || instance == replica.instance) {
        return;
    }
    const bool isRestart = !replica.instance.empty();
    replica.instance = instance;
    if (replica.isLeaving && replica.leavingInstance.empty()) {
        replica.leavingInstance = instance;
    }
    if (replica.isLeaving && instance != replica.leavingInstance) {
        // A new instance ends the leaving state of its predecessor. The platform's list lags behind and may show either
        // state.
        replica.isLeaving = false;
        replica.isVmRemoved = false;
    }
    if (isRestart) {
        this->resetAfterRestart(replica);
    }
}

void FleetState::resetAfterRestart(Replica &replica)
{
    replica.prefixes.clear();
    replica.consecutiveFailures = 0;
    replica.ejection = {};
    replica.rampStart = this->clock.now();
}

std::vector<Replica *> FleetState::observe(const std::vector<ListedVm> &vms)
{
    std::unordered_map<VmName, bool> isLeaving;
    for (const ListedVm &vm : vms) {
        isLeaving[vm.name] = vm.isLeaving;
    }
    std::vector<Replica *> newlyLeaving;
    for (Replica &replica : this->replicas.all()) {
        const auto listed = isLeaving.find(replica.vm);
        if (listed == isLeaving.end()) {
            replica.isVmRemoved = replica.isLeaving;
        } else if (listed->second && this->markLeaving(replica)) {
            newlyLeaving.push_back(&replica);
        } else if (!listed->second && replica.isVmRemoved) {
            replica.isLeaving = false;
            replica.isVmRemoved = false;
            this->resetAfterRestart(replica);
        }
    }
    return newlyLeaving;
}

bool FleetState::markLeaving(Replica &replica, const std::string &instance)
{
    const bool isOutdatedNotice
        = !instance.empty() && !replica.instance.empty() && instance != replica.instance && instance == replica.leavingInstance;
    if (replica.isLeaving || isOutdatedNotice) {
        return false;
    }
    replica.isLeaving = true;
    replica.leavingInstance = instance.empty() ? replica.instance : instance;
    return true;
}

void FleetState::observe(Replica &replica, const std::vector<CacheEvent> &events)
{
    replica.prefixes.observe(events);
}

double estimatedInFlight(const Replica &replica, SteadyTime now, const LoadPrior &prior)
{
    const auto age = now - replica.otherNodes.at;
    const double averageWeight = decayFactor(age, prior.averageHalfLife);
    const double average = replica.otherNodes.average.valueOr(prior.otherNodesMean);
    const double longTermLoad = averageWeight * average + (1 - averageWeight) * prior.otherNodesMean;
    // NOTE: Half of the mean lifetime, because the other nodes received the same report and have already adjusted to
    // it.
    const auto halfLife = std::chrono::ceil<std::chrono::milliseconds>(prior.lifetime / 2);
    const double reportWeight = decayFactor(age, std::max(halfLife, minHalfLife));
    return replica.inFlight + reportWeight * replica.otherNodes.inFlight + (1 - reportWeight) * longTermLoad;
}

} // namespace Dogwoodkeel
