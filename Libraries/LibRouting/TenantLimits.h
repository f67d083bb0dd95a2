#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/** Kind of request that a limit applies to. */
enum class LimitClass {
    Online,
    Lookup,
};

/** A limit, a share of a limit, or the demand for one. */
struct RequestLimit
{
    double perSecond = 0;
    double concurrency = 0;
};

/** The part of a tenant's limit that a node could use. */
struct TenantDemand
{
    WorkspaceName tenant;
    LimitClass kind = LimitClass::Online;
    RequestLimit wanted;
};

/**
 * Splits limits over the nodes that demand them. Each node gets its full demand while the limit suffices, otherwise the
 * shares follow max-min fairness. Capacity that no node demands is divided equally among the demanding nodes, so that
 * they can grow at once.
 */
class LimitSplitter
{
public:
    /** @param demandLifetime how long a node's demand remains valid */
    LimitSplitter(const Clock &clock, std::chrono::milliseconds demandLifetime);

    /** @return the share of the limit that the requesting node may use */
    RequestLimit split(SessionNumber node, const TenantDemand &demand, const RequestLimit &limit);

private:
    struct NodeDemand
    {
        RequestLimit wanted;
        SteadyTime at{};
    };

    using Key = std::pair<WorkspaceName, LimitClass>;

    const Clock &clock;
    std::chrono::milliseconds demandLifetime;
    std::map<Key, std::map<SessionNumber, NodeDemand>> demands;
};

/**
 * Enforces the limits of tenants at one node. The node's share is the limit divided by the number of nodes, until the
 * node that splits this tenant's limits has granted another share.
 */
class TenantLimits
{
public:
    /** @return a tenant's limits for the whole site, or nothing if it has none */
    using LimitOf = std::function<std::optional<RequestLimit>(const WorkspaceName &tenant, LimitClass kind)>;

    /** @param grantLifetime how long a granted share remains valid */
    TenantLimits(const Clock &clock, std::chrono::milliseconds grantLifetime, LimitOf limitOf);

    void setNodes(std::size_t count);

    /**
     * Admits a request if the share allows it.
     * @return nothing if the request was admitted, which requires a later release(); otherwise the time after which to
     * retry
     */
    std::optional<std::chrono::milliseconds> admit(const WorkspaceName &tenant, LimitClass kind);

    /** Records the end of an admitted request. */
    void release(const WorkspaceName &tenant, LimitClass kind);

    /** Sets the share that was granted to this node. */
    void grant(const WorkspaceName &tenant, LimitClass kind, const RequestLimit &share);

    /** Returns the demand of this node since the last call, for each limit that it is close to. */
    std::vector<TenantDemand> demands();

private:
    struct Use
    {
        double inUse = 0;
        /** Maximum number in use since the last report, plus requests refused at that maximum. */
        double peak = 0;
        double arrived = 0;
        /** Requests that may be admitted at once. */
        double tokens = 0;
        SteadyTime lastRefill{};
        bool isNew = true;
        RequestLimit granted;
        std::optional<SteadyTime> grantedAt;
    };

    using Key = std::pair<WorkspaceName, LimitClass>;

    RequestLimit shareOf(const Use &use, const RequestLimit &limit) const;

    const Clock &clock;
    std::chrono::milliseconds grantLifetime;
    LimitOf limitOf;
    double nodes = 1;
    SteadyTime lastReport;
    std::map<Key, Use> uses;
};

} // namespace Dogwoodkeel
