#include <Services/Control/Reconciler.h>

#include <LibBase/Log.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Maximum number of engines queried at once. */
constexpr std::size_t maxConcurrentQueries = 64;
/** Maximum number of waits listed in the status. */
constexpr std::size_t reportedWaits = 20;

} // namespace

Reconciler::Reconciler(Scheduler &scheduler, const Clock &clock, OrderLease &lease, Hooks hooks)
    : scheduler(scheduler), clock(clock), lease(lease), hooks(std::move(hooks)), planner(clock)
{
}

Reconciler::~Reconciler()
{
    *this->alive = false;
    this->scheduler.cancel(this->timer);
}

void Reconciler::start()
{
    this->tick();
}

void Reconciler::scheduleTick()
{
    const auto interval = this->hooks.configuration().settings->orders.interval;
    this->timer = this->scheduler.schedule(interval, [this] {
        this->tick();
    });
}

void Reconciler::tick()
{
    const auto round = std::make_shared<Round>();
    if (!this->begin(*round)) {
        this->scheduleTick();
        return;
    }
    if (round->endpoints.empty()) {
        this->decide(round);
        return;
    }
    const std::size_t count = std::min(maxConcurrentQueries, round->endpoints.size());
    for (std::size_t i = 0; i < count; ++i) {
        this->queryNext(round);
    }
}

bool Reconciler::begin(Round &round)
{
    round.configuration = this->hooks.configuration();
    if (!this->lease.maySendOrders()) {
        this->waits.clear();
        this->managed = 0;
        this->asIntended = 0;
        return false;
    }
    if (!this->lease.ensureConfigVersion(round.configuration.version)) {
        // If the version in the row is older, its renewal is in progress, and orders wait only for that.
        const std::uint64_t orderedVersion = this->lease.row().configVersion;
        this->waits.clear();
        if (orderedVersion > round.configuration.version) {
            this->waits.push_back("orders were given by configuration " + std::to_string(orderedVersion) + ", this node has "
                                  + std::to_string(round.configuration.version));
        }
        return false;
    }
    for (const EndpointSettings &endpoint : round.configuration.settings->endpoints) {
        const auto &models = round.configuration.settings->models;
        if (std::ranges::find(models, endpoint.model, &ModelSettings::name) != models.end()) {
            round.endpoints.push_back(endpoint);
        }
    }
    return true;
}

void Reconciler::queryNext(const RoundPointer &round)
{
    if (round->queried == round->endpoints.size()) {
        return;
    }
    const EndpointSettings &endpoint = round->endpoints[round->queried++];
    const auto received
        = [this, round, name = EndpointName(endpoint.name), alive = this->alive](std::optional<EngineStateReport> report) {
              if (!*alive) {
                  return;
              }
              if (report) {
                  round->reports[name] = *std::move(report);
              }
              if (++round->answered == round->endpoints.size()) {
                  this->decide(round);
                  return;
              }
              this->queryNext(round);
          };
    this->hooks.fetchReport(endpoint.address, received);
}

void Reconciler::decide(const RoundPointer &round)
{
    const Settings &settings = *round->configuration.settings;
    const auto &recorded = this->lease.row().stopped;
    this->stopped.insert(recorded.begin(), recorded.end());
    OrderPlan plan = this->planner.plan(settings, round->reports, this->stopped);
    this->recordStops(*round, plan.stops);
    this->managed = round->endpoints.size();
    this->asIntended = 0;
    for (const auto &[name, state] : OrderPlanner::intendedStates(settings, round->reports, this->stopped)) {
        const auto report = round->reports.find(name);
        this->asIntended += report != round->reports.end() && report->second.state == state ? 1 : 0;
    }
    this->waits = std::move(plan.waits);
    round->orders = std::move(plan.orders);
    this->sendNext(round);
}

void Reconciler::recordStops(const Round &round, const std::vector<std::string> &stops)
{
    for (const std::string &rollout : stops) {
        log(LogLevel::Error, "rollout stopped because errors rose", {{"rollout", rollout}});
        this->stopped.insert(rollout);
    }
    std::vector<std::string> running;
    for (const ModelSettings &model : round.configuration.settings->models) {
        if (model.nextShare > 0 && this->stopped.contains(rolloutName(model))) {
            running.push_back(rolloutName(model));
        }
    }
    // A rollout that an operator removed from the configuration may be tried again later.
    this->stopped = std::set<std::string>(running.begin(), running.end());
    this->lease.setStoppedRollouts(std::move(running));
}

void Reconciler::sendNext(const RoundPointer &round)
{
    // Checked before each order instead of once per round: the node may have been paused between two orders.
    if (round->orders.empty() || !this->lease.maySendOrders()) {
        this->scheduleTick();
        return;
    }
    const PlannedOrder planned = std::move(round->orders.back());
    round->orders.pop_back();
    const EngineOrder order{planned.state, this->lease.fence()};
    ++this->sent;
    log(LogLevel::Info,
        "order sent",
        {{"endpoint", planned.endpoint.value()},
         {"model", order.state.model},
         {"version", order.state.version},
         {"fence", static_cast<std::int64_t>(order.fence)}});
    this->hooks.sendOrder(planned.address, order, [this, round, alive = this->alive](OrderOutcome outcome) {
        if (!*alive) {
            return;
        }
        if (outcome == OrderOutcome::StaleFence) {
            this->lease.markLost();
        }
        this->sendNext(round);
    });
}

StatusPart Reconciler::status() const
{
    StatusPart part;
    const bool isHolder = this->lease.maySendOrders();
    part.json = nlohmann::json({{"gives_orders", isHolder},
                                {"holder_session", this->lease.row().holder.value()},
                                {"fence", this->lease.row().epoch},
                                {"managed", this->managed},
                                {"as_intended", this->asIntended},
                                {"orders_sent", this->sent}})
                    .dump();
    if (!isHolder) {
        return part;
    }
    for (const std::string &rollout : this->stopped) {
        part.degradations.push_back({"the rollout of " + rollout + " made errors rise and was stopped",
                                     "apply a configuration without it (next_share = 0), or with another version"});
    }
    for (std::size_t i = 0; i < std::min(reportedWaits, this->waits.size()); ++i) {
        part.degradations.push_back({"engine not as intended: " + this->waits[i], ""});
    }
    return part;
}

} // namespace Dogwoodkeel
