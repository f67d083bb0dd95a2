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

/** The other nodes' requests on a replica, from the last load report. */
struct OtherNodesLoad
{
    double inFlight = 0;
    /** Time to which the number applies; the epoch if none was reported. */
    SteadyTime at{};
    /** Average over the load reports. */
    DecayingAverage average;
};

/** Whether a replica is excluded from the selection because of repeated failures. */
struct Ejection
{
    bool isEjected = false;
    SteadyTime until{};
    /** Ejections since the replica last recovered. */
    std::uint32_t times = 0;
};

/** State of one endpoint as known to this node. */
struct Replica
{
    EndpointName name;
    Address address;
    FailureDomain failureDomain;
    /** The model or plain service that the replica serves. */
    std::string serves;
    std::uint32_t capacity = 0;
    /** Requests of this node that run on the replica. Modified only by FleetState. */
    std::uint32_t inFlight = 0;
    /** Failures since the last success. */
    std::uint32_t consecutiveFailures = 0;
    /**
     * Whether the endpoint is leaving. Once set, it remains until another instance of the endpoint reports, or until
     * its VM returns to the list after having been removed.
     */
    bool isLeaving = false;

    /** The VM that the endpoint runs on. */
    VmName vm;
    std::string generation;
    /** Identifier of the running instance of the endpoint; empty if not reported. */
    std::string instance;
    /** The instance that was reported as leaving. */
    std::string leavingInstance;
    /** Whether the endpoint was leaving and its VM has since been removed from the platform's list. */
    bool isVmRemoved = false;
    /** The model version that is loaded; empty if unknown. */
    std::string version;
    std::vector<std::string> adapters;

    /** When this node last sent a request to the replica. */
    SteadyTime lastUsed{};
    InFlightHistory history;
    OtherNodesLoad otherNodes;
    /** Time of the last complete report; the load may have been updated later by a response. */
    SteadyTime lastReported{};
    /** Share of attempts that failed. */
    DecayingAverage failures;
    /** Service time in seconds: per token for a stream, per call for a plain service. */
    DecayingAverage serviceTime;
    /** Lifetime of this node's requests on the replica, in seconds. */
    DecayingAverage lifetime;
    /** Request-seconds accumulated since the last request ended. */
    double requestSeconds = 0;
    SteadyTime requestSecondsUntil{};
    Ejection ejection;
    /** Beginning of the slow start, after a restart of the endpoint or the end of an ejection. */
    SteadyTime rampStart{};
    PrefixHints prefixes;
};

} // namespace Dogwoodkeel
