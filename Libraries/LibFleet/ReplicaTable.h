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

/** The endpoints of a site, by what they serve. */
class ReplicaTable
{
public:
    /** @param endpoints from the settings */
    explicit ReplicaTable(const std::vector<EndpointSettings> &endpoints);
    ReplicaTable(const ReplicaTable &) = delete;
    ReplicaTable &operator=(const ReplicaTable &) = delete;

    /** @return the replicas that take requests for a model or plain service, in settings order. */
    const std::vector<Replica *> &of(const std::string &serves) const;

    /** @return a replica, or null. */
    Replica *find(const EndpointName &name);

    std::list<Replica> &all();

    /** @return a number that changes with every update(): what was derived from the table is to be renewed then. */
    std::uint64_t version() const;

    /**
     * Put other endpoints into force. What is known of a replica that stays is kept; one that was taken out is no longer
     * found, and lives on until its last request has ended. Replicas never move, so pointers to them stay good.
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
