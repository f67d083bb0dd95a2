#pragma once

#include <LibBase/Clock.h>
#include <LibFleet/ReplicaTable.h>
#include <LibRouting/PrefixRing.h>
#include <LibRouting/ReplicaScore.h>
#include <LibSettings/SettingsHandle.h>

#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace Dogwoodkeel
{

/** Constraints and preferences for the selection of a replica. */
struct SelectionQuery
{
    /** The selecting node's failure domain; replicas in it are slightly preferred. */
    FailureDomain ownDomain;
    /** Replicas already tried for this request. */
    std::vector<EndpointName> avoid;
    /** The failure domain in which the request just failed; used only if no other can serve. */
    FailureDomain avoidDomain;
    /** Key of the prompt's first bytes, used to select a replica that has them in its cache; 0 for none. */
    std::uint64_t prefix = 0;
    /** The required model version; if empty, selected by the rollout's weights. */
    std::string version;
    /** The adapter that must be loaded; empty for none. */
    std::string adapter;
};

/** A model version's weight in a gradual rollout. */
struct VersionWeight
{
    std::string version;
    double weight = 0;
};

/**
 * Selects replicas: the one to which the prompt's prefix is assigned, unless its load is too high; otherwise the
 * cheaper of two drawn at random (Mitzenmacher, 2001).
 *
 * A selection examines only a few replicas. Data that depends on the whole pool (means, ejections) is refreshed at
 * intervals. The load bound on prefix affinity (Mirrokni, Thorup, Zadimoghaddam, 2018) prevents a popular prefix from
 * overloading one replica.
 */
class ReplicaSelector
{
public:
    ReplicaSelector(const Clock &clock, const SettingsHandle &settings, ReplicaTable &replicas, std::mt19937_64 &random);

    /**
     * @param serves the model or plain service
     * @param query constraints and preferences
     * @return the selected replica, or null if none is eligible
     */
    Replica *select(const std::string &serves, const SelectionQuery &query);

    /**
     * Sets how requests that name no version are distributed over a model's versions. An unlisted version gets none as
     * long as a listed one can serve.
     * @param weights empty: versions are not distinguished
     */
    void setRollout(const std::string &model, std::vector<VersionWeight> weights);

private:
    struct Pool
    {
        Pool(std::vector<Replica *> replicas, std::uint64_t tableVersion);

        std::vector<Replica *> all;
        /** Version of the replica table that the pool was built from. */
        std::uint64_t tableVersion;
        /** Replicas that were neither leaving nor ejected at the last refresh. */
        std::vector<Replica *> usable;
        std::unordered_map<std::string, std::vector<Replica *>> usableByVersion;
        PrefixRing ring;
        PoolMeans means;
        std::vector<VersionWeight> rollout;
        SteadyTime lastRefresh{};
    };

    /** Input of one selection. */
    struct Draw
    {
        Pool &pool;
        const std::vector<Replica *> &candidates;
        const SelectionQuery &query;
        SteadyTime now;
    };

    Pool *poolOf(const std::string &serves);
    void refresh(Pool &pool, SteadyTime now);
    std::string versionFor(const Pool &pool, const SelectionQuery &query);
    Replica *selectByPrefix(const Draw &draw, const std::string &version) const;
    bool hasCapacity(const Replica &replica, const Draw &draw) const;
    Replica *selectCheaperOfTwo(const Draw &draw);
    Replica *drawCandidate(const Draw &draw, const Replica *other);
    Replica *selectFallback(const Draw &draw);
    double cost(const Replica &replica, const Draw &draw) const;

    const Clock &clock;
    const SettingsHandle &settings;
    ReplicaTable &replicas;
    std::mt19937_64 &random;
    std::unordered_map<std::string, Pool> pools;
};

} // namespace Dogwoodkeel
