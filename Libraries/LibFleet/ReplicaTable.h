#pragma once

#include <LibFleet/Replica.h>
#include <LibSettings/Generated/Settings.h>

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace Dogwoodkeel
{

/** Holds the replicas of a site, indexed by name and by the model or plain service that they serve. */
class ReplicaTable
{
public:
    /** @param endpoints from the settings */
    explicit ReplicaTable(const std::vector<EndpointSettings> &endpoints);
    ReplicaTable(const ReplicaTable &) = delete;
    ReplicaTable &operator=(const ReplicaTable &) = delete;

    /** @return the replicas that serve requests for a model or plain service, in the order of the settings */
    const std::vector<Replica *> &of(const std::string &serves) const;

    /** @return the replica with this name, or null */
    Replica *find(const EndpointName &name);

    std::list<Replica> &all();

    /**
     * @return a number that changes with every update(); data derived from the table must be recomputed when it changes
     */
    std::uint64_t version() const;

    /**
     * Replaces the endpoints. The state of a replica that stays is kept. A removed replica can no longer be found but
     * remains valid until its last request has ended; it is freed by a later update(). Replicas are never moved in
     * memory, so pointers to them remain valid.
     */
    void update(const std::vector<EndpointSettings> &endpoints);

private:
    std::list<Replica> replicas;
    std::list<Replica> removed;
    std::unordered_map<std::string, std::vector<Replica *>> byService;
    std::unordered_map<EndpointName, Replica *> byName;
    std::uint64_t changes = 0;
};

} // namespace Dogwoodkeel
