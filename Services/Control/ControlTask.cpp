#include <Services/Control/ControlTask.h>

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
constexpr std::chrono::milliseconds vmInterval{1000};
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
                         const PeerSecurity &security,
                         const PlatformFactory &makePlatform)
    : loop(loop)
    , clock(clock)
    , settings(settings)
    , platform(makePlatform(loop))
    , sessions(*this->platform, loop)
    , datagrams(loop, settings->listen.gossip, security.siteKey, [this](const Datagram &datagram) {
        this->receive(datagram);
    })
{
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
                this->followFleetSize(view->members().size());
                this->onChange(view);
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
    Member self = this->joined;
    self.session = this->self;
    // The former session's members are asked first: they are likely to be there still.
    std::vector<Address> others;
    for (const Member &member : this->membership->view()->members()) {
        others.push_back(member.gossip);
    }
    this->toldBacklog = 0;
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
        this->loop.schedule(listed ? this->meetInterval : meetRetry, [this] {
            this->meetOthers();
        });
    });
}

void ControlTask::watchVms(VmWatch::Changed changed)
{
    this->vmWatch.emplace(
        this->platform->vms(), this->loop, [this, changed = std::move(changed)](const ListedVmsPointer &listed) {
            this->tellLeaving(*listed);
            changed(listed);
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
        this->membership->tellLeaving(leaving);
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

void ControlTask::tellBacklog(std::uint32_t backlog)
{
    // Each change is news to every node. What matters to the lanes is whether there is work, and roughly how much.
    const std::uint32_t step = this->toldBacklog / 2;
    const bool isClose = backlog + step >= this->toldBacklog && backlog <= this->toldBacklog + step;
    const bool sameSign = (backlog == 0) == (this->toldBacklog == 0);
    if (!this->membership || (isClose && sameSign)) {
        return;
    }
    this->toldBacklog = backlog;
    this->membership->update([backlog](Member &member) {
        member.backlog = backlog;
    });
}

void ControlTask::leave()
{
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
    case MembersPull::number:
        if (const auto pull = decode<MembersPull>(datagram.payload)) {
            this->membership->receive(datagram.from, *pull);
        }
        return;
    case MembersPush::number:
        if (const auto push = decode<MembersPush>(datagram.payload)) {
            this->membership->receive(datagram.from, *push);
        }
        return;
    default:
        return;
    }
}

} // namespace Dogwoodkeel
