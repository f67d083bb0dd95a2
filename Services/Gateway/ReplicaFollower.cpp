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
/** A store that has not answered for so long is lost: longer than it is asked to wait for a change, and a slow answer. */
constexpr std::chrono::milliseconds lostAfter{1600};
/** A draining replica gets requests for two seconds at most: others are asked well within that. */
constexpr std::chrono::milliseconds peerInterval{250};
constexpr std::chrono::milliseconds peerTimeout{400};
/** A node without any list keeps its callers waiting, so it asks more often. */
constexpr std::chrono::milliseconds firstPeerInterval{50};

} // namespace

ReplicaFollower::ReplicaFollower(EventLoop &loop,
                                 const Clock &clock,
                                 RowStore &store,
                                 PeerNetwork &peers,
                                 const Options &options,
                                 Format format,
                                 std::function<void()> changed)
    : loop(loop)
    , clock(clock)
    , peers(peers)
    , random(static_cast<std::minstd_rand::result_type>(options.seed))
    , format(std::move(format))
    , changed(std::move(changed))
    , list(clock, options.lapsedKept)
    , lastTold(clock.now())
{
    peers.server().handle<ReplicaRecordsRequest>([this](const ReplicaRecordsRequest &, const auto &respond) {
        respond(this->records());
    });
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
                                       this->lastTold = this->clock.now();
                                       this->list.noteAnswer();
                                   },
                               .onFailure =
                                   [this] {
                                       this->list.noteOutage();
                                   },
                           });
    this->expire();
    this->watchStore();
}

ReplicaFollower::~ReplicaFollower()
{
    *this->alive = false;
    this->loop.cancel(this->watchTimer);
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
    const bool isSame = before != nullptr && *before == *replica;
    // Also where nothing is new: an entry that had lapsed is back by this.
    this->list.put(*replica);
    if (isSame) {
        return;
    }
    log(LogLevel::Info,
        "replica changed",
        {{"replica", instance.value()},
         {"service", replica->service.value()},
         {"address", replica->address.toString()},
         {"draining", replica->isDraining}});
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

std::chrono::milliseconds ReplicaFollower::age() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - this->lastTold);
}

void ReplicaFollower::watchStore()
{
    const bool isLost = this->list.isOut() || this->age() > lostAfter;
    if (std::exchange(this->hasLostStore, isLost) != isLost) {
        log(LogLevel::Warning, isLost ? "store lost" : "store regained", {{"age_ms", this->age().count()}});
        this->peers.setStoreLost(isLost);
    }
    if (isLost || !this->known) {
        this->askPeer();
    }
    this->watchTimer = this->loop.schedule(this->known ? peerInterval : firstPeerInterval, [this] {
        this->watchStore();
    });
}

void ReplicaFollower::askPeer()
{
    const MemberViewPointer view = this->peers.view();
    const Member *const peer = randomMember(*view, this->random, [this](const Member &member) {
        return member.session != this->peers.self() && (!member.hasLostStore || !this->known);
    });
    if (peer == nullptr) {
        return;
    }
    this->peers.client().call(peer->owner,
                              ReplicaRecordsRequest{this->peers.self()},
                              peerTimeout,
                              [this, alive = this->alive](const CallResult<ReplicaRecords> &result) {
                                  if (*alive && result.response && result.response->isKnown) {
                                      this->takePeer(*result.response);
                                  }
                              });
}

void ReplicaFollower::takePeer(const ReplicaRecords &records)
{
    if (this->known && records.age >= this->age()) {
        return;
    }
    this->lastTold = this->clock.now() - records.age;
    std::vector<ServingReplica> replicas;
    for (const ReplicaRecord &record : records.replicas) {
        replicas.push_back({record.instance,
                            ServiceName(record.service),
                            record.address,
                            record.failureDomain,
                            std::max<std::uint32_t>(1, record.slots),
                            record.isDraining});
    }
    log(LogLevel::Debug,
        "replicas told by another node",
        {{"count", static_cast<std::int64_t>(replicas.size())}, {"age_ms", records.age.count()}});
    this->list.replaceNow(replicas);
    this->known = true;
    this->changed();
}

ReplicaRecords ReplicaFollower::records() const
{
    ReplicaRecords records;
    records.isKnown = this->known;
    records.age = this->age();
    for (const auto &[instance, replica] : this->list.replicas()) {
        records.replicas.push_back(
            {instance, replica.service.value(), replica.address, replica.failureDomain, replica.slots, replica.isDraining});
    }
    return records;
}

} // namespace Dogwoodkeel
