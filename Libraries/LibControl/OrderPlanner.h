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

/** Reports received from engines in one round; an engine that did not respond is absent. */
using EngineStateReports = std::map<EndpointName, EngineStateReport>;

/** An order to be sent now. */
struct PlannedOrder
{
    EndpointName endpoint;
    Address address;
    EngineState state;
};

/** The result of one planning round. */
struct OrderPlan
{
    std::vector<PlannedOrder> orders;
    /** For operators: why engines that are not in the intended state get no order yet. */
    std::vector<std::string> waits;
    /** Rollouts to stop now, as MODEL@VERSION. */
    std::vector<std::string> stops;
};

/** @return the name of a model's rollout in the lease's row. */
std::string rolloutName(const ModelSettings &model);

/**
 * Compares the reported states of engines with the intended ones and plans orders. Performs no I/O; its only state is when
 * loads were started, to limit the load on the weight store.
 *
 * An engine stops serving a version only while another engine serves it. Loads are started no faster than the weight store
 * delivers, and the number of concurrent loads in each failure domain is bounded, so that a faulty configuration affects
 * few engines at first and not all.
 */
class OrderPlanner
{
public:
    explicit OrderPlanner(const Clock &clock);

    /**
     * @param settings settings in force
     * @param reports reports of this round
     * @param stopped rollouts stopped in earlier rounds
     */
    OrderPlan plan(const Settings &settings, const EngineStateReports &reports, const std::set<std::string> &stopped);

    /** @return the intended state of each endpoint; an endpoint whose model is not configured gets no orders and is absent. */
    static std::map<EndpointName, EngineState>
    intendedStates(const Settings &settings, const EngineStateReports &reports, const std::set<std::string> &stopped);

private:
    struct Round;

    void countLoads(Round &round);
    void planEndpoint(Round &round, const EndpointSettings &endpoint);
    bool mayLoad(Round &round, const EndpointSettings &endpoint);
    void order(Round &round, const EndpointSettings &endpoint, const EngineState &intended);

    const Clock &clock;
    /** Start times of loads that were ordered and are not yet reported as completed. */
    std::map<EndpointName, SteadyTime> loading;
    SteadyTime nextLoad{};
};

} // namespace Dogwoodkeel
