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

/** Names a service that routes send requests to. */
using ServiceName = StrongType<struct ServiceNameTag, std::string>;

/** What may be done with the requests of a route. */
enum class RouteKind {
    /** Idempotent, with a whole answer. */
    Idempotent,
    /** Runs at most once, with a whole answer. */
    NonIdempotent,
    /** Generates a stream of events. */
    Stream,
    /** Takes batch jobs, whose items generate streams of events. */
    Batch,
};

/** One of the services that share a route. */
struct RouteTarget
{
    ServiceName service;
    /** Its share of the requests, against the other targets' weights. */
    std::uint32_t weight = 1;

    bool operator==(const RouteTarget &) const = default;
};

/** Which requests go where, and how. */
struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<RouteTarget> targets;
    /** Longest time that a request may be kept waiting; zero: no bound beside the caller's. */
    std::chrono::milliseconds timeout{0};
    /** Within which an answer, or a stream's first event, is on time. */
    std::chrono::milliseconds objective{0};
    /** Longest pause between two events of a stream that is on time. */
    std::chrono::milliseconds longestPause{0};
    /** The most urgent is 0. */
    std::int32_t priority = 0;
    /** Replicas that one attempt of a caller may be sent to. */
    std::uint32_t maxAttempts = 1;
    /** Whether a broken stream may go on at another replica. */
    bool isResumable = false;
    /** Whether its callers need no key. */
    bool isPublic = false;
    /** Batch: tokens that may wait on the route, of each workspace if there are any; 0: no limit. */
    std::uint64_t waitingTokens = 0;
    /** Batch: when all results are due, counted from the job's first submission. */
    std::chrono::milliseconds completionTarget{0};
    /** Batch: when an item may be given up, counted from the job's first submission. */
    std::chrono::seconds retention{0};

    bool operator==(const Route &) const = default;
};

/** What is known in advance of a service's model engines. */
struct EngineTraits
{
    /** Requests that one replica runs side by side. */
    std::uint32_t slots = 0;
    /** Tokens that one replica's memory holds. */
    std::uint64_t memoryTokens = 0;

    bool operator==(const EngineTraits &) const = default;
};

/** A service: replicas that answer the same requests. */
struct Service
{
    ServiceName name;
    std::string healthPath;
    /** Connections that one replica takes, from all nodes together. */
    std::uint32_t maxConnections = 0;
    /** For a service of model engines. */
    std::optional<EngineTraits> engine;

    bool operator==(const Service &) const = default;
};

/** What callers may send. Zero: not stated. */
struct StatedLimits
{
    std::uint64_t headBytes = 0;
    std::uint64_t bodyBytes = 0;
    std::chrono::milliseconds headTimeout{0};
    std::chrono::milliseconds idleTimeout{0};

    bool operator==(const StatedLimits &) const = default;
};

/** One version of the configuration that operators put into force. */
struct ServingConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    StatedLimits limits;
    /** Null: callers need no key. */
    std::shared_ptr<const WorkspaceDirectory> workspaces;

    /** @return the route with the longest prefix that begins the path, among those of the host, or null. */
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /** @return the route of that name, or null. */
    const Route *findRoute(std::string_view name) const;

    /** @return the service of that name, or null. */
    const Service *findService(const ServiceName &name) const;
};

using ServingConfigurationPointer = std::shared_ptr<const ServingConfiguration>;

/**
 * @param workspace null if callers need no key
 * @return the priority of its requests on a route; the most urgent is 0. The workspace's goes before the route's.
 */
std::uint32_t priorityOf(const Route &route, const Workspace *workspace);

/**
 * @param point from 0 to below 1; the same point gives the same target as long as the weights stay
 * @return the target at that point of the weights, or null if there is none
 */
const RouteTarget *chooseTarget(const Route &route, double point);

} // namespace Dogwoodkeel
