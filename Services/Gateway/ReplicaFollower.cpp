#include <Services/Gateway/ReplicaFollower.h>

#include <LibBase/Log.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Entries change with each heartbeat of each replica; taking them in groups saves calls. Far below the time in which a
 * draining replica must get nothing new. */
constexpr std::chrono::milliseconds changesPace{200};
constexpr std::chrono::milliseconds expiryInterval{250};

} // namespace

ReplicaFollower::ReplicaFollower(
    EventLoop &loop, const Clock &clock, RowStore &store, const Options &options, Format format, std::function<void()> changed)
    : loop(loop), format(std::move(format)), changed(std::move(changed)), list(clock, options.lapsedKept)
{
    this->follower.emplace(loop,
                           store,
                           options.seed,
                           TableFollower::Options{this->format.table, options.storeWait, changesPace},
                           TableFollower::Hooks{
                               .onAll =
                                   [this](const std::vector<StoredRow> &rows) {
                                       this->takeAll(rows);
                                   },
                               .onChange =
                                   [this](const StoredRow &row) {
                                       this->takeChange(row);
                                   },
                               .onAnswer =
                                   [this] {
                                       this->list.noteAnswer();
                                   },
                               .onFailure =
                                   [this] {
                                       this->list.noteOutage();
                                   },
                           });
    this->expire();
}

ReplicaFollower::~ReplicaFollower()
{
    this->loop.cancel(this->expiryTimer);
}

bool ReplicaFollower::isKnown() const
{
    return this->known;
}

const ServingReplica *ReplicaFollower::find(const EndpointName &instance) const
{
    const auto found = this->list.replicas().find(instance);
    return found != this->list.replicas().end() ? &found->second : nullptr;
}

std::vector<ServingReplica> ReplicaFollower::ofService(const ServiceName &service) const
{
    std::vector<ServingReplica> found;
    for (const auto &[instance, replica] : this->list.replicas()) {
        if (replica.service == service) {
            found.push_back(replica);
        }
    }
    return found;
}

std::optional<ServingReplica> ReplicaFollower::decode(const StoredRow &row) const
{
    std::optional<ServingReplica> replica = this->format.decode(row.place.key, row.value);
    if (!replica) {
        log(LogLevel::Warning, "unreadable entry of a replica", {{"key", row.place.key}});
    }
    return replica;
}

void ReplicaFollower::takeAll(const std::vector<StoredRow> &rows)
{
    std::vector<ServingReplica> replicas;
    for (const StoredRow &row : rows) {
        if (std::optional<ServingReplica> replica = this->decode(row)) {
            replicas.push_back(*std::move(replica));
        }
    }
    this->list.replaceAll(replicas);
    this->known = true;
    log(LogLevel::Info, "replicas read", {{"count", static_cast<std::int64_t>(replicas.size())}});
    this->changed();
}

void ReplicaFollower::takeChange(const StoredRow &row)
{
    const EndpointName instance(row.place.key);
    if (row.isRemoved) {
        log(LogLevel::Info, "replica gone from the list", {{"replica", instance.value()}});
        this->list.remove(instance);
        this->changed();
        return;
    }
    const std::optional<ServingReplica> replica = this->decode(row);
    if (!replica) {
        return;
    }
    const ServingReplica *const before = this->find(instance);
    if (before != nullptr && *before == *replica) {
        return;
    }
    log(LogLevel::Info,
        "replica changed",
        {{"replica", instance.value()},
         {"service", replica->service.value()},
         {"address", replica->address.toString()},
         {"draining", replica->isDraining}});
    this->list.put(*replica);
    this->changed();
}

void ReplicaFollower::expire()
{
    if (this->list.expire()) {
        log(LogLevel::Info, "replicas that lapsed around an outage of the store dropped");
        this->changed();
    }
    this->expiryTimer = this->loop.schedule(expiryInterval, [this] {
        this->expire();
    });
}

} // namespace Dogwoodkeel
