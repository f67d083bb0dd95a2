#include <Services/Gateway/ReplicaFollower.h>

#include <LibBase/Hash.h>
#include <LibBase/Log.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Entries change with each heartbeat of each replica; handling them in groups saves calls. Far below the time after which a
 * draining replica must get no new requests. */
constexpr std::chrono::milliseconds changesInterval{200};
constexpr std::chrono::milliseconds expiryInterval{250};
/** The same while entries are kept as lapsed, which are to be dropped on time. */
constexpr std::chrono::milliseconds lapsedExpiryInterval{50};
/** A draining replica may get requests for at most two seconds: requests to other relays are repeated well within that. */
constexpr std::chrono::milliseconds peerInterval{250};
constexpr std::chrono::milliseconds peerTimeout{400};
/** A node without any list keeps its callers waiting, so it sends requests more often. */
constexpr std::chrono::milliseconds firstPeerInterval{50};
/** Interval at which changes of this node's set are requested from a relay: well within the time in which a draining replica may
 * get requests. */
constexpr std::chrono::milliseconds relayInterval{500};
/** The number of replicas of each service that a node other than a relay keeps: for requests while no dispatcher answers, and for
 * services for which each node selects replicas itself. With this many on each of many nodes, all replicas are used evenly. */
constexpr std::uint32_t setSizePerService = 64;
constexpr std::chrono::milliseconds sampleRetry{100};
/** After a longer silence of the store, the history is taken for lost: an entry may have changed several times. Longer than the
 * wait of a call that follows the table. */
constexpr std::chrono::milliseconds maxSilence{2000};
/** Limits the memory for names of entries that can't be decoded; many times the number of replicas of a fleet. */
constexpr std::size_t maxUnreadable = 20000;

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

ReplicaRecord recordOf(const ServingReplica &replica, const ReplicaList &list)
{
    return {replica.instance,
            replica.registeredName,
            replica.service.value(),
            replica.address,
            replica.failureDomain,
            replica.slots,
            replica.isDraining,
            replica.version,
            list.keptFor(replica.instance).value_or(std::chrono::milliseconds(0))};
}

} // namespace

ReplicaFollower::ReplicaFollower(EventLoop &loop,
                                 const Clock &clock,
                                 RowStore &store,
                                 PeerNetwork &peers,
                                 RelaySelector &relays,
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
    , list(clock, options.lapseRules, this->listHooks())
    , suspendedAtAnswer(clock.suspended())
    , confirmation(loop, clock, store, this->format.table, [this] {
        return this->isComplete() ? this->follower->version() : 0;
    })
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
    log(LogLevel::Info, isRelay ? "started following all replicas" : "stopped following all replicas");
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
    this->followingSince = this->clock.now();
    this->registeredNames.clear();
    this->follower.emplace(this->loop,
                           this->store,
                           this->options.seed,
                           TableFollower::Options{this->format.table,
                                                  [wait = this->options.storeWait] {
                                                      return wait;
                                                  },
                                                  changesInterval},
                           TableFollower::Hooks{
                               .onSnapshot =
                                   [this](const std::vector<StoredRow> &rows) {
                                       this->applySnapshot(rows);
                                   },
                               .onChange =
                                   [this](const StoredRow &row) {
                                       this->applyChange(row);
                                   },
                               .onDelivered =
                                   [this] {
                                       this->applyRemovals();
                                       this->publishChanges();
                                       this->confirmation.handleDelivery();
                                   },
                               .onAnswer =
                                   [this] {
                                       this->checkHistory();
                                       this->list.recordAnswer();
                                   },
                               .onFailure =
                                   [this] {
                                       this->list.recordOutage();
                                   },
                           });
}

ReplicaList::Hooks ReplicaFollower::listHooks()
{
    return {
        .restarted =
            [this](const ServingReplica &former) {
                this->reportRestart(former);
            },
        .kept =
            [this](const ServingReplica &replica) {
                log(LogLevel::Info,
                    "replica kept, as its entry may have lapsed",
                    {{"replica", replica.instance.value()}, {"list_age_ms", this->age().count()}});
            },
        .resumed =
            [](const ListedReplica &entry) {
                log(LogLevel::Warning,
                    "draining replica accepts requests again",
                    {{"replica", entry.replica.instance.value()},
                     {"entry_source", std::string(nameOf(entry.origin.source))},
                     {"entry_version", static_cast<std::int64_t>(entry.origin.version)}});
            },
    };
}

void ReplicaFollower::confirm(ListConfirmation::Handler handler)
{
    this->confirmation.request(std::move(handler));
}

void ReplicaFollower::checkHistory()
{
    const std::chrono::nanoseconds suspended = this->clock.suspended();
    const auto suspension = suspended - std::exchange(this->suspendedAtAnswer, suspended);
    if (this->age() + suspension > maxSilence) {
        this->hooks.historyLost();
    }
}

