#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>
#include <LibControl/EngineState.h>
#include <LibControl/OrderLease.h>
#include <LibControl/OrderPlanner.h>
#include <LibSettings/SettingsHandle.h>
#include <Services/Control/StatusBoard.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** What became of an order that was sent. */
enum class OrderOutcome {
    Taken,
    /** The engine has seen a higher fencing number: another node gives the orders now. */
    StaleFence,
    /** No answer, or a refusal for another reason. It may have taken effect; the next report tells. */
    Failed,
};

/**
 * Brings the engines of this node's site to the intended state, as long as the node holds the lease of orders: hears
 * every engine, has the planner decide, sends what it decided, and hears them again. An order is never taken as carried
 * out because its answer said so, nor as lost because there was none: only the next report counts.
 */
class Reconciler
{
public:
    /** The configuration in force. */
    struct Configuration
    {
        SettingsPointer settings;
        std::uint64_t version = 0;
    };

    /** How it reaches the engines. */
    struct Hooks
    {
        std::function<Configuration()> configuration;
        std::function<void(const Address &, std::function<void(std::optional<EngineStateReport>)>)> fetchReport;
        std::function<void(const Address &, const EngineOrder &, std::function<void(OrderOutcome)>)> sendOrder;
    };

    Reconciler(Scheduler &scheduler, const Clock &clock, OrderLease &lease, Hooks hooks);
    ~Reconciler();
    Reconciler(const Reconciler &) = delete;
    Reconciler &operator=(const Reconciler &) = delete;

    void start();

    /** @return this node's part of the status. */
    StatusPart status() const;

private:
    /** One comparison on its way. */
    struct Round
    {
        Configuration configuration;
        std::vector<EndpointSettings> endpoints;
        std::size_t asked = 0;
        std::size_t answered = 0;
        EngineStateReports reports;
        std::vector<PlannedOrder> orders;
    };
    using RoundPointer = std::shared_ptr<Round>;

    void tick();
    void nextTick();
    bool begin(Round &round);
    void askNext(const RoundPointer &round);
    void decide(const RoundPointer &round);
    void rememberStops(const Round &round, const std::vector<std::string> &stops);
    void sendNext(const RoundPointer &round);

    Scheduler &scheduler;
    const Clock &clock;
    OrderLease &lease;
    Hooks hooks;
    OrderPlanner planner;
    std::set<std::string> stopped;
    std::vector<std::string> waits;
    std::size_t managed = 0;
    std::size_t asIntended = 0;
    std::uint64_t sent = 0;
    TimerId timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
