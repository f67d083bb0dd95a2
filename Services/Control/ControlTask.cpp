#include <Services/Control/ControlTask.h>

#include <LibWire/Codec.h>

#include <algorithm>
#include <random>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds meetInterval{5000};
constexpr std::chrono::milliseconds meetRetry{200};
/** Members told of a new configuration at once, each of which tells as many: gossip alone takes a probe a step. */
constexpr std::size_t newsFanOut = 4;
constexpr std::chrono::milliseconds vmInterval{1000};

Membership::Options membershipOptions(const Settings &settings)
{
    Membership::Options options;
    options.probeInterval = settings.membership.probeInterval;
    options.probeTimeout = settings.membership.probeTimeout;
    options.suspicion = settings.membership.suspicion;
    return options;
}

} // namespace

ControlTask::ControlTask(EventLoop &loop,
                         const Clock &clock,
                         const SettingsPointer &settings,
                         const std::vector<SettingsSource> &ownFiles,
                         const PeerSecurity &security,
                         const PlatformFactory &makePlatform)
    : loop(loop)
    , clock(clock)
    , settings(settings)
    , platform(makePlatform(loop))
    , sessions(*this->platform, loop)
    , datagrams(loop,
                settings->listen.gossip,
                security.siteKey,
                [this](const Datagram &datagram) {
                    this->receive(datagram);
                })
    , random(std::random_device()())
    , peers(loop, security)
    , versions(loop,
               clock,
               *this->platform,
               this->peers,
               settings,
               ownFiles,
               [this](std::uint64_t version) {
                   this->tellConfiguration(version);
               })
    , api(this->versions, this->board, this->peers, [this] {
        return this->membership ? this->membership->view()->members() : std::vector<Member>();
    })
{
    this->board.add("configuration", [this](const StatusBoard::Collected &collected) {
        collected(this->versions.status());
    });
}

void ControlTask::openSession(std::function<void(SessionNumber)> opened)
{
    SessionRow row;
    row.vm = VmName(this->settings->node.vm);
    row.failureDomain = FailureDomain(this->settings->node.failureDomain);
    row.gossip = this->datagrams.address();
    row.started = this->clock.wallNow();
    this->sessions.open(row, [this, opened = std::move(opened)](SessionNumber number) {
        this->self = number;
        opened(number);
    });
}

void ControlTask::join(Member self, std::function<void(MemberViewPointer)> onChange)
{
    self.gossip = this->datagrams.address();
    self.configVersion = this->versions.keeper().inForce();
    this->joined = self;
    this->onChange = std::move(onChange);
    Membership::Hooks hooks{
        .sendPing =
            [this](const Address &to, const Ping &ping) {
                this->datagrams.send(to, ping);
            },
        .sendPong =
            [this](const Address &to, const Pong &pong) {
                this->datagrams.send(to, pong);
            },
        .sendPingRequest =
            [this](const Address &to, const PingRequest &request) {
                this->datagrams.send(to, request);
            },
        .onChange =
            [this](const MemberViewPointer &view) {
                if (!this->closed) {
                    this->versions.setMembers(view->members(), this->self);
                    if (this->orders) {
                        this->orders->setView(*view);
                    }
                    this->onChange(view);
                }
            },
    };
    this->membership.emplace(this->clock,
                             this->loop,
                             membershipOptions(this->settings.current()),
                             std::move(self),
                             std::random_device()(),
                             std::move(hooks));
    this->membership->start(this->settings->peers.seeds);
    if (!std::exchange(this->meeting, true)) {
        this->meetOthers();
    }
}

void ControlTask::renewSession(std::function<void(SessionNumber)> opened)
{
    this->leave();
    this->openSession(std::move(opened));
}

void ControlTask::rejoin()
{
    if (this->orders) {
        this->orders->setSession(this->self);
    }
    Member self = this->joined;
    self.session = this->self;
    // The former session's members are asked first: they are likely to be there still.
    std::vector<Address> others;
    for (const Member &member : this->membership->view()->members()) {
        others.push_back(member.gossip);
    }
    this->toldModels = 0;
    this->join(std::move(self), this->onChange);
    this->membership->contact(others);
}

void ControlTask::meetOthers()
{
    // Nodes that lost sight of each other for longer than they remember the dead would never meet again by gossip alone;
    // the platform's rows and the seeds name them.
    this->membership->contact(this->settings->peers.seeds);
    this->sessions.list([this](const std::optional<std::vector<SessionRegistry::Listed>> &listed) {
        std::vector<Address> strangers;
        for (const SessionRegistry::Listed &session : listed.value_or(std::vector<SessionRegistry::Listed>())) {
            if (session.number != this->self && this->membership->view()->find(session.number) == nullptr) {
                strangers.push_back(session.row.gossip);
            }
        }
        this->membership->contact(strangers);
        this->loop.schedule(listed ? meetInterval : meetRetry, [this] {
            this->meetOthers();
        });
    });
}

