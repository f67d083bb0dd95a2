#include <LibRouting/TenantLimits.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** A demand is told once it is this much of an even share: below, the even share does. */
constexpr double tellFrom = 0.5;
/** How long to come back after, when it is not known which of the running requests ends first. */
constexpr std::chrono::milliseconds concurrencyPause{1000};

/** @return the most that each may get so that all together get no more than there is (max-min fairness). */
double fairLevel(std::vector<double> wanted, double available)
{
    std::ranges::sort(wanted);
    double left = available;
    for (std::size_t i = 0; i < wanted.size(); ++i) {
        const double even = left / static_cast<double>(wanted.size() - i);
        if (wanted[i] >= even) {
            return even;
        }
        left -= wanted[i];
    }
    return available;
}

double partOf(const std::vector<double> &wanted, double own, double limit)
{
    double sum = 0;
    for (const double one : wanted) {
        sum += one;
    }
    const double spare = std::max(0.0, limit - sum) / static_cast<double>(wanted.size());
    return std::min(own, fairLevel(wanted, limit)) + spare;
}

} // namespace

LimitSplitter::LimitSplitter(const Clock &clock, std::chrono::milliseconds memory) : clock(clock), memory(memory)
{
}

RequestLimit LimitSplitter::split(SessionNumber node, const TenantDemand &demand, const RequestLimit &limit)
{
    const SteadyTime now = this->clock.now();
    // What other tenants' nodes no longer ask for goes as new demands come, one look at the map for each.
    std::map<SessionNumber, Known> &known = this->demands[{demand.tenant, demand.kind}];
    known[node] = {demand.wanted, now};
    std::erase_if(known, [&](const auto &entry) {
        return now - entry.second.at > this->memory;
    });
    std::vector<double> rates;
    std::vector<double> places;
    for (const auto &[session, one] : known) {
        rates.push_back(one.wanted.perSecond);
        places.push_back(one.wanted.concurrency);
    }
    return {partOf(rates, demand.wanted.perSecond, limit.perSecond),
            partOf(places, demand.wanted.concurrency, limit.concurrency)};
}

TenantLimits::TenantLimits(const Clock &clock, std::chrono::milliseconds grantLife, LimitOf limitOf)
    : clock(clock), grantLife(grantLife), limitOf(std::move(limitOf)), reported(clock.now())
{
}

void TenantLimits::setNodes(std::size_t count)
{
    this->nodes = std::max<double>(1, static_cast<double>(count));
}

RequestLimit TenantLimits::shareOf(const Use &use, const RequestLimit &limit) const
{
    const bool isGranted = use.grantedAt && this->clock.now() - *use.grantedAt <= this->grantLife;
    const RequestLimit even{limit.perSecond / this->nodes, limit.concurrency / this->nodes};
    const RequestLimit share = isGranted ? use.granted : even;
    // With more nodes than the limit has places, each still takes one request: a tenant is never shut out for good.
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
    const double most = std::max(1.0, share.perSecond);
    const std::chrono::duration<double> passed = now - use.filled;
    use.tokens = use.isNew ? most : std::min(most, use.tokens + passed.count() * share.perSecond);
    use.isNew = false;
    use.filled = now;
    ++use.arrived;
    use.peak = std::max(use.peak, use.inUse + 1);
    if (use.tokens < 1) {
        const std::chrono::duration<double> wait((1 - use.tokens) / std::max(share.perSecond, 0.001));
        return std::chrono::ceil<std::chrono::milliseconds>(wait);
    }
    if (use.inUse + 1 > share.concurrency) {
        ++use.peak;
        return concurrencyPause;
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
    const double seconds = std::max(0.001, std::chrono::duration<double>(now - this->reported).count());
    this->reported = now;
    std::vector<TenantDemand> told;
    for (auto &[key, use] : this->uses) {
        const auto limit = this->limitOf(key.first, key.second);
        const RequestLimit wanted{use.arrived / seconds, use.peak};
        const bool isNear = limit
            && (wanted.perSecond > tellFrom * limit->perSecond / this->nodes
                || wanted.concurrency > tellFrom * limit->concurrency / this->nodes);
        if (isNear) {
            told.push_back({key.first, key.second, wanted});
        }
        use.arrived = 0;
        use.peak = use.inUse;
    }
    std::erase_if(this->uses, [&](const auto &entry) {
        const Use &use = entry.second;
        return use.inUse == 0 && now - use.filled > this->grantLife;
    });
    return told;
}

} // namespace Dogwoodkeel
