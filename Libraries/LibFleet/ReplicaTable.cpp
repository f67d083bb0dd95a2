#include <LibFleet/ReplicaTable.h>

namespace Dogwoodkeel
{

ReplicaTable::ReplicaTable(const std::vector<EndpointSettings> &endpoints)
{
    this->replicas.reserve(endpoints.size());
    for (const EndpointSettings &endpoint : endpoints) {
        const std::string &serves = endpoint.model.empty() ? endpoint.service : endpoint.model;
        Replica &replica = this->replicas.emplace_back();
        replica.name = EndpointName(endpoint.name);
        replica.address = endpoint.address;
        replica.failureDomain = FailureDomain(endpoint.failureDomain);
        replica.serves = serves;
        replica.capacity = static_cast<std::uint32_t>(endpoint.capacity);
        replica.vm = VmName(endpoint.vm.empty() ? endpoint.name : endpoint.vm);
        replica.generation = endpoint.generation;
        this->byService[serves].push_back(&replica);
        this->byName.emplace(replica.name, &replica);
    }
}

const std::vector<Replica *> &ReplicaTable::of(const std::string &serves) const
{
    static const std::vector<Replica *> none;
    const auto found = this->byService.find(serves);
    return found != this->byService.end() ? found->second : none;
}

Replica *ReplicaTable::find(const EndpointName &name)
{
    const auto found = this->byName.find(name);
    return found != this->byName.end() ? found->second : nullptr;
}

std::vector<Replica> &ReplicaTable::all()
{
    return this->replicas;
}

} // namespace Dogwoodkeel
