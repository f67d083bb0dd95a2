#pragma once

#include <LibFleet/Replica.h>
#include <LibPlatform/VmList.h>
#include <LibSettings/Generated/Settings.h>

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

    /** @return the replicas of a model or plain service, in settings order. */
    std::vector<Replica *> of(const std::string &serves);

    /** @return a replica, or null. */
    Replica *find(const EndpointName &name);

    std::list<Replica> &all();

    /**
     * Put other endpoints into force. What is known of a replica that stays is kept; one that was taken out is no longer
     * found, and lives on until its last request has ended. Replicas never move, so pointers to them stay good.
     */
    void update(const std::vector<EndpointSettings> &endpoints);

    /** Mark the replicas whose VM the platform is about to take away. An endpoint's VM has the endpoint's name. */
    void markLeaving(const std::vector<ListedVm> &vms);

private:
    std::list<Replica> replicas;
    std::list<Replica> removed;
    std::unordered_map<std::string, std::vector<Replica *>> byService;
};

} // namespace Dogwoodkeel
