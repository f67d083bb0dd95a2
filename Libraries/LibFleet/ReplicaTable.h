#pragma once

#include <LibFleet/Replica.h>
#include <LibPlatform/VmList.h>
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

    /** @return the replicas of a model or plain service, in settings order. */
    std::vector<Replica *> of(const std::string &serves);

    /** @return a replica, or null. */
    Replica *find(const EndpointName &name);

    std::vector<Replica> &all();

    /** Mark the replicas whose VM the platform is about to take away. An endpoint's VM has the endpoint's name. */
    void markLeaving(const std::vector<ListedVm> &vms);

private:
    std::vector<Replica> replicas;
    std::unordered_map<std::string, std::vector<std::size_t>> byService;
};

} // namespace Dogwoodkeel
