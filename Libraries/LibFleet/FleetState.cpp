#include <LibFleet/FleetState.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds shortestHalfLife{10};

} // namespace

FleetState::FleetState(const Clock &clock, const SettingsHandle &settings, ReplicaTable &replicas)
    : clock(clock), settings(settings), replicas(replicas)
{
}

void FleetState::begin(Replica &replica)
{
    replica.lastUsed = this->clock.now();
    occupy(replica, replica.lastUsed);
    replica.history.record(++replica.inFlight, replica.lastUsed);
}

void FleetState::end(Replica &replica, const AttemptResult &result)
{
    const SteadyTime now = this->clock.now();
    occupy(replica, now);
    // Little's law: the request-seconds over the requests that ended are the mean time a request lasts.
    replica.lifetime.observe(std::exchange(replica.occupied, 0), now, this->settings->fleet.latencyHalfLife);
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

void FleetState::occupy(Replica &replica, SteadyTime now)
{
    replica.occupied += replica.inFlight * std::chrono::duration<double>(now - replica.occupiedUntil).count();
    replica.occupiedUntil = now;
}

bool FleetState::observe(const ReplicaReport &report)
{
    Replica *const replica = this->replicas.find(report.endpoint);
    if (replica == nullptr) {
        return false;
    }
    const SteadyTime at = this->clock.now() - std::chrono::milliseconds(report.ageMilliseconds);
    if (at > replica->others.at) {
        observeLoad(*replica, report.inFlight, at);
    }
    if (at > replica->reported) {
        replica->reported = at;
        replica->version = report.version;
        replica->adapters = report.adapters;
        this->observeInstance(*replica, report.instance);
    }
    return report.isLeaving && this->markLeaving(*replica, report.instance);
}

void FleetState::observeLoad(Replica &replica, std::uint32_t inFlight, SteadyTime at)
{
    const double own = replica.history.at(at);
    replica.others.inFlight = std::max(0.0, inFlight - own);
    replica.others.at = at;
    replica.others.average.observe(replica.others.inFlight, this->clock.now(), this->settings->fleet.loadHalfLife);
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
        // The platform's list lags and may say either for a while: another start of the endpoint ends its leaving.
        replica.isLeaving = false;
        replica.isVmGone = false;
    }
    if (isRestart) {
        this->restarted(replica);
    }
}

void FleetState::restarted(Replica &replica)
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
    std::vector<Replica *> news;
    for (Replica &replica : this->replicas.all()) {
        const auto listed = isLeaving.find(replica.vm);
        if (listed == isLeaving.end()) {
            replica.isVmGone = replica.isLeaving;
        } else if (listed->second && this->markLeaving(replica)) {
            news.push_back(&replica);
        } else if (!listed->second && replica.isVmGone) {
            replica.isLeaving = false;
            replica.isVmGone = false;
            this->restarted(replica);
        }
    }
    return news;
}

bool FleetState::markLeaving(Replica &replica, const std::string &instance)
{
    const bool isOldNews
        = !instance.empty() && !replica.instance.empty() && instance != replica.instance && instance == replica.leavingInstance;
    if (replica.isLeaving || isOldNews) {
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
    const auto age = now - replica.others.at;
    const double averageTrust = remainingShare(age, prior.averageHalfLife);
    const double average = replica.others.average.valueOr(prior.othersMean);
    const double lasting = averageTrust * average + (1 - averageTrust) * prior.othersMean;
    // NOTE: Half of the mean lifetime, not all of it: the other nodes saw the same report and have acted on it.
    const auto halfLife = std::chrono::ceil<std::chrono::milliseconds>(prior.lifetime / 2);
    const double trust = remainingShare(age, std::max(halfLife, shortestHalfLife));
    return replica.inFlight + trust * replica.others.inFlight + (1 - trust) * lasting;
}

} // namespace Dogwoodkeel
