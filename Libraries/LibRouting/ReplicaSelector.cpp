#include <LibRouting/ReplicaSelector.h>

#include <LibFleet/FleetState.h>
#include <LibRouting/OutlierEjection.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Interval at which data that depends on the whole pool is refreshed. */
constexpr std::chrono::milliseconds refreshInterval{50};
/** Maximum number of random draws. If none finds an eligible replica, the whole pool is searched. */
constexpr int maxDraws = 12;
/** Maximum number of ring points that are checked for a replica with capacity. */
constexpr std::size_t maxRingPoints = 64;

bool wasTried(const Replica &replica, const SelectionQuery &query)
{
    return std::ranges::find(query.avoid, replica.name) != query.avoid.end();
}

bool hasAdapter(const Replica &replica, const SelectionQuery &query)
{
    return query.adapter.empty() || std::ranges::find(replica.adapters, query.adapter) != replica.adapters.end();
}

/** @return whether the replica can serve the request at all */
bool canServe(const Replica &replica, const SelectionQuery &query)
{
    return !replica.isLeaving && hasAdapter(replica, query) && !wasTried(replica, query);
}

/** @return whether the replica can serve, is not ejected and is outside the domain to avoid */
bool isPreferred(const Replica &replica, const SelectionQuery &query)
{
    const bool isInOtherDomain = query.avoidDomain.value().empty() || replica.failureDomain != query.avoidDomain;
    return canServe(replica, query) && !replica.ejection.isEjected && isInOtherDomain;
}

} // namespace

ReplicaSelector::Pool::Pool(std::vector<Replica *> replicas, std::uint64_t tableVersion)
    : all(std::move(replicas)), tableVersion(tableVersion), ring(this->all)
{
}

ReplicaSelector::ReplicaSelector(const Clock &clock,
                                 const SettingsHandle &settings,
                                 ReplicaTable &replicas,
                                 std::mt19937_64 &random)
    : clock(clock), settings(settings), replicas(replicas), random(random)
{
}

ReplicaSelector::Pool *ReplicaSelector::poolOf(const std::string &serves)
{
    const auto found = this->pools.find(serves);
    if (found != this->pools.end() && found->second.tableVersion == this->replicas.version()) {
        return &found->second;
    }
    const std::vector<Replica *> &all = this->replicas.of(serves);
    if (all.empty()) {
        this->pools.erase(serves);
        return nullptr;
    }
    Pool pool(all, this->replicas.version());
    if (found != this->pools.end()) {
        pool.rollout = std::move(found->second.rollout);
    }
    return &this->pools.insert_or_assign(serves, std::move(pool)).first->second;
}

void ReplicaSelector::setRollout(const std::string &model, std::vector<VersionWeight> weights)
{
    if (Pool *const pool = this->poolOf(model)) {
        pool->rollout = std::move(weights);
    }
}

void ReplicaSelector::refresh(Pool &pool, SteadyTime now)
{
    if (now - pool.lastRefresh < refreshInterval) {
        return;
    }
    pool.lastRefresh = now;
    updateEjections(pool.all, now, this->settings->fleet);
    pool.usable.clear();
    pool.usableByVersion.clear();
    for (Replica *const replica : pool.all) {
        if (!replica->isLeaving && !replica->ejection.isEjected) {
            pool.usable.push_back(replica);
            pool.usableByVersion[replica->version].push_back(replica);
        }
    }
    pool.means = meansOf(pool.usable, now, this->settings->fleet);
}

std::string ReplicaSelector::versionFor(const Pool &pool, const SelectionQuery &query)
{
    if (!query.version.empty() || pool.rollout.empty()) {
        return query.version;
    }
    double sum = 0;
    for (const VersionWeight &share : pool.rollout) {
        sum += pool.usableByVersion.contains(share.version) ? share.weight : 0;
    }
    double position = std::uniform_real_distribution<double>(0, sum)(this->random);
    for (const VersionWeight &share : pool.rollout) {
        position -= pool.usableByVersion.contains(share.version) ? share.weight : 0;
        if (position < 0) {
            return share.version;
        }
    }
    return {};
}

