#include <Services/Control/ConfigurationService.h>

#include <nlohmann/json.hpp>

#include <random>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Short, so that a paused or lost peer does not delay a version: another peer or the platform is queried next. */
constexpr std::chrono::milliseconds peerTimeout{500};

template <typename Request>
void callPeer(PeerClient &peers,
              const Address &peer,
              const Request &request,
              ConfigurationKeeper::Answered<typename Request::Response> answered)
{
    peers.call<Request>(peer, request, peerTimeout, [answered = std::move(answered)](auto result) {
        answered(std::move(result.response));
    });
}

ConfigurationWriter::Options writerOptions(const Settings &settings, const ConfigurationKeeper &keeper)
{
    ConfigurationWriter::Options options;
    options.rowBytes = static_cast<std::size_t>(settings.platform.rowBytes);
    options.isStored = [&keeper](const std::string &key) {
        return keeper.holdsPart(key);
    };
    return options;
}

} // namespace

ConfigurationService::ConfigurationService(EventLoop &loop,
                                           const Clock &clock,
                                           Platform &platform,
                                           PeerClient &peers,
                                           const SettingsPointer &ownSettings,
                                           std::vector<SettingsSource> ownFiles,
                                           std::function<void(std::uint64_t)> onInForce)
    : peers(peers)
    , ownSettings(ownSettings)
    , ownFiles(std::move(ownFiles))
    , onInForce(std::move(onInForce))
    , platformStore(platform)
    , configuration(this->platformStore, loop, clock, std::random_device()(), this->keeperOptions(), this->keeperHooks())
    , writer(this->platformStore, loop, clock, writerOptions(*ownSettings, this->configuration))
{
}

ConfigurationKeeper::Options ConfigurationService::keeperOptions() const
{
    ConfigurationKeeper::Options options;
    options.site = this->ownSettings->node.site;
    options.ownFiles = this->ownFiles;
    options.ownSettings = this->ownSettings;
    return options;
}

ConfigurationKeeper::Hooks ConfigurationService::keeperHooks()
{
    ConfigurationKeeper::Hooks hooks;
    hooks.queryPeer = [this](const Address &peer, ConfigurationKeeper::Answered<ConfigurationResponse> answered) {
        callPeer<ConfigurationRequest>(this->peers, peer, {}, std::move(answered));
    };
    hooks.queryPeerForPart
        = [this](const Address &peer, const std::string &key, ConfigurationKeeper::Answered<ConfigurationPartResponse> answered) {
              callPeer<ConfigurationPartRequest>(this->peers, peer, {key}, std::move(answered));
          };
    hooks.putInForce = [this](SettingsPointer settings, std::uint64_t, std::function<void()> done) {
        this->putInForce(std::move(settings), std::move(done));
    };
    hooks.onInForce = [this](std::uint64_t number) {
        this->onInForce(number);
    };
    return hooks;
}

void ConfigurationService::learn(std::function<void(SettingsPointer)> learnt)
{
    this->configuration.start(std::move(learnt));
}

void ConfigurationService::follow(PutInForce putInForce)
{
    this->putInForce = std::move(putInForce);
    this->configuration.follow();
}

void ConfigurationService::setMembers(const std::vector<Member> &members, SessionNumber self)
{
    std::vector<ConfigurationKeeper::Peer> known;
    for (const Member &member : members) {
        if (member.session != self && member.state != MemberState::Dead) {
            known.push_back({member.owner, member.configVersion});
        }
    }
    this->configuration.setPeers(std::move(known));
}

void ConfigurationService::apply(ConfigurationProposal proposal, ConfigurationWriter::Applied applied)
{
    const bool hasKeys = !this->configuration.settings()->tenants.empty();
    proposal.access = hasKeys ? Access::NeedsKeys : Access::MayBeOpen;
    const ConfigurationContent content = proposal.content;
    this->writer.apply(std::move(proposal), [this, content, applied = std::move(applied)](const ApplyResult &result) {
        if (result.outcome == ApplyOutcome::Accepted) {
            this->configuration.adopt(result.row, content);
        }
        applied(result);
    });
}

ConfigurationStateResponse ConfigurationService::state() const
{
    const NodeSettings &node = this->ownSettings->node;
    return {VmName(node.vm),
            node.site,
            FailureDomain(node.failureDomain),
            this->configuration.inForce(),
            this->configuration.seen(),
            this->configuration.obstacle()};
}

StatusPart ConfigurationService::status() const
{
    StatusPart part;
    const ConfigurationStateResponse state = this->state();
    const bool isAnswering = this->configuration.isPlatformAnswering();
    part.json = nlohmann::json({{"in_force", state.inForce},
                                {"seen", state.seen},
                                {"site", state.site},
                                {"obstacle", state.obstacle},
                                {"platform_answers", isAnswering}})
                    .dump();
    if (!isAnswering) {
        part.degradations.push_back({"the platform's table service does not answer",
                                     "see to the platform; until then jobs and non-idempotent requests are refused and no "
                                     "configuration can be applied"});
    }
    if (state.inForce < state.seen) {
        part.degradations.push_back({"configuration " + std::to_string(state.seen) + " is not in force here: "
                                         + (state.obstacle.empty() ? "it is on its way" : state.obstacle),
                                     state.obstacle.find("does not load") != std::string::npos
                                         ? "bring this node's program or its own file up to date, or revert the version"
                                         : ""});
    }
    return part;
}

const ConfigurationKeeper &ConfigurationService::keeper() const
{
    return this->configuration;
}

ConfigurationStore &ConfigurationService::store()
{
    return this->platformStore;
}

} // namespace Dogwoodkeel
