#include <LibFleet/ReplicaTable.h>

#include <algorithm>

namespace Dogwoodkeel
{

ReplicaTable::ReplicaTable(const std::vector<EndpointSettings> &endpoints)
{
    for (const EndpointSettings &endpoint : endpoints) {
        const std::string &serves = endpoint.model.empty() ? endpoint.service : endpoint.model;
        this->byService[serves].push_back(this->replicas.size());
        this->replicas.push_back({.name = EndpointName(endpoint.name),
                                  .address = endpoint.address,
                                  .failureDomain = FailureDomain(endpoint.failureDomain),
                                  .serves = serves,
                                  .capacity = static_cast<std::uint32_t>(endpoint.capacity)});
    }
}

std::vector<Replica *> ReplicaTable::of(const std::string &serves)
{
    std::vector<Replica *> found;
    const auto indexes = this->byService.find(serves);
    if (indexes == this->byService.end()) {
        return found;
    }
    for (const std::size_t index : indexes->second) {
        found.push_back(&this->replicas[index]);
    }
    return found;
}

Replica *ReplicaTable::find(const EndpointName &name)
{
    const auto found = std::ranges::find(this->replicas, name, &Replica::name);
    return found != this->replicas.end() ? &*found : nullptr;
}

void ReplicaTable::markLeaving(const std::vector<ListedVm> &vms)
{
    for (const ListedVm &vm : vms) {
        Replica *const replica = vm.isLeaving ? this->find(EndpointName(vm.name.value())) : nullptr;
        if (replica != nullptr) {
            replica->isLeaving = true;
        }
    }
}

std::vector<Replica> &ReplicaTable::all()
{
    return this->replicas;
}

} // namespace Dogwoodkeel