bool ReplicaFollower::isComplete() const
{
    return this->follower && this->follower->version() > 0;
}

// A node that has just started serves with a sample of the replicas until it is connected to other nodes.
void ReplicaFollower::readSample()
{
    const std::string from = this->format.sampleKey(this->random);
    this->readSampleFrom(from, {}, {});
}

void ReplicaFollower::readSampleFrom(const std::string &from, const std::string &to, std::vector<StoredRow> before)
{
    const RowRange range{this->format.table, "", from, to, setSizePerService - before.size()};
    this->store.read(range, [this, alive = this->alive, from, before = std::move(before)](const RowRangeResult &result) mutable {
        if (!*alive || this->isListKnown || this->follower) {
            return;
        }
        if (result.outcome != ReadOutcome::Found) {
            this->sampleTimer = this->loop.schedule(sampleRetry, [this] {
                this->readSample();
            });
            return;
        }
        before.insert(before.end(), result.rows.begin(), result.rows.end());
        if (before.size() < setSizePerService && !from.empty()) {
            this->readSampleFrom({}, from, std::move(before));
            return;
        }
        this->applySample(before);
    });
}

void ReplicaFollower::applySample(const std::vector<StoredRow> &rows)
{
    std::vector<ListedReplica> replicas;
    for (const StoredRow &row : rows) {
        if (std::optional<ServingReplica> replica = this->decode(row)) {
            replicas.emplace_back(*std::move(replica), EntryOrigin{EntrySource::Sample, row.version, this->clock.now()});
        }
    }
    log(LogLevel::Info, "sample of replicas read", {{"count", static_cast<std::int64_t>(replicas.size())}});
    this->list.replaceExactly(replicas);
    this->isListKnown = true;
    this->list.recordConfirmation(this->clock.now());
    this->publishChanges();
}

std::optional<ServingReplica> ReplicaFollower::resolve(const ServingReplica &placed)
{
    if (const ServingReplica *const listed = this->find(placed.instance)) {
        return listed->isDraining ? std::nullopt : std::optional(*listed);
    }
    if (this->isComplete() || placed.address == Address()) {
        return std::nullopt;
    }
    this->recent.add(placed);
    return placed;
}

EntryState ReplicaFollower::state(const EndpointName &instance) const
{
    return this->list.state(instance).value_or(EntryState{{EntrySource::Dispatcher, 0, this->clock.now()}, std::nullopt});
}

RowVersion ReplicaFollower::listVersion() const
{
    return this->isComplete() ? this->follower->version() : this->reportedVersion;
}

bool ReplicaFollower::isKnown() const
{
    return this->isListKnown;
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
    std::optional<ServingReplica> replica = this->format.decode(row.key.key, row.value);
    const EndpointName name(row.key.key);
    if (replica) {
        this->unreadable.erase(name);
    } else if (this->unreadable.size() < maxUnreadable && this->unreadable.insert(name).second) {
        // Logged once, not at each heartbeat.
        log(LogLevel::Warning,
            "replica entry unreadable, replica not used",
            {{"key", row.key.key}, {"version", static_cast<std::int64_t>(row.version)}});
    }
    return replica;
}

void ReplicaFollower::reportRestart(const ServingReplica &former)
{
    log(LogLevel::Info,
        "replica restarted under the same name",
        {{"replica", former.registeredName.value()}, {"former", former.instance.value()}});
    this->hooks.restarted(former);
}

void ReplicaFollower::applySnapshot(const std::vector<StoredRow> &rows)
{
    std::vector<ListedReplica> replicas;
    this->registeredNames.clear();
    for (const StoredRow &row : rows) {
        this->registeredNames.insert(EndpointName(row.key.key));
        const EntryOrigin origin{EntrySource::Store, row.version, this->clock.now()};
        if (std::optional<ServingReplica> replica = this->decode(row)) {
            replicas.emplace_back(*std::move(replica), origin);
            continue;
        }
        const EndpointName name(row.key.key);
        this->list.markUnreadable(name);
        if (const ServingReplica *const listed = this->list.findRegistered(name)) {
            replicas.emplace_back(*listed, origin);
        }
    }
    this->list.replaceAll(replicas);
    this->isListKnown = true;
    this->hooks.historyLost();
    log(LogLevel::Info, "replicas read", {{"count", static_cast<std::int64_t>(replicas.size())}});
}

