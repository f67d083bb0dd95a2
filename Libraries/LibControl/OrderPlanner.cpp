#include <LibControl/OrderPlanner.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr const char *servingRole = "serve";

/** Requests to one version, and those of them that failed. */
struct ErrorCount
{
    std::uint64_t requests = 0;
    std::uint64_t errors = 0;

    double rate() const
    {
        return this->requests > 0 ? static_cast<double>(this->errors) / static_cast<double>(this->requests) : 0;
    }
};

ErrorCount errorsOf(const EngineStateReports &reports, const std::string &model, const std::string &version)
{
    ErrorCount count;
    for (const auto &[name, report] : reports) {
        if (report.state.model == model && report.state.version == version) {
            count.requests += report.requests;
            count.errors += report.errors;
        }
    }
    return count;
}

bool raisesErrorRate(const ModelSettings &model, const OrderSettings &orders, const EngineStateReports &reports)
{
    const ErrorCount next = errorsOf(reports, model.name, model.nextVersion);
    const bool isSufficient = next.requests >= static_cast<std::uint64_t>(orders.errorRequests);
    return isSufficient && next.rate() > errorsOf(reports, model.name, model.version).rate() + orders.errorLimit;
}

bool hasVersion(const EngineStateReports &reports, const EndpointSettings &endpoint, const std::string &version)
{
    const auto report = reports.find(EndpointName(endpoint.name));
    if (report == reports.end()) {
        return false;
    }
    const EngineState &state = report->second.loading ? *report->second.loading : report->second.state;
    return state.model == endpoint.model && state.version == version;
}

/** @return the endpoints of a model, in an order that does not depend on their order in the configuration. */
std::vector<const EndpointSettings *> endpointsOf(const Settings &settings, const std::string &model)
{
    std::vector<const EndpointSettings *> endpoints;
    for (const EndpointSettings &endpoint : settings.endpoints) {
        if (endpoint.model == model) {
            endpoints.push_back(&endpoint);
        }
    }
    std::ranges::sort(endpoints, {}, [](const EndpointSettings *endpoint) {
        return std::pair(stableHash(endpoint->name), endpoint->name);
    });
    return endpoints;
}

} // namespace

/** Intermediate state of one planning round. */
struct OrderPlanner::Round
{
    const Settings &settings;
    const EngineStateReports &reports;
    std::map<EndpointName, EngineState> intended;
    /** Engines that serve and have not been ordered to stop serving in this round. */
    std::map<EndpointName, EngineState> serving;
    std::map<std::string, std::int64_t> loadsByDomain;
    OrderPlan plan;

    bool isIntended(const std::string &model, const std::optional<std::string> &version) const
    {
        return std::ranges::any_of(this->intended, [&](const auto &entry) {
            return entry.second.model == model && entry.second.role == servingRole
                && (!version || entry.second.version == *version);
        });
    }

    bool isServedElsewhere(const EndpointName &except, const std::string &model, const std::optional<std::string> &version) const
    {
        return std::ranges::any_of(this->serving, [&](const auto &entry) {
            return entry.first != except && entry.second.model == model && (!version || entry.second.version == *version);
        });
    }

    const ModelSettings *model(const std::string &name) const
    {
        const auto found = std::ranges::find(this->settings.models, name, &ModelSettings::name);
        return found != this->settings.models.end() ? &*found : nullptr;
    }

    /** @return whether this engine may stop serving its current state, without interrupting service to callers. */
    bool mayStop(const EndpointName &name) const
    {
        const auto served = this->serving.find(name);
        if (served == this->serving.end()) {
            return true;
        }
        const EngineState &state = served->second;
        if (!this->isIntended(state.model, std::nullopt)) {
            return true;
        }
        const ModelSettings *const model = this->model(state.model);
        if (model != nullptr && model->mayInterrupt) {
            return true;
        }
        if (this->isIntended(state.model, state.version)) {
            return this->isServedElsewhere(name, state.model, state.version);
        }
        return this->isServedElsewhere(name, state.model, std::nullopt);
    }

    void addWait(const EndpointSettings &endpoint, const std::string &why)
    {
        this->plan.waits.push_back(endpoint.name + ": " + why);
    }
};

std::string rolloutName(const ModelSettings &model)
{
    return model.name + '@' + model.nextVersion;
}

OrderPlanner::OrderPlanner(const Clock &clock) : clock(clock)
{
}

