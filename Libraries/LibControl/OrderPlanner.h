#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>
#include <LibControl/EngineState.h>
#include <LibSettings/Generated/Settings.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** What was heard from the engines in one round; an engine that did not answer is absent. */
using EngineStateReports = std::map<EndpointName, EngineStateReport>;

/** An order that is to be sent now. */
struct PlannedOrder
{
    EndpointName endpoint;
    Address address;
    EngineState state;
};

/** What one round comes to. */
struct OrderPlan
{
    std::vector<PlannedOrder> orders;
    /** Why engines that are not as intended get no order yet; for operators. */
    std::vector<std::string> waits;
    /** Rollouts that stop now, as MODEL@VERSION. */
    std::vector<std::string> stops;
};

/** @return how a rollout is named in the lease's row. */
std::string rolloutName(const ModelSettings &model);

/**
 * Compares what the engines have with what they shall have. Pure: what it remembers is when loads were started, for the
 * pace of the weight store.
 *
 * An engine is taken from its version only while another goes on serving it; loads are started no faster than the weight
 * store delivers, and a bounded number at once in each failure domain, so that a mistake reaches one engine and not all.
 */
class OrderPlanner
{
public:
    explicit OrderPlanner(const Clock &clock);

    /**
     * @param settings in force
     * @param reports of this round
     * @param stopped rollouts that were stopped before
     */
    OrderPlan plan(const Settings &settings, const EngineStateReports &reports, const std::set<std::string> &stopped);

    /** @return what each endpoint shall have; one whose model is not listed gets no orders and is absent. */
    static std::map<EndpointName, EngineState>
    intendedStates(const Settings &settings, const EngineStateReports &reports, const std::set<std::string> &stopped);

private:
    struct Round;

    void countLoads(Round &round);
    void consider(Round &round, const EndpointSettings &endpoint);
    bool mayLoad(Round &round, const EndpointSettings &endpoint);
    void order(Round &round, const EndpointSettings &endpoint, const EngineState &intended);

    const Clock &clock;
    /** Loads that were ordered and are not yet seen as done. */
    std::map<EndpointName, SteadyTime> loading;
    SteadyTime nextLoad{};
};

} // namespace Dogwoodkeel
