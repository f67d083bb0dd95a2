#include <Services/Gateway/ConfigurationFollower.h>

#include <LibBase/Hash.h>
#include <LibBase/Log.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds watchInterval{150};
/** The store notifies all nodes at once; this node requests a configuration from a peer only if it has not arrived by then. A
 * configuration can be large, and a request at each change would transfer it between failure domains once more per node. */
constexpr std::chrono::milliseconds storeTimeout{450};
/** A peer answers from memory; one that does not answer within this time counts as disconnected. */
constexpr std::chrono::milliseconds peerTimeout{400};
/** While other nodes publish their versions, a dead connection to the store shows by a newer version there, so a request to the
 * store may wait longer for a change. */
constexpr std::chrono::milliseconds storeWaitWithPeers{8000};

} // namespace

ConfigurationFollower::ConfigurationFollower(EventLoop &loop,
                                             const Clock &clock,
                                             RowFeed &store,
                                             PeerNetwork &peers,
                                             ChunkExchange &chunks,
                                             const Timing &timing,
                                             Format format,
                                             Changed changed)
    : loop(loop)
    , clock(clock)
    , random(static_cast<std::minstd_rand::result_type>(peers.self().value()))
    , peers(peers)
    , chunks(chunks)
    , maxBehind(timing.maxBehind)
    , newerVersions(clock)
    , format(std::move(format))
    , changed(std::move(changed))
{
    peers.server().handle<ConfigurationOutlineRequest>([this](const ConfigurationOutlineRequest &request, const auto &respond) {
        const bool isNewer = this->version() > request.known;
        respond(ConfigurationOutline{this->version(), isNewer ? this->outline : TextOutline()});
    });
    const auto applyRow = [this](const StoredRow &row) {
        if (row.key.key == this->format.key && !row.isRemoved) {
            this->apply(row.value, "store");
        }
    };
    this->follower.emplace(loop,
                           store,
                           stableHash(this->format.table) ^ peers.self().value(),
                           TableFollower::Options{this->format.table,
                                                  [this, storeWait = timing.storeWait] {
                                                      return this->peers.hasRecentContact() ? storeWaitWithPeers : storeWait;
                                                  },
                                                  std::chrono::milliseconds(0)},
                           TableFollower::Hooks{
                               .onSnapshot =
                                   [applyRow](const std::vector<StoredRow> &rows) {
                                       for (const StoredRow &row : rows) {
                                           applyRow(row);
                                       }
                                   },
                               .onChange = applyRow,
                           });
    this->watch();
}

ConfigurationFollower::~ConfigurationFollower()
{
    *this->alive = false;
    this->loop.cancel(this->watchTimer);
}

const ServingConfigurationPointer &ConfigurationFollower::current() const
{
    return this->configuration;
}

std::uint64_t ConfigurationFollower::version() const
{
    return this->configuration ? this->configuration->version : 0;
}

void ConfigurationFollower::apply(const std::string &text, std::string_view source)
{
    ++this->copiesReceived;
    // Decoding takes a small VM tenths of a second.
    if (this->configuration && ChunkStore::digestOf(text) == this->outline.digest) {
        this->logNotNewer(this->version(), source);
        return;
    }
    const SteadyTime started = this->clock.now();
    std::optional<ServingConfiguration> decoded = this->format.decode(text);
    const auto decodeTime = std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - started);
    if (!decoded) {
        log(LogLevel::Error, "unreadable configuration ignored", {{"source", std::string(source)}});
        return;
    }
    if (this->configuration && decoded->version <= this->version()) {
        this->logNotNewer(decoded->version, source);
        return;
    }
    log(LogLevel::Info,
        "configuration in force",
        {{"version", static_cast<std::int64_t>(decoded->version)},
         {"before", static_cast<std::int64_t>(this->version())},
         {"source", std::string(source)},
         {"bytes", static_cast<std::int64_t>(text.size())},
         {"routes", static_cast<std::int64_t>(decoded->routes.size())},
         {"decode_ms", decodeTime.count()},
         {"behind_ms", this->behindFor().count()},
         {"copies_received", static_cast<std::int64_t>(std::exchange(this->copiesReceived, 0))}});
    this->outline = this->chunks.publish(this->row(), text);
    this->configuration = std::make_shared<const ServingConfiguration>(*std::move(decoded));
    this->updateNewerVersions();
    this->peers.setConfigurationVersion(this->version());
    this->changed(this->configuration);
}

