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
/** The row of a departed node is removed after one or two of these intervals: a node that died can't remove it itself. */
constexpr std::chrono::seconds cleanInterval{20};
constexpr std::chrono::milliseconds nodesInterval{500};
/** A node that knows no other member reads this many rows of the table of nodes at this interval. */
constexpr std::chrono::milliseconds discoveryInterval{1000};
constexpr std::size_t nodeSampleSize = 16;
/** Interval at which is checked whether a member's loss of the store has lasted long enough to count; short compared with that
 * time. */
constexpr std::chrono::milliseconds reachInterval{250};
/** How long the store may wait for a change. Nodes change rarely, and gossip reports changes much faster: the table only connects
 * nodes that have not exchanged gossip yet. */
constexpr std::chrono::milliseconds nodesFollowWait{5000};
/** Without a datagram for this time, several probe intervals of the membership, contact counts as lost. */
constexpr std::chrono::milliseconds contactTimeout{1000};
/** A tenth of the time in which an unresponsive coordinator is detected. */
constexpr std::chrono::milliseconds viewInterval{20};

PeerSecurity securityOf(const Settings &settings)
{
    return {MessageKey(settings.peers.siteKey), static_cast<std::size_t>(settings.peers.frameBytes)};
}

/** @return the seeds with the port for gossip datagrams, which is the same on all nodes. */
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
    // NOTE: The sign bit is left clear: log lines show the number as a signed one.
    constexpr std::uint64_t mask = std::numeric_limits<std::int64_t>::max();
    std::uint64_t number = 0;
    while ((number & mask) == 0) {
        if (getentropy(&number, sizeof(number)) != 0) {
            throw std::system_error(errno, std::generic_category(), "cannot draw a random session number");
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
    this->applyView(this->membership->view());
    this->membership->start(this->seeds);
    this->watchStoreReach();
    this->announce();
    this->discoverMembers();
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
    this->loop.cancel(this->discoveryTimer);
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
                this->applyView(view);
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
    // The key of the row starts with the VM's name, so the row is this node's own even if another node has the same number.
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
    return this->settledView;
}

void PeerNetwork::applyView(const MemberViewPointer &view)
{
    this->reach.update(view);
    this->settledView = this->reach.stableView();
    this->hooks.onView(this->settledView);
}

void PeerNetwork::watchStoreReach()
{
    const MemberViewPointer settled = this->reach.stableView();
    if (std::exchange(this->settledView, settled) != settled) {
        this->hooks.onView(settled);
    }
    this->reachTimer = this->loop.schedule(reachInterval, [this] {
        this->watchStoreReach();
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

bool PeerNetwork::hasRecentContact() const
{
    return this->clock.now() - this->receivedAt < contactTimeout;
}

void PeerNetwork::refresh()
{
    if (this->nodeFollower) {
        this->nodeFollower->refresh();
    }
}

void PeerNetwork::followNodes(bool isFollowing)
{
    if (isFollowing == this->nodeFollower.has_value()) {
        return;
    }
    if (!isFollowing) {
        this->nodeFollower.reset();
        this->knownNodes.clear();
        return;
    }
    this->nodeFollower.emplace(this->loop,
                               this->store,
                               stableHash(this->rowKey()),
                               TableFollower::Options{nodeTable,
                                                      [] {
                                                          return nodesFollowWait;
                                                      },
                                                      nodesInterval},
                               TableFollower::Hooks{
                                   .onSnapshot =
                                       [this](const std::vector<StoredRow> &rows) {
                                           this->applyNodes(rows);
                                       },
                                   .onChange =
                                       [this](const StoredRow &row) {
                                           this->applyNode(row);
                                       },
                               });
}

// Needed if the seeds are stale or down. A few nodes are enough: gossip then reports the remaining ones.
void PeerNetwork::discoverMembers()
{
    if (!this->nodeFollower && !this->hasLeft && this->view()->members().size() < 2) {
        this->readNodeSample(this->rowKey(), {});
    }
    this->discoveryTimer = this->loop.schedule(discoveryInterval, [this] {
        this->discoverMembers();
    });
}

void PeerNetwork::readNodeSample(const std::string &from, const std::string &to)
{
    const RowRange range{nodeTable, "", from, to, nodeSampleSize};
    this->store.read(range, [this, alive = this->alive, from](const RowRangeResult &result) {
        if (!*alive || result.outcome != ReadOutcome::Found) {
            return;
        }
        for (const StoredRow &row : result.rows) {
            this->applyNode(row);
        }
        if (result.rows.size() < nodeSampleSize && !from.empty()) {
            this->readNodeSample({}, from);
        }
    });
}

SteadyTime PeerNetwork::lastReceived() const
{
    return this->receivedAt;
}

void PeerNetwork::receive(const Datagram &datagram)
{
    if (!this->membership) {
        return;
    }
    this->receivedAt = this->clock.now();
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
        const bool isObsolete = !*alive || this->hasLeft || this->session != announced;
        if (isObsolete || result.outcome == WriteOutcome::Done) {
            return;
        }
        this->announceTimer = this->loop.schedule(announceRetry, [this] {
            this->announce();
        });
    });
}

void PeerNetwork::applyNodes(const std::vector<StoredRow> &rows)
{
    this->knownNodes.clear();
    for (const StoredRow &row : rows) {
        this->applyNode(row);
    }
}

void PeerNetwork::applyNode(const StoredRow &row)
{
    if (row.isRemoved) {
        this->knownNodes.erase(row.key.key);
        return;
    }
    const std::optional<NodeRecord> record = decode<NodeRecord>(row.value);
    if (!record) {
        log(LogLevel::Warning, "unreadable node row ignored", {{"key", row.key.key}});
        return;
    }
    if (this->nodeFollower) {
        this->knownNodes.insert_or_assign(row.key.key, *record);
    }
    const bool hasSameSession = record->session == this->session && record->gossip != this->socket.address();
    if (hasSameSession) {
        log(LogLevel::Warning, "another node has the same session number", {{"key", row.key.key}});
        this->renewSession();
    }
    if (record->session != this->session && this->membership->view()->find(record->session) == nullptr) {
        this->membership->contact({record->gossip});
    }
}

void PeerNetwork::removeStaleRows()
{
    // Only one node cleans up: the one to which a role with the name of this table is assigned.
    const MemberView &view = *this->settledView;
    if (hasRole(view, this->session, stableHash(nodeTable), RoleCandidates::Relays) && !view.isMinority()) {
        RowTransaction removal;
        std::vector<Address> unknownNodes;
        for (const auto &[key, record] : this->knownNodes) {
            const bool hasDeparted = this->membership->departedSince(record.session).has_value();
            if (record.session != this->session && view.find(record.session) == nullptr) {
                unknownNodes.push_back(record.gossip);
                if (hasDeparted) {
                    removal.removals.push_back({nodeTable, "", key});
                }
            }
        }
        this->membership->contact(unknownNodes);
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
