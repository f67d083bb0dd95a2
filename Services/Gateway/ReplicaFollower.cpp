#include <Services/Gateway/ReplicaFollower.h>

#include <LibBase/Hash.h>
#include <LibBase/Log.h>

#include <algorithm>
#include <iterator>
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
/** How often a relay is asked for changes of this node's set: well within the time in which a draining replica may get requests.
 */
constexpr std::chrono::milliseconds relayInterval{500};
/** Replicas of each service that a node knows which is no relay: for the moment when no dispatcher answers, and for services that
 * each node places itself. Many nodes with so many each use all replicas alike. */
constexpr std::uint32_t setOfService = 64;
constexpr std::chrono::milliseconds sampleRetry{100};
/** A bound on memory, many times the replicas of a fleet: names of entries that can't be read. */
constexpr std::size_t mostUnreadable = 20000;

ServingReplica replicaOf(const ReplicaRecord &record)
{
    return {record.instance,
            record.registeredName,
            ServiceName(record.service),
            record.address,
            record.failureDomain,
            std::max<std::uint32_t>(1, record.slots),
            record.isDraining,
            record.version};
}

ReplicaRecord recordOf(const ServingReplica &replica)
{
    return {replica.instance,
            replica.registeredName,
            replica.service.value(),
            replica.address,
            replica.failureDomain,
            replica.slots,
            replica.isDraining,
            replica.version};
}

} // namespace

ReplicaFollower::ReplicaFollower(EventLoop &loop,
                                 const Clock &clock,
                                 RowStore &store,
                                 PeerNetwork &peers,
                                 RelayPicker &relays,
                                 const Options &options,
                                 Format format,
                                 Hooks hooks)
    : loop(loop)
    , clock(clock)
    , store(store)
    , peers(peers)
    , relays(relays)
    , options(options)
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
    this->readSample();
    this->expire();
    this->watch();
}

ReplicaFollower::~ReplicaFollower()
{
    *this->alive = false;
    this->loop.cancel(this->sampleTimer);
    this->loop.cancel(this->watchTimer);
    this->loop.cancel(this->expiryTimer);
}

void ReplicaFollower::setRelay(bool isRelay)
{
    if (isRelay == this->follower.has_value()) {
        return;
    }
    log(LogLevel::Info, isRelay ? "follows all replicas" : "follows all replicas no longer");
    if (isRelay) {
        this->followAll();
        return;
    }
    this->follower.reset();
    this->ring.clear();
    this->reportedVersion = 0;
    if (std::exchange(this->hasLostStore, false)) {
        this->peers.setStoreLost(false);
    }
}

