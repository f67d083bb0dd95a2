#include <LibFleet/ReplicaTable.h>

#include <list>

namespace Dogwoodkeel
{

namespace
{

/** The role of endpoints that serve requests of callers. */
constexpr const char *servingRole = "serve";

} // namespace

ReplicaTable::ReplicaTable(const std::vector<EndpointSettings> &endpoints)
{
    this->update(endpoints);
}

void ReplicaTable::update(const std::vector<EndpointSettings> &endpoints)
{
    std::list<Replica> previous;
    previous.swap(this->replicas);
    std::unordered_map<std::string, std::list<Replica>::iterator> known;
    for (auto replica = previous.begin(); replica != previous.end(); ++replica) {
        known[replica->name.value()] = replica;
    }
    ++this->changes;
    this->byService.clear();
    this->byName.clear();
    for (const EndpointSettings &endpoint : endpoints) {
        const auto found = known.find(endpoint.name);
        // An endpoint with a new address is a new replica: state and load recorded for the old address do not apply.
        if (found != known.end() && found->second->address == endpoint.address) {
            this->replicas.splice(this->replicas.end(), previous, found->second);
            known.erase(found);
        } else {
            this->replicas.emplace_back();
        }
        Replica &replica = this->replicas.back();
        replica.name = EndpointName(endpoint.name);
        replica.address = endpoint.address;
        replica.failureDomain = FailureDomain(endpoint.failureDomain);
        replica.serves = endpoint.model.empty() ? endpoint.service : endpoint.model;
        replica.capacity = static_cast<std::uint32_t>(endpoint.capacity);
        replica.vm = VmName(endpoint.vm.empty() ? endpoint.name : endpoint.vm);
        replica.generation = endpoint.generation;
        if (endpoint.role == servingRole) {
            this->byService[replica.serves].push_back(&replica);
        }
        this->byName.emplace(replica.name, &replica);
    }
    this->removed.splice(this->removed.end(), previous);
    this->removed.remove_if([](const Replica &replica) {
        return replica.inFlight == 0;
    });
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

std::uint64_t ReplicaTable::version() const
{
    return this->changes;
}

std::list<Replica> &ReplicaTable::all()
{
    return this->replicas;
}

} // namespace Dogwoodkeel
