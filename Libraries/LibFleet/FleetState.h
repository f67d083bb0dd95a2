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

/** How one attempt at an endpoint ended. */
enum class AttemptOutcome {
    /** With an answer, be it an error of the request's own. */
    Succeeded,
    /** The endpoint refused before it ran anything (503): it is full or starting, and not at fault. */
    Refused,
    /** No connection could be made. */
    NotConnected,
    /** The connection broke, the answer was cut short, or the endpoint reported an error of its own. */
    Failed,
    /** No sign of progress for too long. */
    Unresponsive,
    /** Given up by this node or its caller: says nothing about the endpoint. */
    Abandoned,
};

/** What an attempt taught about its endpoint. */
struct AttemptResult
{
    AttemptOutcome outcome = AttemptOutcome::Succeeded;
    /** With success: mean time between tokens of a stream, or the time of a plain call. */
    std::optional<std::chrono::microseconds> serviceTime;
};

/** Keeps what is known of the endpoints up to date. Pure: it is told all, and takes time from the clock. */
class FleetState
{
public:
    FleetState(const Clock &clock, const SettingsHandle &settings, ReplicaTable &replicas);

    /** A request of this node goes to a replica. Each begin() is followed by one end(). */
    void begin(Replica &replica);

    /** It is over. */
    void end(Replica &replica, const AttemptResult &result);

    /**
     * A load report came, from the endpoint or from the node that polls it. An older one than the last is not counted.
     * @return whether the endpoint was not known to be leaving before, and is now
     */
    bool observe(const ReplicaReport &report);

    /**
     * An endpoint is about to go: by its own word, another node's or the platform's list. Nothing new is sent there from
     * now on; what runs there goes on.
     * @param instance which start of it, if that was told
     * @return whether this was news
     */
    bool markLeaving(Replica &replica, const std::string &instance = {});

    /**
     * The platform's list of VMs came. It lags, so that a VM it has live may be leaving by its endpoint's own word; a VM
     * that was leaving counts as back only once the list was seen without it.
     * @return the replicas that are leaving and were not known to be
     */
    std::vector<Replica *> observe(const std::vector<ListedVm> &vms);

    /** An endpoint told how many requests it has, with an answer: as fresh as it gets, and free. */
    void observeLoad(Replica &replica, std::uint32_t inFlight, SteadyTime at);

    /** Cache events came. */
    static void observe(Replica &replica, const std::vector<CacheEvent> &events);

private:
    void observeInstance(Replica &replica, const std::string &instance);
    void restarted(Replica &replica);
    static void occupy(Replica &replica, SteadyTime now);

    const Clock &clock;
    const SettingsHandle &settings;
    ReplicaTable &replicas;
};

/** What is assumed of a replica where its reports say too little. */
struct LoadPrior
{
    /** The other nodes' requests on a replica of its capacity, on average over the pool. */
    double othersMean = 0;
    /** How long a request lasts, on average over the pool; 0 if it is not known. */
    std::chrono::duration<double> lifetime{0};
    /** How fast the average of the reports forgets. */
    std::chrono::milliseconds averageHalfLife{0};
};

/**
 * Requests on a replica, of all nodes: this node's own, which are exact, and the others'. Of those the last report says
 * something only as long as the requests it counted last; after that the average of the reports says more, because it
 * shows what is lastingly uneven (a popular prefix, a slow replica); and after that the pool's mean.
 */
double estimatedInFlight(const Replica &replica, SteadyTime now, const LoadPrior &prior);

} // namespace Dogwoodkeel
