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

/** What a choice of a replica has to respect. */
struct SelectionQuery
{
    /** Where the choosing node is: a replica there is a little better. */
    FailureDomain ownDomain;
    /** Replicas already tried for this request. */
    std::vector<EndpointName> avoid;
    /** The failure domain that just failed it: used only if no other can serve. */
    FailureDomain avoidDomain;
    /** Key of the prompt's first bytes, for replicas that have them in their cache; 0 for none. */
    std::uint64_t prefix = 0;
    /** The model version it has to be; empty: by the rollout's weights. */
    std::string version;
    /** The adapter that has to be loaded; empty for none. */
    std::string adapter;
};

/** A model version's part in a gradual rollout. */
struct VersionWeight
{
    std::string version;
    double weight = 0;
};

/**
 * Chooses replicas: the one that has the prompt's prefix, unless it is too full; otherwise the cheaper of two drawn at
 * random (Mitzenmacher, 2001).
 *
 * A choice looks at a few replicas only. What needs a look at all of a pool (means, ejections) is renewed at intervals.
 * The load bound on the prefix (Mirrokni, Thorup, Zadimoghaddam, 2018) keeps a popular prefix from filling one replica.
 */
class ReplicaSelector
{
public:
    ReplicaSelector(const Clock &clock, const SettingsHandle &settings, ReplicaTable &replicas, std::mt19937_64 &random);

    /**
     * @param serves the model or plain service
     * @param query what to respect
     * @return the choice, or null if no replica is eligible
     */
    Replica *select(const std::string &serves, const SelectionQuery &query);

    /**
     * Set the parts that versions of a model get of the requests that name none. A version that is not listed gets
     * none while a listed one can serve.
     * @param weights empty: the versions are not told apart
     */
    void setRollout(const std::string &model, std::vector<VersionWeight> weights);

private:
    struct Pool
    {
        Pool(std::vector<Replica *> replicas, std::uint64_t tableVersion);

        std::vector<Replica *> all;
        /** Of the table it was made from. */
        std::uint64_t tableVersion;
        /** Not leaving and not ejected, as of the last renewal. */
        std::vector<Replica *> usable;
        std::unordered_map<std::string, std::vector<Replica *>> usableByVersion;
        PrefixRing ring;
        PoolMeans means;
        std::vector<VersionWeight> rollout;
        SteadyTime renewed{};
    };

    /** Drawn from for one choice. */
    struct Draw
    {
        Pool &pool;
        const std::vector<Replica *> &candidates;
        const SelectionQuery &query;
        SteadyTime now;
    };

    Pool *poolOf(const std::string &serves);
    void renew(Pool &pool, SteadyTime now);
    std::string versionFor(const Pool &pool, const SelectionQuery &query);
    Replica *byPrefix(const Draw &draw, const std::string &version) const;
    bool hasRoom(const Replica &replica, const Draw &draw) const;
    Replica *cheaperOfTwo(const Draw &draw);
    Replica *drawOne(const Draw &draw, const Replica *other);
    Replica *lastResort(const Draw &draw);
    double cost(const Replica &replica, const Draw &draw) const;

    const Clock &clock;
    const SettingsHandle &settings;
    ReplicaTable &replicas;
    std::mt19937_64 &random;
    std::unordered_map<std::string, Pool> pools;
};

} // namespace Dogwoodkeel
