#pragma once

#include <LibBase/Clock.h>
#include <LibFleet/ReplicaTable.h>
#include <LibPlatform/VmList.h>
#include <LibSettings/SettingsHandle.h>
#include <LibWire/Generated/Messages.h>

#include <chrono>
#include <optional>
#include <vector>

namespace Dogwoodkeel
{

/** Outcome of one attempt at an endpoint. */
enum class AttemptOutcome {
    /** The endpoint responded, possibly with an error that the request itself caused. */
    Succeeded,
    /** The endpoint refused before it ran anything (503): it is full or starting, which is not a failure. */
    Refused,
    /** No connection could be established. */
    NotConnected,
    /** The connection was lost, the response was truncated, or the endpoint reported an internal error. */
    Failed,
    /** No progress within the timeout. */
    Unresponsive,
    /** Abandoned by this node or its caller; not attributed to the endpoint. */
    Abandoned,
};

/** Outcome and measurements of an attempt at an endpoint. */
struct AttemptResult
{
    AttemptOutcome outcome = AttemptOutcome::Succeeded;
    /** Set on success: mean time between tokens of a stream, or the duration of a plain call. */
    std::optional<std::chrono::microseconds> serviceTime;
};

/**
 * Maintains the state of all known endpoints from request outcomes, load reports, the VM list and cache events.
 * Performs no I/O; reads the time from the injected clock.
 */
class FleetState
{
public:
    FleetState(const Clock &clock, const SettingsHandle &settings, ReplicaTable &replicas);

    /** Records that a request of this node is sent to a replica. Each begin() is followed by one end(). */
    void begin(Replica &replica);

    /** Records the end of a request and its outcome. */
    void end(Replica &replica, const AttemptResult &result);

    /**
     * Applies a load report from the endpoint or from the node that polls it. Data older than the last applied is
     * ignored.
     * @return whether the report newly marked the endpoint as leaving
     */
    bool observe(const ReplicaReport &report);

    /**
     * Marks a replica as leaving, as reported by the endpoint itself, another node or the platform's list. No new
     * requests are sent to it; running requests continue.
     * @param instance the instance of the endpoint that leaves; empty if unknown
     * @return whether the replica was newly marked
     */
    bool markLeaving(Replica &replica, const std::string &instance = {});

    /**
     * Applies the platform's list of VMs. The list lags behind, so a VM that it shows as live may already be leaving; a
     * VM that was leaving counts as returned only after a list without it was received.
     * @return the replicas newly marked as leaving
     */
    std::vector<Replica *> observe(const std::vector<ListedVm> &vms);

    /**
     * Applies the number of requests that an endpoint reported with a response. This is the most recent load
     * information and needs no extra message.
     */
    void observeLoad(Replica &replica, std::uint32_t inFlight, SteadyTime at);

    /** Applies cache events of an endpoint. */
    static void observe(Replica &replica, const std::vector<CacheEvent> &events);

private:
    void observeInstance(Replica &replica, const std::string &instance);
    void resetAfterRestart(Replica &replica);
    static void accumulateRequestSeconds(Replica &replica, SteadyTime now);

    const Clock &clock;
    const SettingsHandle &settings;
    ReplicaTable &replicas;
};

/** Values assumed for a replica whose reports are missing or outdated. */
struct LoadPrior
{
    /** Mean number of the other nodes' requests on a replica of this capacity, over the pool. */
    double otherNodesMean = 0;
    /** Mean lifetime of a request over the pool; 0 if unknown. */
    std::chrono::duration<double> lifetime{0};
    /** Half-life of the average over the load reports. */
    std::chrono::milliseconds averageHalfLife{0};
};

/**
 * Estimates the requests of all nodes on a replica: this node's own count, which is exact, plus the other nodes'. For
 * those the last report is weighted most while the requests that it counted are likely to be running. After that the
 * average of the reports dominates, because it shows lasting imbalance (a popular prefix, a slow replica), and finally
 * the pool's mean.
 */
double estimatedInFlight(const Replica &replica, SteadyTime now, const LoadPrior &prior);

} // namespace Dogwoodkeel