void ReplicaFollower::publishChanges()
{
    const ReplicaChanges changes = this->list.popChanges();
    for (const ServingReplica &replica : changes.removed) {
        log(LogLevel::Info,
            "replica removed from the list",
            {{"replica", replica.instance.value()},
             {"draining", replica.isDraining},
             {"list_version", static_cast<std::int64_t>(this->listVersion())},
             {"list_age_ms", this->age().count()}});
    }
    if (this->follower) {
        for (const ServingReplica &replica : changes.removed) {
            this->ring.remove(replica);
        }
        for (const ServingReplica &replica : changes.put) {
            this->ring.put(replica);
        }
    }
    const bool isFirst = this->isListKnown && !std::exchange(this->hasReported, this->isListKnown);
    if (isFirst || !changes.isEmpty()) {
        this->hooks.changed(changes);
    }
}

void ReplicaFollower::applyChange(const StoredRow &row)
{
    const EndpointName name(row.key.key);
    if (row.isRemoved) {
        if (this->registeredNames.erase(name) == 0) {
            // It came and went between two answers.
            this->hooks.historyLost();
        }
        this->unreadable.erase(name);
        this->pendingRemovals.insert(name);
        return;
    }
    this->registeredNames.insert(name);
    this->pendingRemovals.erase(name);
    const std::optional<ServingReplica> replica = this->decode(row);
    if (!replica) {
        this->list.markUnreadable(name);
        return;
    }
    const ServingReplica *const before = this->find(replica->instance);
    const bool isSame = before != nullptr && *before == *replica;
    // Also if the entry is unchanged: this restores one that had lapsed.
    this->list.put({*replica, {EntrySource::Store, row.version, this->clock.now()}});
    if (isSame) {
        return;
    }
    log(LogLevel::Info,
        "replica changed",
        {{"replica", replica->instance.value()},
         {"service", replica->service.value()},
         {"address", replica->address.toString()},
         {"version", replica->version.value()},
         {"entry_version", static_cast<std::int64_t>(row.version)},
         {"draining", replica->isDraining}});
}

void ReplicaFollower::applyRemovals()
{
    const std::set<EndpointName> names = std::exchange(this->pendingRemovals, {});
    this->list.remove({names.begin(), names.end()});
}

