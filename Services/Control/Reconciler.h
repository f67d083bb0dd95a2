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

/** The outcome of an order that was sent. */
enum class OrderOutcome {
    Accepted,
    /** The engine has seen a higher fencing number, so another node gives the orders. */
    StaleFence,
    /** No answer, or a refusal for another reason. It may have taken effect; the next report shows it. */
    Failed,
};

/**
 * Brings the engines of this node's site to the intended state, as long as the node holds the lease for orders. Each
 * round fetches the report of every engine, makes a plan and sends its orders. Neither an answer nor a missing answer
 * decides whether an order was carried out: only the next report does.
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

    /** Callbacks for the configuration and the engines. */
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
    /** One comparison of reported and intended states that is in progress. */
    struct Round
    {
        Configuration configuration;
        std::vector<EndpointSettings> endpoints;
        std::size_t queried = 0;
        std::size_t answered = 0;
        EngineStateReports reports;
        std::vector<PlannedOrder> orders;
    };
    using RoundPointer = std::shared_ptr<Round>;

    void tick();
    void scheduleTick();
    bool begin(Round &round);
    void queryNext(const RoundPointer &round);
    void decide(const RoundPointer &round);
    void recordStops(const Round &round, const std::vector<std::string> &stops);
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