std::map<EndpointName, EngineState>
OrderPlanner::intendedStates(const Settings &settings, const EngineStateReports &reports, const std::set<std::string> &stopped)
{
    std::map<EndpointName, EngineState> intended;
    for (const ModelSettings &model : settings.models) {
        const std::vector<const EndpointSettings *> endpoints = endpointsOf(settings, model.name);
        const auto count = static_cast<double>(endpoints.size());
        const auto nextCount = static_cast<std::size_t>(std::ceil(model.nextShare * count));
        const bool isStopped = stopped.contains(rolloutName(model));
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            const EndpointSettings &endpoint = *endpoints[i];
            // A stopped rollout reaches no further endpoints; a rollback is an operator's decision, by a new version.
            const bool isNext = i < nextCount && (!isStopped || hasVersion(reports, endpoint, model.nextVersion));
            EngineState state{model.name, isNext ? model.nextVersion : model.version, model.adapters, endpoint.role};
            std::ranges::sort(state.adapters);
            intended[EndpointName(endpoint.name)] = std::move(state);
        }
    }
    return intended;
}

OrderPlan OrderPlanner::plan(const Settings &settings, const EngineStateReports &reports, const std::set<std::string> &stopped)
{
    Round round{settings, reports, {}, {}, {}, {}};
    std::set<std::string> allStopped = stopped;
    for (const ModelSettings &model : settings.models) {
        const bool isRunning = model.nextShare > 0 && !stopped.contains(rolloutName(model));
        if (isRunning && raisesErrorRate(model, settings.orders, reports)) {
            round.plan.stops.push_back(rolloutName(model));
            allStopped.insert(rolloutName(model));
        }
    }
    round.intended = intendedStates(settings, reports, allStopped);
    for (const auto &[name, report] : reports) {
        if (!report.loading && report.state.role == servingRole && !report.state.model.empty()) {
            round.serving[name] = report.state;
        }
    }
    this->countLoads(round);
    for (const EndpointSettings &endpoint : settings.endpoints) {
        if (round.intended.contains(EndpointName(endpoint.name))) {
            this->planEndpoint(round, endpoint);
        }
    }
    return std::move(round.plan);
}

void OrderPlanner::countLoads(Round &round)
{
    const SteadyTime now = this->clock.now();
    for (const EndpointSettings &endpoint : round.settings.endpoints) {
        const EndpointName name(endpoint.name);
        const auto report = round.reports.find(name);
        const auto ordered = this->loading.find(name);
        if (report != round.reports.end() && report->second.loading) {
            this->loading.try_emplace(name, now);
            ++round.loadsByDomain[endpoint.failureDomain];
            continue;
        }
        if (ordered == this->loading.end()) {
            continue;
        }
        // An engine that was ordered to load and does not respond may still be reading from the weight store.
        const bool isUnresponsive = report == round.reports.end() && now - ordered->second < round.settings.orders.loadTimeout;
        if (isUnresponsive) {
            ++round.loadsByDomain[endpoint.failureDomain];
        } else {
            this->loading.erase(ordered);
        }
    }
}

void OrderPlanner::planEndpoint(Round &round, const EndpointSettings &endpoint)
{
    const EndpointName name(endpoint.name);
    const EngineState &intended = round.intended.at(name);
    const auto found = round.reports.find(name);
    if (found == round.reports.end()) {
        round.addWait(endpoint, "does not answer");
        return;
    }
    const EngineStateReport &report = found->second;
    if (report.loading == intended) {
        if (this->clock.now() - this->loading.at(name) > round.settings.orders.loadTimeout) {
            round.addWait(endpoint, "its load takes longer than orders.load_timeout; see to the weight store");
        }
        return;
    }
    if (report.state == intended && !report.loading) {
        return;
    }
    const bool hasWeights = report.state.model == intended.model && report.state.version == intended.version && !report.loading;
    const bool stopsServing = !hasWeights || intended.role != servingRole;
    if (stopsServing && !round.mayStop(name)) {
        round.addWait(endpoint, "is the last that serves " + report.state.model + ' ' + report.state.version);
        return;
    }
    if (!hasWeights && !this->mayLoad(round, endpoint)) {
        return;
    }
    if (stopsServing) {
        round.serving.erase(name);
    }
    this->order(round, endpoint, intended);
}

bool OrderPlanner::mayLoad(Round &round, const EndpointSettings &endpoint)
{
    std::int64_t &loads = round.loadsByDomain[endpoint.failureDomain];
    if (loads >= round.settings.orders.loadsPerDomain && !round.reports.at(EndpointName(endpoint.name)).loading) {
        round.addWait(endpoint, "others load in " + endpoint.failureDomain);
        return false;
    }
    const SteadyTime now = this->clock.now();
    if (now < this->nextLoad) {
        round.addWait(endpoint, "the weight store is busy with the loads before");
        return false;
    }
    const ModelSettings *const model = round.model(endpoint.model);
    const double seconds
        = static_cast<double>(model->weightBytes) / static_cast<double>(round.settings.orders.weightBytesPerSecond);
    this->nextLoad = now + std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(seconds));
    this->loading.insert_or_assign(EndpointName(endpoint.name), now);
    ++loads;
    return true;
}

void OrderPlanner::order(Round &round, const EndpointSettings &endpoint, const EngineState &intended)
{
    round.plan.orders.push_back({EndpointName(endpoint.name), endpoint.address, intended});
}

} // namespace Dogwoodkeel
