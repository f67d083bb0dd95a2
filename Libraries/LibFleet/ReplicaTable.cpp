#include <LibFleet/ReplicaTable.h>

#include <list>

namespace Dogwoodkeel
{

namespace
{

/** The role of endpoints that take requests of callers. */
constexpr const char *servingRole = "serve";

} // namespace

ReplicaTable::ReplicaTable(const std::vector<EndpointSettings> &endpoints)
{
    this->update(endpoints);
}

void ReplicaTable::update(const std::vector<EndpointSettings> &endpoints)
{
    std::list<Replica> before;
    before.swap(this->replicas);
    std::unordered_map<std::string, std::list<Replica>::iterator> known;
    for (auto replica = before.begin(); replica != before.end(); ++replica) {
        known[replica->name.value()] = replica;
    }
    ++this->changes;
    this->byService.clear();
    this->byName.clear();
    for (const EndpointSettings &endpoint : endpoints) {
        const auto found = known.find(endpoint.name);
        // Another address is another endpoint: what was learnt of the old one, and its load, do not hold for it.
        if (found != known.end() && found->second->address == endpoint.address) {
            this->replicas.splice(this->replicas.end(), before, found->second);
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
    this->removed.splice(this->removed.end(), before);
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
