#pragma once

#include <LibBase/Clock.h>
#include <LibBase/TrafficMeter.h>
#include <LibMembership/DutyHolder.h>
#include <LibMembership/Membership.h>
#include <LibMembership/StoreReach.h>
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

/** Which nodes there are, and the ways to reach them. */
class PeerNetwork
{
public:
    struct Hooks
    {
        /** Told of the members by which duties are given, see dutyView(). */
        std::function<void(const MemberViewPointer &)> onView;
        /** A datagram that is not about membership. */
        std::function<void(const Datagram &)> onDatagram;
        /** @return a session number that no other start of a node has. */
        std::function<SessionNumber()> newSession;
    };

    /** @param traffic counts what is exchanged with other nodes */
    PeerNetwork(
        EventLoop &loop, const Clock &clock, RowStore &store, const Settings &settings, TrafficMeter &traffic, Hooks hooks);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    /** @return the number of this start of the node; it may change, see Membership::renew(). */
    SessionNumber self() const;
    MemberViewPointer view() const;

    /** @return the members by which duties are given: a loss of the store counts there only once it is no common one. */
    MemberViewPointer roleView() const;

    /** @return when the last datagram of another node came. */
    SteadyTime lastReceived() const;

    /** @return whether others have been heard within the time in which each node hears several. */
    bool isInTouch() const;

    /** @return whether the settings name other nodes. */
    bool hasSeeds() const;

    /** Tell the others whether this node follows the store's tables for them. */
    void setRelay(bool isRelay);

    /** Begin or end to follow the table of nodes, by which nodes that never met find each other. */
    void followNodes(bool isFollowing);

    /** Ask the store anew which nodes there are. */
    void refresh();

    /** Tell the others whether this node takes callers. */
    void setReady(bool isReady);

    /** Tell the others whether this node reaches the platform's store. */
    void setStoreLost(bool isLost);

    /** Tell the others which configuration this node has. */
    void setConfigurationVersion(std::uint64_t version);

    /** Tell the others that this node is leaving, and remove its row. */
    void leave();

    /** Send a datagram to each other member. */
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
    void lookForOthers();
    void readSomeNodes(const std::string &from, const std::string &to);
    void takeNodes(const std::vector<StoredRow> &rows);
    void takeNode(const StoredRow &row);
    void removeStaleRows();
    void takeView(const MemberViewPointer &view);
    void watchReach();
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
    SteadyTime received{};
    PeerServer peerServer;
    PeerClient peerClient;
    std::optional<Membership> membership;
    StoreReach reach;
    MemberViewPointer duties;
    TimerId reachTimer = 0;
    std::map<std::string, NodeRecord> known;
    std::optional<TableFollower> nodes;
    bool hasLeft = false;
    TimerId announceTimer = 0;
    TimerId cleanTimer = 0;
    TimerId lookTimer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/**
 * @return a number that names one start of a node. Drawn at random, with 63 bits: of 390 nodes that start at once two have the
 * same in one of 10^14 cases. It does not hang on the time of day, which may be wrong, or jump back between two starts.
 */
SessionNumber randomSession();

/**
 * Choose one of the members that an answer is wanted of, so that not all nodes ask the same one.
 * @return null if none is suitable
 */
const Member *
randomMember(const MemberView &view, std::minstd_rand &random, const std::function<bool(const Member &)> &isSuitable);

} // namespace Dogwoodkeel
