#include <Services/Gateway/PeerNetwork.h>

#include <LibBase/Hash.h>
#include <LibBase/Log.h>
#include <LibMembership/MembershipDatagrams.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <limits>
#include <system_error>
#include <utility>

#include <unistd.h>

namespace Dogwoodkeel
{

namespace
{

constexpr const char *nodeTable = "nodes";
constexpr std::chrono::milliseconds announceRetry{500};
/** A row of a node that nobody sees is removed after this look and the next: a node that died cannot do so itself. */
constexpr std::chrono::seconds cleanInterval{20};
constexpr std::chrono::milliseconds nodesPace{500};
/** How often a node that knows no other one looks for some, and for how many at once. */
constexpr std::chrono::milliseconds aloneLook{1000};
constexpr std::size_t nodesAtOnce = 16;
/** How often it is looked whether a member's loss of the store has stood for long enough to count; short against that time. */
constexpr std::chrono::milliseconds reachLook{250};
/** Nodes come and go rarely, and gossip tells of it much faster: the table only brings those together who never met. */
constexpr std::chrono::milliseconds nodesWait{5000};
/** Several probe intervals of the membership. */
constexpr std::chrono::milliseconds touchTime{1000};
/** A tenth of the time in which a holder of a duty is found out to be silent. */
constexpr std::chrono::milliseconds viewInterval{20};

PeerSecurity securityOf(const Settings &settings)
{
    return {MessageKey(settings.peers.siteKey), static_cast<std::size_t>(settings.peers.frameBytes)};
}

/** @return the seeds with the port at which nodes take datagrams, which is the same on all nodes. */
std::vector<Address> gossipSeeds(const Settings &settings)
{
    std::vector<Address> seeds;
    for (const Address &seed : settings.peers.seeds) {
        seeds.push_back({seed.ip, settings.listen.gossip.port});
    }
    return seeds;
}

} // namespace

SessionNumber randomSession()
{
    // NOTE: The sign is left out: log lines show the number as a signed one.
    constexpr std::uint64_t mask = std::numeric_limits<std::int64_t>::max();
    std::uint64_t number = 0;
    while ((number & mask) == 0) {
        if (getentropy(&number, sizeof(number)) != 0) {
            throw std::system_error(errno, std::generic_category(), "no random session number");
        }
    }
    return SessionNumber(number & mask);
}

PeerNetwork::PeerNetwork(
    EventLoop &loop, const Clock &clock, RowStore &store, const Settings &settings, TrafficMeter &traffic, Hooks hooks)
    : loop(loop)
    , clock(clock)
    , store(store)
    , hooks(std::move(hooks))
    , seeds(gossipSeeds(settings))
    , vm(settings.node.vm)
    , session(this->hooks.newSession())
    , socket(
          loop,
          settings.listen.gossip,
          MessageKey(settings.peers.siteKey),
          [this](const Datagram &datagram) {
              this->receive(datagram);
          },
          &traffic)
    , peerServer(loop, settings.listen.owner, securityOf(settings), &traffic)
    , peerClient(loop, securityOf(settings), std::nullopt, &traffic)
    , reach(clock)
{
    Membership::Options options;
    options.probeInterval = settings.membership.probeInterval;
    options.probeTimeout = settings.membership.probeTimeout;
    options.suspicion = settings.membership.suspicion;
    options.sessionOrder = Membership::SessionOrder::Random;
    options.viewInterval = viewInterval;
    const std::uint64_t seed = stableHash(this->rowKey());
    this->membership.emplace(clock, loop, options, this->makeMember(settings), seed, this->membershipHooks());
    this->takeView(this->membership->view());
    this->membership->start(this->seeds);
    this->watchReach();
    this->announce();
    this->lookForOthers();
    this->cleanTimer = loop.schedule(cleanInterval, [this] {
        this->removeStaleRows();
    });
}

PeerNetwork::~PeerNetwork()
{
    *this->alive = false;
    this->loop.cancel(this->announceTimer);
    this->loop.cancel(this->cleanTimer);
    this->loop.cancel(this->reachTimer);
    this->loop.cancel(this->lookTimer);
}

Member PeerNetwork::makeMember(const Settings &settings) const
{
    Member member;
    member.session = this->session;
    member.vm = VmName(settings.node.vm);
    member.failureDomain = FailureDomain(settings.node.failureDomain);
    member.http = settings.listen.http;
    member.owner = this->peerServer.address();
    member.gossip = this->socket.address();
    member.processorShare = static_cast<std::uint32_t>(std::lround(settings.gateway.processorShare * 100));
    return member;
}

Membership::Hooks PeerNetwork::membershipHooks()
{
    const auto send = [this](const Address &to, const auto &message) {
        this->socket.send(to, message);
    };
    return {
        .sendPing = send,
        .sendPong = send,
        .sendPingRequest = send,
        .sendPull = send,
        .sendPush = send,
        .onChange =
            [this](const MemberViewPointer &view) {
                this->takeView(view);
            },
        .onLeavingVms = [](const std::vector<VmName> &) {},
        .onSessionLost =
            [this] {
                this->renewSession();
            },
    };
}

void PeerNetwork::renewSession()
{
    if (this->hasLeft) {
        return;
    }
    this->loop.cancel(std::exchange(this->announceTimer, 0));
    // The row has the VM's name before the number, so it is this node's own also where another one has the same number.
    this->removeRow();
    this->session = this->hooks.newSession();
    this->membership->renew(this->session);
    this->announce();
}

std::string PeerNetwork::rowKey() const
{
    return this->vm + "/" + std::to_string(this->session.value());
}

SessionNumber PeerNetwork::self() const
{
    return this->session;
}

MemberViewPointer PeerNetwork::view() const
{
    return this->membership->view();
}

MemberViewPointer PeerNetwork::roleView() const
{
    return this->duties;
}

void PeerNetwork::takeView(const MemberViewPointer &view)
{
    this->reach.update(view);
    this->duties = this->reach.settled();
    this->hooks.onView(this->duties);
}

void PeerNetwork::watchReach()
{
    const MemberViewPointer settled = this->reach.settled();
    if (std::exchange(this->duties, settled) != settled) {
        this->hooks.onView(settled);
    }
    this->reachTimer = this->loop.schedule(reachLook, [this] {
        this->watchReach();
    });
}

void PeerNetwork::setReady(bool isReady)
{
    this->membership->update([isReady](Member &member) {
        member.isReady = isReady;
    });
}

void PeerNetwork::setStoreLost(bool isLost)
{
    this->membership->update([isLost](Member &member) {
        member.hasLostStore = isLost;
    });
}

void PeerNetwork::setRelay(bool isRelay)
{
    this->membership->update([isRelay](Member &member) {
        member.isRelay = isRelay;
    });
}

void PeerNetwork::setConfigurationVersion(std::uint64_t version)
{
    this->membership->update([version](Member &member) {
        member.configVersion = version;
    });
}

void PeerNetwork::leave()
{
    this->hasLeft = true;
    this->loop.cancel(this->announceTimer);
    this->membership->update([](Member &member) {
        member.isReady = false;
        member.isLeaving = true;
    });
    this->removeRow();
}

void PeerNetwork::removeRow()
{
    RowTransaction removal;
    removal.removals.push_back({nodeTable, "", this->rowKey()});
    this->store.transact(std::move(removal), [](const RowTransactionResult &result) {
        log(LogLevel::Info, "node row removed", {{"outcome", static_cast<std::int64_t>(result.outcome)}});
    });
}

DatagramSocket &PeerNetwork::datagrams()
{
    return this->socket;
}

PeerServer &PeerNetwork::server()
{
    return this->peerServer;
}

PeerClient &PeerNetwork::client()
{
    return this->peerClient;
}

bool PeerNetwork::hasSeeds() const
{
    return std::ranges::any_of(this->seeds, [this](const Address &seed) {
        return seed != this->socket.address();
    });
}

bool PeerNetwork::isInTouch() const
{
    return this->clock.now() - this->received < touchTime;
}

void PeerNetwork::refresh()
{
    if (this->nodes) {
        this->nodes->refresh();
    }
}

void PeerNetwork::followNodes(bool isFollowing)
{
    if (isFollowing == this->nodes.has_value()) {
        return;
    }
    if (!isFollowing) {
        this->nodes.reset();
        this->known.clear();
        return;
    }
    this->nodes.emplace(this->loop,
                        this->store,
                        stableHash(this->rowKey()),
                        TableFollower::Options{nodeTable,
                                               [] {
                                                   return nodesWait;
                                               },
                                               nodesPace},
                        TableFollower::Hooks{
                            .onSnapshot =
                                [this](const std::vector<StoredRow> &rows) {
                                    this->takeNodes(rows);
                                },
                            .onChange =
                                [this](const StoredRow &row) {
                                    this->takeNode(row);
                                },
                        });
}

// The seeds may be stale or down. A few other nodes are enough: gossip tells of the rest.
void PeerNetwork::lookForOthers()
{
    if (!this->nodes && !this->hasLeft && this->view()->members().size() < 2) {
        this->readSomeNodes(this->rowKey(), {});
    }
    this->lookTimer = this->loop.schedule(aloneLook, [this] {
        this->lookForOthers();
    });
}

void PeerNetwork::readSomeNodes(const std::string &from, const std::string &to)
{
    const RowRange range{nodeTable, "", from, to, nodesAtOnce};
    this->store.read(range, [this, alive = this->alive, from](const RowRangeResult &result) {
        if (!*alive || result.outcome != ReadOutcome::Found) {
            return;
        }
        for (const StoredRow &row : result.rows) {
            this->takeNode(row);
        }
        if (result.rows.size() < nodesAtOnce && !from.empty()) {
            this->readSomeNodes({}, from);
        }
    });
}

SteadyTime PeerNetwork::lastReceived() const
{
    return this->received;
}

void PeerNetwork::receive(const Datagram &datagram)
{
    if (!this->membership) {
        return;
    }
    this->received = this->clock.now();
    if (!receiveDatagram(*this->membership, datagram)) {
        this->hooks.onDatagram(datagram);
    }
}

void PeerNetwork::announce()
{
    RowTransaction put;
    put.puts.push_back({{nodeTable, "", this->rowKey()}, encode(NodeRecord{this->session, this->socket.address()})});
    const SessionNumber announced = this->session;
    this->store.transact(std::move(put), [this, announced, alive = this->alive](const RowTransactionResult &result) {
        const bool isOver = !*alive || this->hasLeft || this->session != announced;
        if (isOver || result.outcome == WriteOutcome::Done) {
            return;
        }
        this->announceTimer = this->loop.schedule(announceRetry, [this] {
            this->announce();
        });
    });
}

void PeerNetwork::takeNodes(const std::vector<StoredRow> &rows)
{
    this->known.clear();
    for (const StoredRow &row : rows) {
        this->takeNode(row);
    }
}

void PeerNetwork::takeNode(const StoredRow &row)
{
    if (row.isRemoved) {
        this->known.erase(row.place.key);
        return;
    }
    const std::optional<NodeRecord> record = decode<NodeRecord>(row.value);
    if (!record) {
        log(LogLevel::Warning, "unreadable node row", {{"key", row.place.key}});
        return;
    }
    if (this->nodes) {
        this->known.insert_or_assign(row.place.key, *record);
    }
    const bool isNamesake = record->session == this->session && record->gossip != this->socket.address();
    if (isNamesake) {
        log(LogLevel::Warning, "another node has the same session number", {{"key", row.place.key}});
        this->renewSession();
    }
    if (record->session != this->session && this->membership->view()->find(record->session) == nullptr) {
        this->membership->contact({record->gossip});
    }
}

void PeerNetwork::removeStaleRows()
{
    // One node cleans: the one that would also have any other duty of this name.
    const MemberView &view = *this->duties;
    if (hasDuty(view, this->session, stableHash(nodeTable), DutyFor::Relays) && !view.isMinority()) {
        RowTransaction removal;
        std::vector<Address> strangers;
        for (const auto &[key, record] : this->known) {
            const bool isGone = this->membership->goneSince(record.session).has_value();
            if (record.session != this->session && view.find(record.session) == nullptr) {
                strangers.push_back(record.gossip);
                if (isGone) {
                    removal.removals.push_back({nodeTable, "", key});
                }
            }
        }
        this->membership->contact(strangers);
        if (!removal.removals.empty()) {
            const auto count = static_cast<std::int64_t>(removal.removals.size());
            this->store.transact(std::move(removal), [count](const RowTransactionResult &result) {
                log(LogLevel::Info,
                    "rows of dead nodes removed",
                    {{"rows", count}, {"outcome", static_cast<std::int64_t>(result.outcome)}});
            });
        }
    }
    this->cleanTimer = this->loop.schedule(cleanInterval, [this] {
        this->removeStaleRows();
    });
}

const Member *
randomMember(const MemberView &view, std::minstd_rand &random, const std::function<bool(const Member &)> &isSuitable)
{
    std::vector<const Member *> suitable;
    for (const Member &member : view.members()) {
        if (isSuitable(member)) {
            suitable.push_back(&member);
        }
    }
    if (suitable.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> choice(0, suitable.size() - 1);
    return suitable[choice(random)];
}

} // namespace Dogwoodkeel
