#pragma once

#include <LibFleet/Replica.h>
#include <LibSettings/Generated/Settings.h>

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

    /** @return the replicas of a model or plain service, in settings order. */
    const std::vector<Replica *> &of(const std::string &serves) const;

    /** @return a replica, or null. */
    Replica *find(const EndpointName &name);

    std::vector<Replica> &all();

private:
    std::vector<Replica> replicas;
    std::unordered_map<std::string, std::vector<Replica *>> byService;
    std::unordered_map<EndpointName, Replica *> byName;
};

} // namespace Dogwoodkeel
