#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>
#include <LibFleet/DecayingAverage.h>
#include <LibFleet/InFlightHistory.h>
#include <LibFleet/PrefixHints.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** The other nodes' requests on a replica, as last told. */
struct OthersLoad
{
    double inFlight = 0;
    /** When that was so; the epoch if it was never told. */
    SteadyTime at{};
    /** Over the reports that came. */
    DecayingAverage average;
};

/** Whether a replica is kept out of the choice because it failed too often. */
struct Ejection
{
    bool isEjected = false;
    SteadyTime until{};
    /** Ejections since it last served well for a while. */
    std::uint32_t times = 0;
};

/** What is known of one endpoint. */
struct Replica
{
    EndpointName name;
    Address address;
    FailureDomain failureDomain;
    /** The model it serves, or the plain service it is a replica of. */
    std::string serves;
    std::uint32_t capacity = 0;
    /** Requests of this node that run there. Changed by FleetState alone. */
    std::uint32_t inFlight = 0;
    /** Failures since its last success. */
    std::uint32_t consecutiveFailures = 0;
    /** Whether it is about to go; once seen, it stays so until another start of the endpoint reports. */
    bool isLeaving = false;

    /** The VM it runs on. */
    VmName vm;
    std::string generation;
    /** Which start of the endpoint; empty if it does not say. */
    std::string instance;
    /** The start that was seen leaving. */
    std::string leavingInstance;
    /** Whether it was leaving and its VM has since left the platform's list. */
    bool isVmGone = false;
    /** The model version it has loaded; empty if it is not known. */
    std::string version;
    std::vector<std::string> adapters;

    /** When this node last sent a request there. */
    SteadyTime lastUsed{};
    InFlightHistory history;
    OthersLoad others;
    /** Of when the last whole report is: it may be older than the last word on the load. */
    SteadyTime reported{};
    /** Share of attempts that failed. */
    DecayingAverage failures;
    /** Time of service: per token for a stream, of the whole call for a plain service; in seconds. */
    DecayingAverage serviceTime;
    /** How long requests of this node last there, in seconds. */
    DecayingAverage lifetime;
    /** Request-seconds there since the last one ended. */
    double occupied = 0;
    SteadyTime occupiedUntil{};
    Ejection ejection;
    /** Since when it is being given more again, after it was new or ejected. */
    SteadyTime rampStart{};
    PrefixHints prefixes;
};

} // namespace Dogwoodkeel
