#include <LibRouting/TenantLimits.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** A demand is reported from this fraction of the even share on; below it the even share is sufficient. */
constexpr double reportThreshold = 0.5;
/** Retry delay when the concurrency limit is reached, because it is unknown which running request ends first. */
constexpr std::chrono::milliseconds concurrencyRetryAfter{1000};

/** @return the highest equal bound under which the total does not exceed what is available (max-min fairness) */
double maxMinFairLevel(std::vector<double> wanted, double available)
{
    std::ranges::sort(wanted);
    double remaining = available;
    for (std::size_t i = 0; i < wanted.size(); ++i) {
        const double even = remaining / static_cast<double>(wanted.size() - i);
        if (wanted[i] >= even) {
            return even;
        }
        remaining -= wanted[i];
    }
    return available;
}

double shareOfDemand(const std::vector<double> &wanted, double own, double limit)
{
    double sum = 0;
    for (const double one : wanted) {
        sum += one;
    }
    const double spare = std::max(0.0, limit - sum) / static_cast<double>(wanted.size());
    return std::min(own, maxMinFairLevel(wanted, limit)) + spare;
}

} // namespace

LimitSplitter::LimitSplitter(const Clock &clock, std::chrono::milliseconds demandLifetime)
    : clock(clock), demandLifetime(demandLifetime)
{
}

RequestLimit LimitSplitter::split(SessionNumber node, const TenantDemand &demand, const RequestLimit &limit)
{
    const SteadyTime now = this->clock.now();
    // Expired demands for this tenant's limit are removed whenever a new one arrives, in one pass over the map.
    std::map<SessionNumber, NodeDemand> &nodeDemands = this->demands[{demand.tenant, demand.kind}];
    nodeDemands[node] = {demand.wanted, now};
    std::erase_if(nodeDemands, [&](const auto &entry) {
        return now - entry.second.at > this->demandLifetime;
    });
    std::vector<double> rates;
    std::vector<double> concurrencies;
    for (const auto &[session, one] : nodeDemands) {
        rates.push_back(one.wanted.perSecond);
        concurrencies.push_back(one.wanted.concurrency);
    }
    return {shareOfDemand(rates, demand.wanted.perSecond, limit.perSecond),
            shareOfDemand(concurrencies, demand.wanted.concurrency, limit.concurrency)};
}

TenantLimits::TenantLimits(const Clock &clock, std::chrono::milliseconds grantLifetime, LimitOf limitOf)
    : clock(clock), grantLifetime(grantLifetime), limitOf(std::move(limitOf)), lastReport(clock.now())
{
}

void TenantLimits::setNodes(std::size_t count)
{
    this->nodes = std::max<double>(1, static_cast<double>(count));
}

RequestLimit TenantLimits::shareOf(const Use &use, const RequestLimit &limit) const
{
    const bool isGranted = use.grantedAt && this->clock.now() - *use.grantedAt <= this->grantLifetime;
    const RequestLimit even{limit.perSecond / this->nodes, limit.concurrency / this->nodes};
    const RequestLimit share = isGranted ? use.granted : even;
    // If there are more nodes than allowed concurrent requests, each node still accepts one, so that a tenant is never
    // blocked completely.
    return {share.perSecond, std::max(1.0, share.concurrency)};
}

std::optional<std::chrono::milliseconds> TenantLimits::admit(const WorkspaceName &tenant, LimitClass kind)
{
    const std::optional<RequestLimit> limit = this->limitOf(tenant, kind);
    if (!limit) {
        return std::nullopt;
    }
    Use &use = this->uses[{tenant, kind}];
    const RequestLimit share = this->shareOf(use, *limit);
    const SteadyTime now = this->clock.now();
    const double burst = std::max(1.0, share.perSecond);
    const std::chrono::duration<double> passed = now - use.lastRefill;
    use.tokens = use.isNew ? burst : std::min(burst, use.tokens + passed.count() * share.perSecond);
    use.isNew = false;
    use.lastRefill = now;
    ++use.arrived;
    use.peak = std::max(use.peak, use.inUse + 1);
    if (use.tokens < 1) {
        const std::chrono::duration<double> wait((1 - use.tokens) / std::max(share.perSecond, 0.001));
        return std::chrono::ceil<std::chrono::milliseconds>(wait);
    }
    if (use.inUse + 1 > share.concurrency) {
        ++use.peak;
        return concurrencyRetryAfter;
    }
    --use.tokens;
    ++use.inUse;
    return std::nullopt;
}

void TenantLimits::release(const WorkspaceName &tenant, LimitClass kind)
{
    const auto found = this->uses.find({tenant, kind});
    if (found != this->uses.end()) {
        found->second.inUse = std::max(0.0, found->second.inUse - 1);
    }
}

void TenantLimits::grant(const WorkspaceName &tenant, LimitClass kind, const RequestLimit &share)
{
    const auto found = this->uses.find({tenant, kind});
    if (found != this->uses.end()) {
        found->second.granted = share;
        found->second.grantedAt = this->clock.now();
    }
}

std::vector<TenantDemand> TenantLimits::demands()
{
    const SteadyTime now = this->clock.now();
    const double seconds = std::max(0.001, std::chrono::duration<double>(now - this->lastReport).count());
    this->lastReport = now;
    std::vector<TenantDemand> nearLimit;
    for (auto &[key, use] : this->uses) {
        const auto limit = this->limitOf(key.first, key.second);
        const RequestLimit wanted{use.arrived / seconds, use.peak};
        const bool isNear = limit
            && (wanted.perSecond > reportThreshold * limit->perSecond / this->nodes
                || wanted.concurrency > reportThreshold * limit->concurrency / this->nodes);
        if (isNear) {
            nearLimit.push_back({key.first, key.second, wanted});
        }
        use.arrived = 0;
        use.peak = use.inUse;
    }
    std::erase_if(this->uses, [&](const auto &entry) {
        const Use &use = entry.second;
        return use.inUse == 0 && now - use.lastRefill > this->grantLifetime;
    });
    return nearLimit;
}

} // namespace Dogwoodkeel
