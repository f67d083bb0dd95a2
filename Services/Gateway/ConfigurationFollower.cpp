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
                                             std::chrono::milliseconds storeWait,
                                             Format format,
                                             Changed changed)
    : loop(loop)
    , clock(clock)
    , random(static_cast<std::minstd_rand::result_type>(peers.self().value()))
    , peers(peers)
    , format(std::move(format))
    , changed(std::move(changed))
{
    peers.server().handle<ConfigurationTextRequest>([this](const ConfigurationTextRequest &request, const auto &respond) {
        const bool isNewer = this->version() > request.known;
        respond(ConfigurationText{this->version(), isNewer ? this->text : std::string()});
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
                                                  [this, storeWait] {
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
    const SteadyTime started = this->clock.now();
    std::optional<ServingConfiguration> decoded = this->format.decode(text);
    const auto decodeTime = std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - started);
    ++this->copiesReceived;
    if (!decoded) {
        log(LogLevel::Error, "unreadable configuration ignored", {{"source", std::string(source)}});
        return;
    }
    if (this->configuration && decoded->version <= this->version()) {
        log(LogLevel::Info,
            "configuration received that is not newer",
            {{"version", static_cast<std::int64_t>(decoded->version)},
             {"current", static_cast<std::int64_t>(this->version())},
             {"source", std::string(source)},
             {"bytes", static_cast<std::int64_t>(text.size())},
             {"decode_ms", decodeTime.count()}});
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
    this->text = text;
    this->configuration = std::make_shared<const ServingConfiguration>(*std::move(decoded));
    this->peers.setConfigurationVersion(this->version());
    this->changed(this->configuration);
}

void ConfigurationFollower::watch()
{
    const bool hasRecentContact = this->peers.hasRecentContact();
    if (std::exchange(this->hadRecentContact, hasRecentContact) && !hasRecentContact) {
        this->refresh();
    }
    const bool isBehind = this->isBehind();
    const SteadyTime now = this->clock.now();
    if (!isBehind) {
        this->behindSince.reset();
    } else if (!this->behindSince) {
        this->behindSince = now;
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

bool ConfigurationFollower::isBehind() const
{
    const MemberViewPointer view = this->peers.view();
    return std::ranges::any_of(view->members(), [this](const Member &member) {
        return member.configVersion > this->version();
    });
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
                              ConfigurationTextRequest{this->version()},
                              peerTimeout,
                              [this, alive = this->alive, vm = peer.vm](const CallResult<ConfigurationText> &result) {
                                  if (!*alive) {
                                      return;
                                  }
                                  this->isRequestPending = false;
                                  if (!result.response) {
                                      log(LogLevel::Info,
                                          "configuration not received from another node",
                                          {{"from", vm.value()}, {"behind_ms", this->behindFor().count()}});
                                  } else if (!result.response->text.empty()) {
                                      this->apply(result.response->text, "peer");
                                  }
                              });
}

} // namespace Dogwoodkeel