Replica *ReplicaSelector::select(const std::string &serves, const SelectionQuery &query)
{
    Pool *const pool = this->poolOf(serves);
    if (pool == nullptr) {
        return nullptr;
    }
    const SteadyTime now = this->clock.now();
    this->refresh(*pool, now);
    const std::string version = this->versionFor(*pool, query);
    const auto ofVersion = pool->usableByVersion.find(version);
    if (!query.version.empty() && ofVersion == pool->usableByVersion.end()) {
        return nullptr;
    }
    const bool anyVersion = version.empty() || ofVersion == pool->usableByVersion.end();
    const Draw draw{*pool, anyVersion ? pool->usable : ofVersion->second, query, now};
    if (query.prefix != 0) {
        if (Replica *const replica = this->selectByPrefix(draw, anyVersion ? std::string() : version)) {
            return replica;
        }
    }
    return this->selectCheaperOfTwo(draw);
}

Replica *ReplicaSelector::selectByPrefix(const Draw &draw, const std::string &version) const
{
    return draw.pool.ring.walk(draw.query.prefix, maxRingPoints, [&](const Replica &replica) {
        const bool isOfVersion = version.empty() || replica.version == version;
        return isOfVersion && isPreferred(replica, draw.query) && this->hasCapacity(replica, draw);
    });
}

bool ReplicaSelector::hasCapacity(const Replica &replica, const Draw &draw) const
{
    const FleetSettings &fleet = this->settings->fleet;
    const double oneSlot = 1 / std::max(1.0, static_cast<double>(replica.capacity));
    const double load = utilization(replica, draw.pool.means, 1, draw.now, fleet);
    return load <= fleet.prefixLoadBound * (draw.pool.means.utilization + oneSlot);
}

double ReplicaSelector::cost(const Replica &replica, const Draw &draw) const
{
    return replicaCost(replica, draw.pool.means, draw.query.ownDomain, draw.query.prefix, draw.now, this->settings->fleet);
}

Replica *ReplicaSelector::selectCheaperOfTwo(const Draw &draw)
{
    Replica *const first = this->drawCandidate(draw, nullptr);
    if (first == nullptr) {
        return this->selectFallback(draw);
    }
    Replica *const second = this->drawCandidate(draw, first);
    return second == nullptr || this->cost(*first, draw) <= this->cost(*second, draw) ? first : second;
}

Replica *ReplicaSelector::drawCandidate(const Draw &draw, const Replica *other)
{
    if (draw.candidates.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> position(0, draw.candidates.size() - 1);
    for (int tries = 0; tries < maxDraws; ++tries) {
        Replica *const replica = draw.candidates[position(this->random)];
        if (replica != other && isPreferred(*replica, draw.query)) {
            return replica;
        }
    }
    return nullptr;
}

Replica *ReplicaSelector::selectFallback(const Draw &draw)
{
    // Few replicas can serve, so all are checked, in this order: preferred ones, those in the failure domain that just
    // failed, ejected ones. An attempt there may fail, but refusing the request fails it for certain.
    const auto rank = [&draw](const Replica &replica) {
        return isPreferred(replica, draw.query) ? 0 : replica.ejection.isEjected ? 2 : 1;
    };
    std::vector<Replica *> best;
    int bestRank = 3;
    for (Replica *const replica : draw.pool.all) {
        const bool isOfVersion = draw.query.version.empty() || replica->version == draw.query.version;
        if (!isOfVersion || !canServe(*replica, draw.query) || rank(*replica) > bestRank) {
            continue;
        }
        if (rank(*replica) < bestRank) {
            bestRank = rank(*replica);
            best.clear();
        }
        best.push_back(replica);
    }
    if (best.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> position(0, best.size() - 1);
    Replica *const first = best[position(this->random)];
    Replica *const second = best[position(this->random)];
    return this->cost(*first, draw) <= this->cost(*second, draw) ? first : second;
}

} // namespace Dogwoodkeel