void ReplicaFollower::followAll()
{
    for (const auto &[instance, replica] : this->list.replicas()) {
        this->ring.put(replica);
    }
    this->lastReported = this->clock.now();
    this->follower.emplace(this->loop,
                           this->store,
                           this->options.seed,
                           TableFollower::Options{this->format.table,
                                                  [wait = this->options.storeWait] {
                                                      return wait;
                                                  },
                                                  changesPace},
                           TableFollower::Hooks{
                               .onSnapshot =
                                   [this](const std::vector<StoredRow> &rows) {
                                       this->takeAll(rows);
                                   },
                               .onChange =
                                   [this](const StoredRow &row) {
                                       this->takeChange(row);
                                   },
                               .onDelivered =
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
}

bool ReplicaFollower::isComplete() const
{
    return this->follower && this->follower->version() > 0;
}

// A node that has just started serves by a few replicas, before it has met any other node.
void ReplicaFollower::readSample()
{
    const std::string from = this->format.sampleKey(this->random);
    this->readSampleFrom(from, {}, {});
}

void ReplicaFollower::readSampleFrom(const std::string &from, const std::string &to, std::vector<StoredRow> before)
{
    const RowRange range{this->format.table, "", from, to, setOfService - before.size()};
    this->store.read(range, [this, alive = this->alive, from, before = std::move(before)](const RowRangeResult &result) mutable {
        if (!*alive || this->known || this->follower) {
            return;
        }
        if (result.outcome != ReadOutcome::Found) {
            this->sampleTimer = this->loop.schedule(sampleRetry, [this] {
                this->readSample();
            });
            return;
        }
        before.insert(before.end(), result.rows.begin(), result.rows.end());
        if (before.size() < setOfService && !from.empty()) {
            this->readSampleFrom({}, from, std::move(before));
            return;
        }
        this->takeSample(before);
    });
}

void ReplicaFollower::takeSample(const std::vector<StoredRow> &rows)
{
    std::vector<ServingReplica> replicas;
    for (const StoredRow &row : rows) {
        if (std::optional<ServingReplica> replica = this->decode(row)) {
            replicas.push_back(*std::move(replica));
        }
    }
    log(LogLevel::Info, "some replicas read", {{"count", static_cast<std::int64_t>(replicas.size())}});
    this->list.replaceNow(replicas);
    this->known = true;
    this->lastReported = this->clock.now();
    this->tellChanges();
}

std::optional<ServingReplica> ReplicaFollower::resolve(const ServingReplica &placed)
{
    if (const ServingReplica *const listed = this->find(placed.instance)) {
        return listed->isDraining ? std::nullopt : std::optional(*listed);
    }
    if (this->isComplete() || placed.address == Address()) {
        return std::nullopt;
    }
    this->recent.note(placed);
    return placed;
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
    const ServingReplica *const listed = this->list.findAt(address);
    return listed != nullptr ? listed : this->recent.findAt(address);
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
    if (this->follower) {
        for (const ServingReplica &replica : changes.removed) {
            this->ring.remove(replica);
        }
        for (const ServingReplica &replica : changes.put) {
            this->ring.put(replica);
        }
    }
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
         {"version", replica->version.value()},
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

std::size_t ReplicaFollower::count() const
{
    return this->list.replicas().size();
}

std::size_t ReplicaFollower::unreadableEntries() const
{
    return this->unreadable.size();
}

std::chrono::milliseconds ReplicaFollower::age() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - this->lastReported);
}

void ReplicaFollower::watch()
{
    if (this->follower) {
        this->watchStore();
    } else {
        this->askRelay();
    }
    this->watchTimer = this->loop.schedule(this->known ? peerInterval : firstPeerInterval, [this] {
        this->watch();
    });
}

void ReplicaFollower::watchStore()
{
    const bool isLost = this->list.isOut() || this->age() > lostAfter;
    if (std::exchange(this->hasLostStore, isLost) != isLost) {
        log(LogLevel::Warning, isLost ? "store lost" : "store regained", {{"age_ms", this->age().count()}});
        this->peers.setStoreLost(isLost);
        this->hooks.storeReached(!isLost);
    }
    if (isLost || !this->isComplete()) {
        this->askPeer();
    }
}

void ReplicaFollower::askPeer()
{
    const Member *const relay = this->relays.pick();
    if (relay != nullptr && (!relay->hasLostStore || !this->isComplete())) {
        this->ask(*relay, 0);
    }
}

void ReplicaFollower::askRelay()
{
    const SteadyTime now = this->clock.now();
    if (this->known && now < this->nextQuestion) {
        return;
    }
    this->nextQuestion = now + relayInterval;
    if (const Member *const peer = this->peerToAsk()) {
        this->ask(*peer, setOfService);
    }
}

const Member *ReplicaFollower::peerToAsk()
{
    if (const Member *const relay = this->relays.pick()) {
        return relay;
    }
    if (this->known) {
        return nullptr;
    }
    // Those that take callers know some.
    const MemberViewPointer view = this->peers.view();
    return randomMember(*view, this->random, [this](const Member &member) {
        return member.session != this->peers.self() && member.isReady;
    });
}

void ReplicaFollower::ask(const Member &peer, std::uint32_t mostOfService)
{
    if (this->isAsking) {
        return;
    }
    this->isAsking = true;
    const Member *const own = this->peers.view()->find(this->peers.self());
    const FailureDomain domain = own != nullptr ? own->failureDomain : FailureDomain();
    this->peers.client().call(peer.owner,
                              ReplicaRecordsRequest{this->peers.self(), this->list.fingerprint(), mostOfService, domain},
                              peerTimeout,
                              [this, alive = this->alive, peer, mostOfService](const CallResult<ReplicaRecords> &result) {
                                  if (!*alive) {
                                      return;
                                  }
                                  this->isAsking = false;
                                  if (result.response && result.response->isKnown) {
                                      this->takePeer(*result.response);
                                  } else if (peer.isRelay && mostOfService > 0) {
                                      this->hooks.relaySilent(peer.session);
                                  }
                              });
}

void ReplicaFollower::takePeer(const ReplicaRecords &records)
{
    if (this->follower) {
        this->takeWhole(records);
    } else {
        this->takeSet(records);
    }
}

void ReplicaFollower::takeWhole(const ReplicaRecords &records)
{
    // Who asked as another kind of node was given a set.
    if (!records.isWhole || (this->isComplete() && records.age >= this->age())) {
        return;
    }
    this->lastReported = this->clock.now() - records.age;
    this->takeList(records);
    if (records.fingerprint == this->list.fingerprint()) {
        this->follower->seed(records.version);
    }
    this->tellChanges();
}

void ReplicaFollower::takeSet(const ReplicaRecords &records)
{
    if (this->known && records.version < this->reportedVersion) {
        return;
    }
    this->reportedVersion = records.version;
    this->lastReported = this->clock.now() - records.age;
    this->takeList(records);
    this->tellChanges();
}

void ReplicaFollower::takeList(const ReplicaRecords &records)
{
    if (records.isSame || (this->known && records.fingerprint == this->list.fingerprint())) {
        return;
    }
    std::vector<ServingReplica> replicas;
    std::ranges::transform(records.replicas, std::back_inserter(replicas), &replicaOf);
    log(LogLevel::Debug,
        "replicas told by another node",
        {{"count", static_cast<std::int64_t>(replicas.size())}, {"age_ms", records.age.count()}});
    this->list.replaceNow(replicas);
    this->known = true;
}

ReplicaRecords ReplicaFollower::records(const ReplicaRecordsRequest &request) const
{
    ReplicaRecords records;
    if (request.mostOfService > 0) {
        records = this->chosenRecords(request);
    } else if (this->isComplete()) {
        records = this->wholeRecords(request);
    }
    records.age = this->age();
    return records;
}

ReplicaRecords ReplicaFollower::wholeRecords(const ReplicaRecordsRequest &request) const
{
    ReplicaRecords records;
    records.isKnown = true;
    records.isWhole = true;
    records.version = this->list.hasLapsed() ? 0 : this->follower->version();
    records.fingerprint = this->list.fingerprint();
    records.isSame = request.fingerprint == records.fingerprint;
    if (!records.isSame) {
        for (const auto &[instance, replica] : this->list.replicas()) {
            records.replicas.push_back(recordOf(replica));
        }
    }
    return records;
}

ReplicaRecords ReplicaFollower::chosenRecords(const ReplicaRecordsRequest &request) const
{
    ReplicaRecords records;
    records.isKnown = this->known;
    records.version = this->isComplete() ? this->follower->version() : this->reportedVersion;
    ReplicaRing::Choice choice;
    if (this->isComplete()) {
        choice = this->ring.choose(
            stableHash(request.failureDomain.value(), request.from.value()), request.failureDomain, request.mostOfService);
    } else {
        // What this node was given itself: few, but better than none.
        for (const auto &[instance, replica] : this->list.replicas()) {
            choice.replicas.push_back(replica);
        }
        choice.fingerprint = this->list.fingerprint();
    }
    records.fingerprint = choice.fingerprint;
    records.isSame = request.fingerprint == records.fingerprint;
    if (!records.isSame) {
        std::ranges::transform(choice.replicas, std::back_inserter(records.replicas), &recordOf);
    }
    return records;
}

} // namespace Dogwoodkeel
