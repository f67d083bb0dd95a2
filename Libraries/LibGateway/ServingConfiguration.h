#pragma once

#include <LibBase/StrongType.h>
#include <LibWorkspace/WorkspaceDirectory.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Identifies a service, which is the target of routes. */
using ServiceName = StrongType<struct ServiceNameTag, std::string>;

/** How the requests of a route may be executed. */
enum class RouteKind {
    /** Idempotent; the answer is sent as a whole. */
    Idempotent,
    /** Executed at most once; the answer is sent as a whole. */
    NonIdempotent,
    /** Generates a stream of events. */
    Stream,
    /** Accepts batch jobs, whose items generate streams of events. */
    Batch,
};

/** One of the services that share a route. */
struct RouteTarget
{
    ServiceName service;
    /** Share of the requests, relative to the weights of the other targets. */
    std::uint32_t weight = 1;

    bool operator==(const RouteTarget &) const = default;
};

/** A rule that maps requests to services, and states how they are executed. */
struct Route
{
    std::string name;
    std::string host;
    /** Path prefix; begins and ends with a slash. */
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<RouteTarget> targets;
    /** Maximum time that a request may wait; zero: only the caller's limit applies. */
    std::chrono::milliseconds timeout{0};
    /** Target time until the answer, or the first event of a stream. */
    std::chrono::milliseconds objective{0};
    /** Target for the maximum pause between two events of a stream. */
    std::chrono::milliseconds longestPause{0};
    /** 0 is the most urgent. */
    std::int32_t priority = 0;
    /** Maximum number of replicas to which one attempt of a caller is sent. */
    std::uint32_t maxAttempts = 1;
    /** Whether an interrupted stream may be resumed at another replica. */
    bool isResumable = false;
    /** Whether callers need no key. */
    bool isPublic = false;
    /** Batch: maximum number of waiting tokens on the route, per workspace if there are workspaces; 0: no limit. */
    std::uint64_t waitingTokens = 0;
    /** Batch: time from the first submission of a job until all its results are due. */
    std::chrono::milliseconds completionTarget{0};
    /** Batch: time from the first submission of a job until its items may be abandoned. */
    std::chrono::seconds retention{0};

    bool operator==(const Route &) const = default;
};

/** Static properties of the model engines of a service. */
struct EngineTraits
{
    /** Requests that one replica runs concurrently. */
    std::uint32_t slots = 0;
    /** Tokens that fit into the memory of one replica. */
    std::uint64_t memoryTokens = 0;

    bool operator==(const EngineTraits &) const = default;
};

/** A service: a set of replicas that serve the same requests. */
struct Service
{
    ServiceName name;
    std::string healthPath;
    /** Maximum number of connections to one replica, from all nodes together. */
    std::uint32_t maxConnections = 0;
    /** Present if the replicas are model engines. */
    std::optional<EngineTraits> engine;

    bool operator==(const Service &) const = default;
};

/** Limits on what callers send, as stated in the configuration. Zero: not stated. */
struct ConfiguredLimits
{
    std::uint64_t headBytes = 0;
    std::uint64_t bodyBytes = 0;
    std::chrono::milliseconds headTimeout{0};
    std::chrono::milliseconds idleTimeout{0};

    bool operator==(const ConfiguredLimits &) const = default;
};

/** One version of the configuration that operators put in force. */
struct ServingConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    ConfiguredLimits limits;
    /** Null: callers need no key. */
    std::shared_ptr<const WorkspaceDirectory> workspaces;

    /** @return the route of the host with the longest prefix of the path, or null. */
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /** @return the route that findRoute() returns, if it is one of batch jobs, or null. */
    const Route *findBatchRoute(std::string_view host, std::string_view path) const;

    /** @return the route of batch jobs with that name, or null. */
    const Route *findBatchRoute(std::string_view name) const;

    /** @return the service with that name, or null. */
    const Service *findService(const ServiceName &name) const;
};

using ServingConfigurationPointer = std::shared_ptr<const ServingConfiguration>;

/**
 * @param workspace null if callers need no key
 * @return the priority of requests on a route; 0 is the most urgent. The workspace's priority takes precedence over the route's.
 */
std::uint32_t priorityOf(const Route &route, const Workspace *workspace);

/**
 * @param point in [0, 1); the same point gives the same target as long as the weights do not change
 * @return the target at that point of the cumulative weights, or null if no target has a weight
 */
const RouteTarget *selectTarget(const Route &route, double point);

} // namespace Dogwoodkeel
