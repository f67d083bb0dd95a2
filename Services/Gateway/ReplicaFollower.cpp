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
/** A bound on memory, many times the replicas of a fleet: names of entries that can't be read. */
constexpr std::size_t mostUnreadable = 20000;

} // namespace

ReplicaFollower::ReplicaFollower(
    EventLoop &loop, const Clock &clock, RowStore &store, PeerNetwork &peers, const Options &options, Format format, Hooks hooks)
    : loop(loop)
    , clock(clock)
    , peers(peers)
    , random(static_cast<std::minstd_rand::result_type>(options.seed))
    , format(std::move(format))
    , hooks(std::move(hooks))
    , list(clock,
           options.lapsedKept,
           [this](const ServingReplica &former) {
               this->takeRestart(former);
           })
    , lastReported(clock.now())
{
    peers.server().handle<ReplicaRecordsRequest>([this](const ReplicaRecordsRequest &request, const auto &respond) {
        respond(this->records(request));
    });
    this->follower.emplace(loop,
                           store,
                           options.seed,
                           TableFollower::Options{this->format.table,
                                                  [wait = options.storeWait] {
                                                      return wait;
                                                  },
                                                  changesPace},
                           TableFollower::Hooks{
                               .onAll =
                                   [this](const std::vector<StoredRow> &rows) {
                                       this->takeAll(rows);
                                   },
                               .onChange =
                                   [this](const StoredRow &row) {
                                       this->takeChange(row);
                                   },
                               .onRead =
                                   [this] {
                                       this->tellChanges();
                                   },
                               .onAnswer =
                                   [this] {
                                       this->lastReported = this->clock.now();
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

const ServingReplica *ReplicaFollower::findAt(const Address &address) const
{
    return this->list.findAt(address);
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

std::optional<ServingReplica> ReplicaFollower::decode(const StoredRow &row)
{
    std::optional<ServingReplica> replica = this->format.decode(row.place.key, row.value);
    const EndpointName name(row.place.key);
    if (replica) {
        this->unreadable.erase(name);
    } else if (this->unreadable.size() < mostUnreadable && this->unreadable.insert(name).second) {
        // Told once, not at each heartbeat.
        log(LogLevel::Warning,
            "entry names no replica to use",
            {{"key", row.place.key}, {"version", static_cast<std::int64_t>(row.version)}});
    }
    return replica;
}

void ReplicaFollower::takeRestart(const ServingReplica &former)
{
    log(LogLevel::Info,
        "replica has started again under its name",
        {{"replica", former.registeredName.value()}, {"former", former.instance.value()}});
    this->hooks.restarted(former);
}

void ReplicaFollower::takeAll(const std::vector<StoredRow> &rows)
{
    std::vector<ServingReplica> replicas;
    for (const StoredRow &row : rows) {
        if (std::optional<ServingReplica> replica = this->decode(row)) {
            replicas.push_back(*std::move(replica));
            continue;
        }
        const EndpointName name(row.place.key);
        this->list.holdBack(name);
        if (const ServingReplica *const known = this->list.findRegistered(name)) {
            replicas.push_back(*known);
        }
    }
    this->list.replaceAll(replicas);
    this->known = true;
    log(LogLevel::Info, "replicas read", {{"count", static_cast<std::int64_t>(replicas.size())}});
}

void ReplicaFollower::tellChanges()
{
    const ReplicaChanges changes = this->list.takeChanges();
    const bool isFirst = this->known && !std::exchange(this->hasReported, this->known);
    if (isFirst || !changes.isEmpty()) {
        this->hooks.changed(changes);
    }
}

void ReplicaFollower::takeChange(const StoredRow &row)
{
    const EndpointName name(row.place.key);
    if (row.isRemoved) {
        log(LogLevel::Info, "replica gone from the list", {{"replica", name.value()}});
        this->unreadable.erase(name);
        this->list.remove(name);
        return;
    }
    const std::optional<ServingReplica> replica = this->decode(row);
    if (!replica) {
        this->list.holdBack(name);
        return;
    }
    const ServingReplica *const before = this->find(replica->instance);
    const bool isSame = before != nullptr && *before == *replica;
    // Also where nothing is new: an entry that had lapsed is back by this.
    this->list.put(*replica);
    if (isSame) {
        return;
    }
    log(LogLevel::Info,
        "replica changed",
        {{"replica", replica->instance.value()},
         {"service", replica->service.value()},
         {"address", replica->address.toString()},
         {"draining", replica->isDraining}});
}

void ReplicaFollower::expire()
{
    this->list.expire();
    this->tellChanges();
    this->expiryTimer = this->loop.schedule(expiryInterval, [this] {
        this->expire();
    });
}

std::size_t ReplicaFollower::unreadableEntries() const
{
    return this->unreadable.size();
}

std::chrono::milliseconds ReplicaFollower::age() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - this->lastReported);
}

void ReplicaFollower::watchStore()
{
    const bool isLost = this->list.isOut() || this->age() > lostAfter;
    if (std::exchange(this->hasLostStore, isLost) != isLost) {
        log(LogLevel::Warning, isLost ? "store lost" : "store regained", {{"age_ms", this->age().count()}});
        this->peers.setStoreLost(isLost);
        this->hooks.storeReached(!isLost);
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
    const auto isUseful = [this](const Member &member) {
        return member.session != this->peers.self() && (!member.hasLostStore || !this->known);
    };
    // Those that take callers have a list.
    const Member *const ready = randomMember(*view, this->random, [&isUseful](const Member &member) {
        return member.isReady && isUseful(member);
    });
    const Member *const peer = ready != nullptr ? ready : randomMember(*view, this->random, isUseful);
    if (peer == nullptr) {
        return;
    }
    this->peers.client().call(peer->owner,
                              ReplicaRecordsRequest{this->peers.self(), this->list.fingerprint()},
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
    this->lastReported = this->clock.now() - records.age;
    if (this->known && records.fingerprint == this->list.fingerprint()) {
        return;
    }
    std::vector<ServingReplica> replicas;
    for (const ReplicaRecord &record : records.replicas) {
        replicas.push_back({record.instance,
                            record.registeredName,
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
    this->follower->seed(records.version);
    this->tellChanges();
}

ReplicaRecords ReplicaFollower::records(const ReplicaRecordsRequest &request) const
{
    ReplicaRecords records;
    records.isKnown = this->known;
    records.age = this->age();
    records.version = this->list.hasLapsed() ? 0 : this->follower->version();
    records.fingerprint = this->list.fingerprint();
    if (request.fingerprint == records.fingerprint) {
        return records;
    }
    for (const auto &[instance, replica] : this->list.replicas()) {
        records.replicas.push_back({instance,
                                    replica.registeredName,
                                    replica.service.value(),
                                    replica.address,
                                    replica.failureDomain,
                                    replica.slots,
                                    replica.isDraining});
    }
    return records;
}

} // namespace Dogwoodkeel
