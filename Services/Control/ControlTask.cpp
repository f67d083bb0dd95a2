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

constexpr std::chrono::milliseconds minContactInterval{5000};
constexpr std::chrono::milliseconds contactIntervalPerNode{1500};
constexpr std::chrono::milliseconds contactRetry{200};
/** Members contacted at once about a new configuration; each contacts as many. Gossip alone takes a probe per step. */
constexpr std::size_t updateFanOut = 4;
constexpr std::chrono::milliseconds vmInterval{1000};
/** How long the row of an unknown session is kept. Must be longer than regions are cut off from each other. */
constexpr std::chrono::minutes rowRetention{15};
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
                   this->publishConfiguration(version);
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
                this->checkMembersKnown(false);
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
    if (!std::exchange(this->isContacting, true)) {
        this->contactOthers();
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
    // The members known to the former session are contacted first, as they are likely to be alive.
    std::vector<Address> others;
    for (const Member &member : this->membership->view()->members()) {
        others.push_back(member.gossip);
    }
    this->reportedModels = 0;
    this->join(std::move(self), this->onChange);
    this->membership->contact(others);
}

void ControlTask::contactOthers()
{
    // Nodes that were cut off from each other for longer than dead members are kept would never find each other again by
    // gossip alone. The platform's rows and the seeds contain their addresses.
    this->membership->contact(this->settings->peers.seeds);
    this->sessions.list([this](const std::optional<std::vector<SessionRegistry::Listed>> &listed) {
        std::vector<Address> unknownMembers;
        for (const SessionRegistry::Listed &session : listed.value_or(std::vector<SessionRegistry::Listed>())) {
            if (session.number != this->self && this->membership->view()->find(session.number) == nullptr) {
                unknownMembers.push_back(session.row.gossip);
            }
        }
        this->membership->contact(unknownMembers);
        if (listed) {
            this->checkMembersKnown(unknownMembers.empty());
            // The rows may all belong to dead nodes, which never answer.
            this->loop.schedule(this->settings->membership.suspicion, [this] {
                this->checkMembersKnown(true);
            });
            this->removeStaleRows(*listed);
        }
        this->loop.schedule(listed ? this->contactInterval : contactRetry, [this] {
            this->contactOthers();
        });
    });
}

void ControlTask::awaitMembers(std::function<void()> membersKnown)
{
    this->membersKnown = std::move(membersKnown);
    this->checkMembersKnown(false);
}

void ControlTask::checkMembersKnown(bool isAlone)
{
    if (!this->membersKnown || !this->membership) {
        return;
    }
    if (this->membership->view()->members().size() > 1 || isAlone) {
        std::exchange(this->membersKnown, nullptr)();
    }
}

void ControlTask::removeStaleRows(const std::vector<SessionRegistry::Listed> &listed)
{
    // A node that dies leaves its row behind. Without removal, more than a hundred rows would be added per day, and every
    // starting node would write to all these addresses. Removing a row by mistake does no harm: gossip continues, and the
    // node writes its row again.
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
        const bool isLocal = cleaner != nullptr && cleaner->session == this->self;
        if (isLocal && now - since >= rowRetention && !view.isMinority()) {
            log(LogLevel::Info, "session row removed", {{"session", static_cast<std::int64_t>(row.number.value())}});
            this->sessions.close(row.number);
        }
    }
    this->unknownRows = std::move(unknown);
    if (!isOwnListed) {
        this->sessions.restore(this->self);
    }
}

void ControlTask::contactSeeds()
{
    // A starting node gets from the seeds the peers that it can query for the configuration if the platform does not answer.
    if (this->membership || this->closed) {
        return;
    }
    for (const Address &seed : this->settings->peers.seeds) {
        this->datagrams.send(seed, MembersPull{this->self, std::vector<std::uint32_t>(MemberTable::parts, 0)});
    }
    this->loop.schedule(contactRetry, [this] {
        this->contactSeeds();
    });
}

void ControlTask::learnConfiguration(std::function<void(SettingsPointer)> learnt)
{
    this->versions.learn(std::move(learnt));
    this->contactSeeds();
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

void ControlTask::publishConfiguration(std::uint64_t version)
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
    others.resize(std::min(others.size(), updateFanOut));
    this->membership->contact(others);
}

void ControlTask::watchVms(VmWatch::Changed changed)
{
    this->vmWatch.emplace(
        this->platform->vms(), this->loop, [this, changed = std::move(changed)](const ListedVmsPointer &listed) {
            this->reportLeavingVms(*listed);
            if (!this->closed) {
                changed(listed);
            }
        });
    this->vmWatch->start(vmInterval);
}

void ControlTask::reportLeavingVms(const std::vector<ListedVm> &listed)
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
    // All nodes together read the platform's lists at a rate that does not grow with their number. A node that finds a
    // leaving VM in the list reports it to the others.
    const auto count = static_cast<std::int64_t>(nodes);
    this->contactInterval = std::max(minContactInterval, contactIntervalPerNode * count);
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

void ControlTask::publishPressure(std::uint32_t pressure)
{
    if (!this->membership || pressure == this->reportedPressure) {
        return;
    }
    this->reportedPressure = pressure;
    this->membership->update([pressure](Member &member) {
        member.pressure = pressure;
    });
}

void ControlTask::publishBacklog(std::uint32_t backlog, std::uint64_t models)
{
    // Each change is sent to every node. Lanes only need the models that have a backlog; they get its size and urgency
    // when they pull items.
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
