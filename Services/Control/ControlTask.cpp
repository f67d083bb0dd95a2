#include <Services/Control/ControlTask.h>

#include <LibBase/Log.h>
#include <LibMembership/MembershipDatagrams.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <random>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds shortestMeetInterval{5000};
constexpr std::chrono::milliseconds meetIntervalPerNode{1500};
constexpr std::chrono::milliseconds meetRetry{200};
/** Members told of a new configuration at once, each of which tells as many: gossip alone takes a probe a step. */
constexpr std::size_t newsFanOut = 4;
constexpr std::chrono::milliseconds vmInterval{1000};
/** How long the row of a session that nobody hears of is kept: longer than regions lose each other. */
constexpr std::chrono::minutes rowKept{15};
constexpr std::chrono::milliseconds vmIntervalPerNode{500};

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
        .sendPull =
            [this](const Address &to, const MembersPull &pull) {
                this->datagrams.send(to, pull);
            },
        .sendPush =
            [this](const Address &to, const MembersPush &push) {
                this->datagrams.send(to, push);
            },
        .onChange =
            [this](const MemberViewPointer &view) {
                if (this->closed) {
                    return;
                }
                this->followFleetSize(view->members().size());
                this->versions.setMembers(view->members(), this->self);
                if (this->orders) {
                    this->orders->setView(*view);
                }
                this->onChange(view);
                this->checkMet(false);
            },
        .onLeavingVms =
            [this](const std::vector<VmName> &vms) {
                if (this->vmWatch) {
                    this->vmWatch->markLeaving(vms);
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
    this->reportedModels = 0;
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
        if (listed) {
            this->checkMet(strangers.empty());
            // Rows alone may be those of nodes that died: nobody behind them answers.
            this->loop.schedule(this->settings->membership.suspicion, [this] {
                this->checkMet(true);
            });
            this->cleanRows(*listed);
        }
        this->loop.schedule(listed ? this->meetInterval : meetRetry, [this] {
            this->meetOthers();
        });
    });
}

void ControlTask::awaitMembers(std::function<void()> met)
{
    this->met = std::move(met);
    this->checkMet(false);
}

void ControlTask::checkMet(bool isAlone)
{
    if (!this->met || !this->membership) {
        return;
    }
    if (this->membership->view()->members().size() > 1 || isAlone) {
        std::exchange(this->met, nullptr)();
    }
}

void ControlTask::cleanRows(const std::vector<SessionRegistry::Listed> &listed)
{
    // A node that dies leaves its row behind. Were nobody to remove it, the rows would grow by more than a hundred a day,
    // and every start would write to all those addresses. Removed by mistake, a row does no harm: gossip goes on, and its
    // node writes it again.
    const MemberView &view = *this->membership->view();
    const SteadyTime now = this->clock.now();
    bool isOwnListed = false;
    std::map<SessionNumber, SteadyTime> unknown;
    for (const SessionRegistry::Listed &row : listed) {
        isOwnListed = isOwnListed || row.number == this->self;
        if (row.number == this->self || view.find(row.number) != nullptr) {
            continue;
        }
        const auto before = this->unknownRows.find(row.number);
        const SteadyTime since = before != this->unknownRows.end() ? before->second : now;
        unknown[row.number] = since;
        const Member *const cleaner = view.ownerOf(row.number.value());
        const bool isOurs = cleaner != nullptr && cleaner->session == this->self;
        if (isOurs && now - since >= rowKept && !view.isMinority()) {
            log(LogLevel::Info, "session row removed", {{"session", static_cast<std::int64_t>(row.number.value())}});
            this->sessions.close(row.number);
        }
    }
    this->unknownRows = std::move(unknown);
    if (!isOwnListed) {
        this->sessions.restore(this->self);
    }
}

void ControlTask::meetBeforeJoining()
{
    // A starting node learns from the seeds whom to ask for the configuration, in case the platform does not answer.
    if (this->membership || this->closed) {
        return;
    }
    for (const Address &seed : this->settings->peers.seeds) {
        this->datagrams.send(seed, MembersPull{this->self, std::vector<std::uint32_t>(MemberTable::parts, 0)});
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
    this->vmWatch.emplace(
        this->platform->vms(), this->loop, [this, changed = std::move(changed)](const ListedVmsPointer &listed) {
            this->tellLeaving(*listed);
            if (!this->closed) {
                changed(listed);
            }
        });
    this->vmWatch->start(vmInterval);
}

void ControlTask::tellLeaving(const std::vector<ListedVm> &listed)
{
    std::vector<VmName> leaving;
    for (const ListedVm &vm : listed) {
        if (vm.isLeaving) {
            leaving.push_back(vm.name);
        }
    }
    if (this->membership) {
        this->membership->reportLeaving(leaving);
    }
}

void ControlTask::followFleetSize(std::size_t nodes)
{
    // All nodes together read the platform's lists at a rate that does not grow with their number; what one of them finds
    // on the list of VMs it tells the others.
    const auto count = static_cast<std::int64_t>(nodes);
    this->meetInterval = std::max(shortestMeetInterval, meetIntervalPerNode * count);
    if (this->vmWatch) {
        this->vmWatch->setInterval(std::max(vmInterval, vmIntervalPerNode * count));
    }
}

void ControlTask::update(const std::function<void(Member &)> &change)
{
    this->membership->update(change);
}

std::chrono::milliseconds ControlTask::spreadTime() const
{
    return this->membership->spreadTime();
}

void ControlTask::tellPressure(std::uint32_t pressure)
{
    if (!this->membership || pressure == this->reportedPressure) {
        return;
    }
    this->reportedPressure = pressure;
    this->membership->update([pressure](Member &member) {
        member.pressure = pressure;
    });
}

void ControlTask::tellBacklog(std::uint32_t backlog, std::uint64_t models)
{
    // Each change is news to every node. What matters to the lanes is for which models there is work; how much, and how
    // urgent it is, they learn when they ask for items.
    if (!this->membership || models == this->reportedModels) {
        return;
    }
    this->reportedModels = models;
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
    this->membership->leave();
    this->sessions.close(this->self);
}

const Address &ControlTask::gossipAddress() const
{
    return this->datagrams.address();
}

void ControlTask::receive(const Datagram &datagram)
{
    if (!this->membership) {
        const auto push = datagram.number == MembersPush::number ? decode<MembersPush>(datagram.payload) : std::nullopt;
        if (push) {
            this->versions.setMembers(push->members, this->self);
        }
        return;
    }
    receiveDatagram(*this->membership, datagram);
}

} // namespace Dogwoodkeel