void ConfigurationFollower::logNotNewer(std::uint64_t received, std::string_view source) const
{
    log(LogLevel::Info,
        "configuration received that is not newer",
        {{"version", static_cast<std::int64_t>(received)},
         {"current", static_cast<std::int64_t>(this->version())},
         {"source", std::string(source)}});
}

void ConfigurationFollower::watch()
{
    const bool hasRecentContact = this->peers.hasRecentContact();
    if (std::exchange(this->hadRecentContact, hasRecentContact) && !hasRecentContact) {
        this->refresh();
    }
    const bool isBehind = this->isBehind();
    const SteadyTime now = this->clock.now();
    this->behindSince = isBehind ? this->behindSince.value_or(now) : std::optional<SteadyTime>();
    this->updateNewerVersions();
    const bool isOutdatedNow = this->isOutdated();
    if (std::exchange(this->wasOutdated, isOutdatedNow) != isOutdatedNow) {
        log(LogLevel::Warning,
            isOutdatedNow ? "configuration outdated, not serving" : "configuration no longer outdated",
            {{"version", static_cast<std::int64_t>(this->version())}, {"behind_ms", this->behindFor().count()}});
    }
    // A node without a configuration can't answer callers and doesn't wait for the store, which may be unavailable.
    const bool mayWaitForStore = this->configuration && isBehind && now - *this->behindSince < storeTimeout;
    if (isBehind && !mayWaitForStore) {
        this->catchUp();
    }
    this->watchTimer = this->loop.schedule(watchInterval, [this] {
        this->watch();
    });
}

// Only living members count: others may never be able to send their configuration.
void ConfigurationFollower::updateNewerVersions()
{
    const MemberViewPointer view = this->peers.view();
    std::uint64_t newest = 0;
    for (const Member &member : view->members()) {
        if (member.state == MemberState::Alive && !member.isLeaving) {
            newest = std::max(newest, member.configVersion);
        }
    }
    this->newerVersions.update(this->version(), newest);
}

bool ConfigurationFollower::isBehind() const
{
    const MemberViewPointer view = this->peers.view();
    return std::ranges::any_of(view->members(), [this](const Member &member) {
        return member.configVersion > this->version();
    });
}

bool ConfigurationFollower::isOutdated() const
{
    return this->configuration && this->newerVersions.behindFor() >= this->maxBehind;
}

std::chrono::milliseconds ConfigurationFollower::behindFor() const
{
    const SteadyTime now = this->clock.now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - this->behindSince.value_or(now));
}

void ConfigurationFollower::refresh()
{
    this->follower->refresh();
}

void ConfigurationFollower::catchUp()
{
    if (this->isRequestPending) {
        return;
    }
    const MemberViewPointer view = this->peers.view();
    const Member *const newer = randomMember(*view, this->random, [this](const Member &member) {
        return member.configVersion > this->version();
    });
    if (newer != nullptr) {
        this->requestFromPeer(*newer);
    }
}

void ConfigurationFollower::requestFromPeer(const Member &peer)
{
    this->isRequestPending = true;
    log(LogLevel::Info,
        "configuration requested from another node",
        {{"from", peer.vm.value()},
         {"version", static_cast<std::int64_t>(this->version())},
         {"newer", static_cast<std::int64_t>(peer.configVersion)},
         {"behind_ms", this->behindFor().count()}});
    this->peers.client().call(peer.owner,
                              ConfigurationOutlineRequest{this->version()},
                              peerTimeout,
                              [this, alive = this->alive, peer](const CallResult<ConfigurationOutline> &result) {
                                  if (*alive) {
                                      this->receiveOutline(peer, result);
                                  }
                              });
}

void ConfigurationFollower::receiveOutline(const Member &peer, const CallResult<ConfigurationOutline> &result)
{
    if (!result.response || result.response->text.chunks.empty()) {
        this->recordPeerFailure(peer);
        return;
    }
    const auto receive = [this, alive = this->alive, peer](const std::optional<std::string> &text) {
        if (!*alive) {
            return;
        }
        if (!text) {
            this->recordPeerFailure(peer);
            return;
        }
        this->isRequestPending = false;
        this->apply(*text, "peer");
    };
    this->chunks.fetch(this->row(), result.response->text, peer.owner, receive);
}

void ConfigurationFollower::recordPeerFailure(const Member &peer)
{
    this->isRequestPending = false;
    log(LogLevel::Info,
        "configuration not received from another node",
        {{"from", peer.vm.value()}, {"behind_ms", this->behindFor().count()}});
}

RowKey ConfigurationFollower::row() const
{
    return {this->format.table, {}, this->format.key};
}

} // namespace Dogwoodkeel
