#include <Services/Gateway/ConfigurationFollower.h>

#include <LibBase/Hash.h>
#include <LibBase/Log.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** A starting node asks others this often until it has a configuration. */
constexpr std::chrono::milliseconds seedInterval{150};
/** A peer answers from memory; one that does not within this time is cut off. */
constexpr std::chrono::milliseconds peerTimeout{400};

} // namespace

ConfigurationFollower::ConfigurationFollower(
    EventLoop &loop, RowStore &store, PeerNetwork &peers, std::chrono::milliseconds storeWait, Format format, Changed changed)
    : loop(loop), peers(peers), format(std::move(format)), changed(std::move(changed))
{
    peers.server().handle<ConfigurationTextRequest>([this](const ConfigurationTextRequest &request, const auto &respond) {
        const bool isNewer = this->version() > request.known;
        respond(ConfigurationText{this->version(), isNewer ? this->text : std::string()});
    });
    const auto takeRow = [this](const StoredRow &row) {
        if (row.place.key == this->format.key && !row.isRemoved) {
            this->take(row.value, "store");
        }
    };
    this->follower.emplace(loop,
                           store,
                           stableHash(this->format.table) ^ peers.self().value(),
                           TableFollower::Options{this->format.table, storeWait, std::chrono::milliseconds(0)},
                           TableFollower::Hooks{
                               .onAll =
                                   [takeRow](const std::vector<StoredRow> &rows) {
                                       for (const StoredRow &row : rows) {
                                           takeRow(row);
                                       }
                                   },
                               .onChange = takeRow,
                               .onAnswer = [] {},
                               .onFailure = [] {},
                           });
    this->seedTimer = loop.schedule(seedInterval, [this] {
        this->askSeeds();
    });
}

ConfigurationFollower::~ConfigurationFollower()
{
    *this->alive = false;
    this->loop.cancel(this->seedTimer);
}

const ServingConfigurationPointer &ConfigurationFollower::current() const
{
    return this->configuration;
}

std::uint64_t ConfigurationFollower::version() const
{
    return this->configuration ? this->configuration->version : 0;
}

void ConfigurationFollower::take(const std::string &text, std::string_view source)
{
    std::optional<ServingConfiguration> decoded = this->format.decode(text);
    if (!decoded) {
        log(LogLevel::Error, "unreadable configuration", {{"source", std::string(source)}});
        return;
    }
    if (this->configuration && decoded->version <= this->version()) {
        return;
    }
    log(LogLevel::Info,
        "configuration in force",
        {{"version", static_cast<std::int64_t>(decoded->version)},
         {"before", static_cast<std::int64_t>(this->version())},
         {"source", std::string(source)}});
    this->text = text;
    this->configuration = std::make_shared<const ServingConfiguration>(*std::move(decoded));
    this->peers.setConfigurationVersion(this->version());
    this->changed(this->configuration);
}

void ConfigurationFollower::askSeeds()
{
    // While the store is away, a node that has just started can learn the configuration only from the others.
    if (this->configuration) {
        return;
    }
    for (const Member &member : this->peers.view()->members()) {
        if (member.configVersion > 0) {
            this->askPeer(member.owner);
        }
    }
    this->seedTimer = this->loop.schedule(seedInterval, [this] {
        this->askSeeds();
    });
}

void ConfigurationFollower::look(const MemberView &view)
{
    const Member *newest = nullptr;
    for (const Member &member : view.members()) {
        const bool isNewer = member.configVersion > (newest != nullptr ? newest->configVersion : this->version());
        newest = isNewer ? &member : newest;
    }
    if (newest != nullptr && !this->isAsking) {
        this->askPeer(newest->owner);
    }
}

void ConfigurationFollower::askPeer(const Address &peer)
{
    this->isAsking = true;
    this->peers.client().call(peer,
                              ConfigurationTextRequest{this->version()},
                              peerTimeout,
                              [this, alive = this->alive](const CallResult<ConfigurationText> &result) {
                                  if (!*alive) {
                                      return;
                                  }
                                  this->isAsking = false;
                                  if (result.response && !result.response->text.empty()) {
                                      this->take(result.response->text, "peer");
                                  }
                              });
}

} // namespace Dogwoodkeel
