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

/** What kind of request a limit is for. */
enum class LimitClass {
    Online,
    Lookup,
};

/** A limit, or a part of one, or the demand for one. */
struct RequestLimit
{
    double perSecond = 0;
    double concurrency = 0;
};

/** How much of a tenant's limit a node could use. */
struct TenantDemand
{
    WorkspaceName tenant;
    LimitClass kind = LimitClass::Online;
    RequestLimit wanted;
};

/**
 * Splits limits over the nodes that want them: each gets what it wants while there is enough, else as much as the others
 * (max-min fairness); what nobody wants is spread over those that asked, so that they can grow at once.
 */
class LimitSplitter
{
public:
    /** @param memory how long a node's demand counts */
    LimitSplitter(const Clock &clock, std::chrono::milliseconds memory);

    /** @return the part of the limit that the asking node may use. */
    RequestLimit split(SessionNumber node, const TenantDemand &demand, const RequestLimit &limit);

private:
    struct Known
    {
        RequestLimit wanted;
        SteadyTime at{};
    };

    using Key = std::pair<WorkspaceName, LimitClass>;

    const Clock &clock;
    std::chrono::milliseconds memory;
    std::map<Key, std::map<SessionNumber, Known>> demands;
};

/**
 * Enforces limits of tenants at one node: its share of each, which is the limit by the number of nodes until the node
 * that splits this tenant's limits has granted another.
 */
class TenantLimits
{
public:
    /** @return a tenant's limits in the whole site, or nothing if it has none. */
    using LimitOf = std::function<std::optional<RequestLimit>(const WorkspaceName &tenant, LimitClass kind)>;

    /** @param grantLife how long a granted share counts */
    TenantLimits(const Clock &clock, std::chrono::milliseconds grantLife, LimitOf limitOf);

    void setNodes(std::size_t count);

    /**
     * Take a request in, if the share allows.
     * @return nothing if it is taken, to be given back by release(); else when there is room again
     */
    std::optional<std::chrono::milliseconds> admit(const WorkspaceName &tenant, LimitClass kind);

    /** A request that was taken in is over. */
    void release(const WorkspaceName &tenant, LimitClass kind);

    /** The share that was granted to this node. */
    void grant(const WorkspaceName &tenant, LimitClass kind, const RequestLimit &share);

    /** @return what this node could use since the last call, of limits that it comes near to. */
    std::vector<TenantDemand> demands();

private:
    struct Use
    {
        double inUse = 0;
        /** Since the last report: the most in use, and what was refused on top. */
        double peak = 0;
        double arrived = 0;
        /** Requests that may come at once. */
        double tokens = 0;
        SteadyTime filled{};
        bool isNew = true;
        RequestLimit granted;
        std::optional<SteadyTime> grantedAt;
    };

    using Key = std::pair<WorkspaceName, LimitClass>;

    RequestLimit shareOf(const Use &use, const RequestLimit &limit) const;

    const Clock &clock;
    std::chrono::milliseconds grantLife;
    LimitOf limitOf;
    double nodes = 1;
    SteadyTime reported;
    std::map<Key, Use> uses;
};

} // namespace Dogwoodkeel
