#pragma once

#include <LibBase/Clock.h>
#include <LibBase/TrafficMeter.h>
#include <LibMembership/Membership.h>
#include <LibMembership/RoleAssignment.h>
#include <LibMembership/StoreReachability.h>
#include <LibPlatform/RowStore.h>
#include <LibSettings/Generated/Settings.h>
#include <LibTask/EventLoop.h>
#include <LibWire/DatagramSocket.h>
#include <LibWire/PeerClient.h>
#include <LibWire/PeerServer.h>
#include <Services/Gateway/TableFollower.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace Dogwoodkeel
{

/**
 * Keeps the membership of this node: its session, its row in the store's table of nodes, and the members it knows. Owns the
 * datagram socket, the server and the client through which nodes communicate.
 */
class PeerNetwork
{
public:
    struct Hooks
    {
        /** Called with the members by which roles are assigned, see roleView(). */
        std::function<void(const MemberViewPointer &)> onView;
        /** Called for each datagram that does not belong to the membership protocol. */
        std::function<void(const Datagram &)> onDatagram;
        /** @return a session number that is unique among all starts of all nodes. */
        std::function<SessionNumber()> newSession;
    };

    /** @param traffic counts the messages exchanged with other nodes */
    PeerNetwork(
        EventLoop &loop, const Clock &clock, RowStore &store, const Settings &settings, TrafficMeter &traffic, Hooks hooks);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    /** @return the session number of this start of the node; it may change, see Membership::renew(). */
    SessionNumber self() const;
    MemberViewPointer view() const;

    /**
     * @return the members by which roles are assigned. A member's loss of the store counts there only once it has lasted for some
     * time while most members reach the store, see StoreReachability.
     */
    MemberViewPointer roleView() const;

    /** @return when the last datagram from another node arrived. */
    SteadyTime lastReceived() const;

    /** @return whether a datagram from another node arrived within a time in which a connected node receives several. */
    bool hasRecentContact() const;

    /** @return whether the settings name other nodes. */
    bool hasSeeds() const;

    /** Publishes to the other nodes whether this node follows the store's tables for them. */
    void setRelay(bool isRelay);

    /** Starts or stops following the table of nodes, through which nodes discover members that gossip does not reach. */
    void followNodes(bool isFollowing);

    /** Queries the table of nodes again without delay. */
    void refresh();

    /** Publishes to the other nodes whether this node is ready for callers. */
    void setReady(bool isReady);

    /** Publishes to the other nodes whether this node has lost the platform's store. */
    void setStoreLost(bool isLost);

    /** Publishes to the other nodes the version of the configuration in force here. */
    void setConfigurationVersion(std::uint64_t version);

    /** Publishes to the other nodes that this node is leaving, and removes its row from the store. */
    void leave();

    /** Sends a datagram to each other member. */
    template <typename Message>
    void broadcast(const Message &message)
    {
        const MemberViewPointer members = this->view();
        for (const Member &member : members->members()) {
            if (member.session != this->self()) {
                this->socket.send(member.gossip, message);
            }
        }
    }

    DatagramSocket &datagrams();
    PeerServer &server();
    PeerClient &client();

private:
    void receive(const Datagram &datagram);
    void announce();
    void removeRow();
    void renewSession();
    std::string rowKey() const;
    void discoverMembers();
    void readNodeSample(const std::string &from, const std::string &to);
    void applyNodes(const std::vector<StoredRow> &rows);
    void applyNode(const StoredRow &row);
    void removeStaleRows();
    void applyView(const MemberViewPointer &view);
    void watchStoreReach();
    Member makeMember(const Settings &settings) const;
    Membership::Hooks membershipHooks();

    EventLoop &loop;
    const Clock &clock;
    RowStore &store;
    Hooks hooks;
    std::vector<Address> seeds;
    std::string vm;
    SessionNumber session;
    DatagramSocket socket;
    SteadyTime receivedAt{};
    PeerServer peerServer;
    PeerClient peerClient;
    std::optional<Membership> membership;
    StoreReachability reach;
    MemberViewPointer settledView;
    TimerId reachTimer = 0;
    std::map<std::string, NodeRecord> knownNodes;
    std::optional<TableFollower> nodeFollower;
    bool hasLeft = false;
    TimerId announceTimer = 0;
    TimerId cleanTimer = 0;
    TimerId discoveryTimer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/**
 * @return a random number of 63 bits that identifies one start of a node. Among 390 nodes that start at once, two draw the same
 * number with a probability of 1 in 10^14. It does not depend on the time of day, which may be wrong or be set back between two
 * starts.
 */
SessionNumber randomSession();

/**
 * Selects one suitable member at random, so that not all nodes send their requests to the same one.
 * @return null if none is suitable
 */
const Member *
randomMember(const MemberView &view, std::minstd_rand &random, const std::function<bool(const Member &)> &isSuitable);

} // namespace Dogwoodkeel