void ReplicaFollower::expire()
{
    this->list.expire();
    this->publishChanges();
    this->expiryTimer = this->loop.schedule(this->list.hasLapsed() ? lapsedExpiryInterval : expiryInterval, [this] {
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
    return this->list.age();
}

void ReplicaFollower::watch()
{
    if (this->follower) {
        this->watchStore();
    } else {
        this->requestRecordSet();
    }
    this->watchTimer = this->loop.schedule(this->isListKnown ? peerInterval : firstPeerInterval, [this] {
        this->watch();
    });
}

void ReplicaFollower::watchStore()
{
    const bool hasJustStarted = this->clock.now() - this->followingSince <= maxConfirmationAge;
    const bool isLost = this->list.isPlatformUnreachable() || (this->age() > maxConfirmationAge && !hasJustStarted);
    if (std::exchange(this->hasLostStore, isLost) != isLost) {
        log(LogLevel::Warning, isLost ? "store lost" : "store regained", {{"age_ms", this->age().count()}});
        this->peers.setStoreLost(isLost);
        this->hooks.storeReached(!isLost);
    }
    if (isLost || !this->isComplete()) {
        this->requestAllRecords();
    }
}

void ReplicaFollower::requestAllRecords()
{
    const Member *const relay = this->relays.select();
    if (relay != nullptr && (!relay->hasLostStore || !this->isComplete())) {
        this->requestRecords(*relay, 0);
    }
}

void ReplicaFollower::requestRecordSet()
{
    const SteadyTime now = this->clock.now();
    if (this->isListKnown && now < this->nextRequest) {
        return;
    }
    this->nextRequest = now + relayInterval;
    if (const Member *const peer = this->selectPeer()) {
        this->requestRecords(*peer, setSizePerService);
    }
}

const Member *ReplicaFollower::selectPeer()
{
    if (const Member *const relay = this->relays.select()) {
        return relay;
    }
    if (this->isListKnown) {
        return nullptr;
    }
    // Nodes that are ready for callers know some replicas.
    const MemberViewPointer view = this->peers.view();
    return randomMember(*view, this->random, [this](const Member &member) {
        return member.session != this->peers.self() && member.isReady;
    });
}

void ReplicaFollower::requestRecords(const Member &peer, std::uint32_t maxPerService)
{
    if (this->isRequestPending) {
        return;
    }
    this->isRequestPending = true;
    const Member *const own = this->peers.view()->find(this->peers.self());
    const FailureDomain domain = own != nullptr ? own->failureDomain : FailureDomain();
    this->peers.client().call(peer.owner,
                              ReplicaRecordsRequest{this->peers.self(), this->list.fingerprint(), maxPerService, domain},
                              peerTimeout,
                              [this, alive = this->alive, peer, maxPerService](const CallResult<ReplicaRecords> &result) {
                                  if (!*alive) {
                                      return;
                                  }
                                  this->isRequestPending = false;
                                  if (result.response && result.response->isKnown) {
                                      this->applyRecords(*result.response);
                                  } else if (peer.isRelay && maxPerService > 0) {
                                      this->hooks.relayUnresponsive(peer.session);
                                  }
                              });
}

void ReplicaFollower::applyRecords(const ReplicaRecords &records)
{
    if (this->follower) {
        this->applyAllRecords(records);
    } else {
        this->applyRecordSet(records);
    }
}

void ReplicaFollower::applyAllRecords(const ReplicaRecords &records)
{
    // A request sent before this node became a relay is answered with a set.
    const ListStamp own{this->listVersion(), this->age()};
    if (!records.isComplete || (this->isComplete() && !isMoreRecent({records.version, records.age}, own))) {
        return;
    }
    this->list.recordConfirmation(this->clock.now() - records.age);
    this->replaceList(records, own);
    const RowVersion followedFrom = this->follower->version();
    if (records.fingerprint == this->list.fingerprint()) {
        this->follower->followFrom(records.version);
    }
    if (!records.isUnchanged || this->follower->version() != followedFrom) {
        // The list of another node does not tell which replicas came and went before.
        this->hooks.historyLost();
    }
    this->publishChanges();
    this->confirmation.handleDelivery();
}

void ReplicaFollower::applyRecordSet(const ReplicaRecords &records)
{
    if (this->isListKnown && records.version < this->reportedVersion) {
        return;
    }
    const ListStamp own{this->listVersion(), this->age()};
    this->reportedVersion = records.version;
    this->list.recordConfirmation(this->clock.now() - records.age);
    this->replaceList(records, own);
    this->publishChanges();
}

void ReplicaFollower::replaceList(const ReplicaRecords &records, const ListStamp &own)
{
    if (records.isUnchanged) {
        this->list.confirmEntries();
        return;
    }
    std::vector<ListedReplica> replicas;
    this->registeredNames.clear();
    const EntryOrigin origin{EntrySource::OtherNode, records.version, this->clock.now()};
    for (const ReplicaRecord &record : records.replicas) {
        ListedReplica &entry = replicas.emplace_back(replicaOf(record), origin);
        this->registeredNames.insert(record.registeredName);
        if (record.keptFor.count() > 0) {
            entry.keptFor = record.keptFor;
        }
    }
    log(this->follower ? LogLevel::Info : LogLevel::Debug,
        "replicas received from another node",
        {{"count", static_cast<std::int64_t>(replicas.size())},
         {"age_ms", records.age.count()},
         {"version", static_cast<std::int64_t>(records.version)},
         {"own_age_ms", own.age.count()},
         {"own_version", static_cast<std::int64_t>(own.version)}});
    this->list.replaceExactly(replicas);
    this->isListKnown = true;
}

ReplicaRecords ReplicaFollower::records(const ReplicaRecordsRequest &request) const
{
    ReplicaRecords records;
    if (request.maxPerService > 0) {
        records = this->selectedRecords(request);
    } else if (this->isComplete()) {
        records = this->allRecords(request);
    }
    records.age = this->age();
    return records;
}

ReplicaRecords ReplicaFollower::allRecords(const ReplicaRecordsRequest &request) const
{
    ReplicaRecords records;
    records.isKnown = true;
    records.isComplete = true;
    records.version = this->listVersion();
    records.fingerprint = this->list.fingerprint();
    // The fingerprint does not tell which entries are kept, and for how long.
    records.isUnchanged = request.fingerprint == records.fingerprint && !this->list.hasLapsed();
    if (!records.isUnchanged) {
        for (const auto &[instance, replica] : this->list.replicas()) {
            records.replicas.push_back(recordOf(replica, this->list));
        }
    }
    return records;
}

ReplicaRecords ReplicaFollower::selectedRecords(const ReplicaRecordsRequest &request) const
{
    ReplicaRecords records;
    records.isKnown = this->isListKnown;
    records.version = this->listVersion();
    ReplicaRing::Selection choice;
    if (this->isComplete()) {
        choice = this->ring.select(
            stableHash(request.failureDomain.value(), request.from.value()), request.failureDomain, request.maxPerService);
    } else {
        // The set that this node received itself: few replicas, but better than none.
        for (const auto &[instance, replica] : this->list.replicas()) {
            choice.replicas.push_back(replica);
        }
        choice.fingerprint = this->list.fingerprint();
    }
    records.fingerprint = choice.fingerprint;
    // The fingerprint does not tell which entries are kept, and for how long.
    records.isUnchanged = request.fingerprint == records.fingerprint && !this->list.hasLapsed();
    if (!records.isUnchanged) {
        for (const ServingReplica &replica : choice.replicas) {
            records.replicas.push_back(recordOf(replica, this->list));
        }
    }
    return records;
}

} // namespace Dogwoodkeel