void ControlTask::meetBeforeJoining()
{
    // A starting node learns from the seeds whom to ask for the configuration, in case the platform does not answer.
    if (this->membership || this->closed) {
        return;
    }
    for (const Address &seed : this->settings->peers.seeds) {
        this->datagrams.send(seed, Ping{this->self, 0, {}});
    }
    this->loop.schedule(meetRetry, [this] {
        this->meetBeforeJoining();
    });
}

void ControlTask::learnConfiguration(std::function<void(SettingsPointer)> learnt)
{
    this->versions.learn(std::move(learnt));
    this->meetBeforeJoining();
}

void ControlTask::followConfiguration(ConfigurationService::PutInForce putInForce)
{
    this->versions.follow([this, putInForce = std::move(putInForce)](const SettingsPointer &settings, const auto &done) {
        if (!this->closed) {
            putInForce(settings, done);
        }
    });
}

void ControlTask::startOrders()
{
    this->orders.emplace(this->loop, this->clock, *this->platform, this->self, this->settings.current(), [this] {
        const ConfigurationKeeper &keeper = this->versions.keeper();
        return Reconciler::Configuration{keeper.settings(), keeper.inForce()};
    });
    this->board.add("orders", [this](const StatusBoard::Collected &collected) {
        collected(this->orders->status());
    });
    this->orders->setView(*this->membership->view());
    this->orders->start();
}

ConfigurationService &ControlTask::configuration()
{
    return this->versions;
}

StatusBoard &ControlTask::statusBoard()
{
    return this->board;
}

OperatorApi &ControlTask::operators()
{
    return this->api;
}

void ControlTask::close()
{
    this->closed = true;
}

bool ControlTask::isClosed() const
{
    return this->closed;
}

void ControlTask::tellConfiguration(std::uint64_t version)
{
    if (!this->membership) {
        return;
    }
    this->membership->update([version](Member &member) {
        member.configVersion = version;
    });
    std::vector<Address> others;
    for (const Member &member : this->membership->view()->members()) {
        if (member.session != this->self && member.configVersion < version) {
            others.push_back(member.gossip);
        }
    }
    std::ranges::shuffle(others, this->random);
    others.resize(std::min(others.size(), newsFanOut));
    this->membership->contact(others);
}

void ControlTask::watchVms(VmWatch::Changed changed)
{
    this->vmWatch.emplace(this->platform->vms(), this->loop, [this, changed = std::move(changed)](const ListedVmsPointer &vms) {
        if (!this->closed) {
            changed(vms);
        }
    });
    this->vmWatch->start(vmInterval);
}

void ControlTask::update(const std::function<void(Member &)> &change)
{
    this->membership->update(change);
}

void ControlTask::tellBacklog(std::uint32_t backlog, std::uint64_t models)
{
    // Each change is news to every node. What matters to the lanes is for which models there is work; how much, and how
    // urgent it is, they learn when they ask for items.
    if (!this->membership || models == this->toldModels) {
        return;
    }
    this->toldModels = models;
    this->membership->update([backlog, models](Member &member) {
        member.backlog = backlog;
        member.backlogModels = models;
    });
}

void ControlTask::leave()
{
    if (this->orders) {
        this->orders->release();
    }
    this->membership->update([](Member &member) {
        member.state = MemberState::Dead;
    });
    std::vector<Address> others;
    for (const Member &member : this->membership->view()->members()) {
        others.push_back(member.gossip);
    }
    this->membership->contact(others);
    this->sessions.close(this->self);
}

const Address &ControlTask::gossipAddress() const
{
    return this->datagrams.address();
}

void ControlTask::receive(const Datagram &datagram)
{
    if (!this->membership) {
        const auto pong = datagram.number == Pong::number ? decode<Pong>(datagram.payload) : std::nullopt;
        if (pong) {
            this->versions.setMembers(pong->members, this->self);
        }
        return;
    }
    switch (datagram.number) {
    case Ping::number:
        if (const auto ping = decode<Ping>(datagram.payload)) {
            this->membership->receive(datagram.from, *ping);
        }
        return;
    case Pong::number:
        if (const auto pong = decode<Pong>(datagram.payload)) {
            this->membership->receive(datagram.from, *pong);
        }
        return;
    case PingRequest::number:
        if (const auto request = decode<PingRequest>(datagram.payload)) {
            this->membership->receive(datagram.from, *request);
        }
        return;
    default:
        return;
    }
}

} // namespace Dogwoodkeel
