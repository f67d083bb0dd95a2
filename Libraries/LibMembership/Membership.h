#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>
#include <LibMembership/LocalHealth.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/MemberView.h>
#include <LibMembership/Suspicion.h>
#include <LibMembership/UpdateQueue.h>
#include <LibWire/Generated/Messages.h>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Maintains the list of nodes by probing and gossip over datagrams (after SWIM: Das, Gupta, Motivala, 2002, and Lifeguard:
 * Dadgar, Phillips, Currey, 2018).
 *
 * Each node probes one member per interval, whatever the number of members, so that each member is probed about once per
 * interval by some node. An update is sent a bounded number of times; nodes that missed it find the difference by comparing
 * digests. A member that does not answer is probed through others before it is suspected. Others are asked to confirm the
 * suspicion, and the member has time to refute it before it is declared dead. A node that detects that it was paused or
 * receives nothing does not suspect others.
 *
 * NOTE: The list is a hint, and nothing durable depends on its accuracy. The rows of the platform decide which node owns a
 * shard, and the seal of a journal fences an owner that was declared dead by mistake.
 */
class Membership
{
public:
    /** What the order of the numbers of two sessions at one address means. */
    enum class SessionOrder : std::uint8_t {
        /** The lower one has ended: a row of the platform counts the sessions of a VM. */
        Ascending,
        /** Nothing, because the numbers are random: the session that answers at the address is alive. */
        Random,
    };

    /** Timing and sizes. */
    struct Options
    {
        SessionOrder sessionOrder = SessionOrder::Ascending;
        /** Time between two probes in a fleet of up to scalingThreshold nodes; it grows in proportion in a larger one. */
        std::chrono::milliseconds probeInterval{200};
        /** Upper limit of the interval. */
        std::chrono::milliseconds maxProbeInterval{500};
        std::size_t scalingThreshold = 64;
        std::chrono::milliseconds probeTimeout{100};
        /** How long a suspected member has to refute the suspicion if others confirm that it does not answer. */
        std::chrono::milliseconds suspicion{1000};
        /** Number of members that are asked to probe on behalf of this node, and to confirm a suspicion. */
        std::size_t indirectProbers = 3;
        /** How long dead members are kept, so that late gossip cannot restore them. */
        std::chrono::milliseconds deadRetention{3600000};
        /**
         * Minimum time between two views, plus the same for each hundred members. The cost of a view is proportional to the
         * number of members, and while a whole fleet starts, each member causes a change. The first change after a pause is
         * published at once.
         */
        std::chrono::milliseconds viewInterval{0};
    };

    /** Functions that send datagrams and receive notifications of changes. */
    struct Hooks
    {
        std::function<void(const Address &, const Ping &)> sendPing;
        std::function<void(const Address &, const Pong &)> sendPong;
        std::function<void(const Address &, const PingRequest &)> sendPingRequest;
        std::function<void(const Address &, const MembersPull &)> sendPull;
        std::function<void(const Address &, const MembersPush &)> sendPush;
        std::function<void(MemberViewPointer)> onChange;
        /** Called with VMs that the platform is about to remove, as other nodes found them on its list. */
        std::function<void(const std::vector<VmName> &)> onLeavingVms;
        /** Called if this node needs another session number, see renew(); may be empty if a number can't be lost. */
        std::function<void()> onSessionLost;
    };

    Membership(const Clock &clock, Scheduler &scheduler, Options options, Member self, std::uint64_t seed, Hooks hooks);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    /** Starts probing. @param contacts gossip addresses of nodes to contact first */
    void start(const std::vector<Address> &contacts);

    /** Probes addresses that may have a member, in order to join or to reconnect after a partition. */
    void contact(const std::vector<Address> &addresses);

    void receive(const Address &from, const Ping &ping);
    void receive(const Address &from, const Pong &pong);
    void receive(const Address &from, const PingRequest &request);
    void receive(const Address &from, const MembersPull &pull);
    void receive(const Address &from, const MembersPush &push);

    /** Changes the description of this node and publishes the change to the other members. */
    void update(const std::function<void(Member &)> &change);

    /** Notifies other members that this session has ended, and stops probing. */
    void leave();

    /**
     * Continues under another session number. A number is lost if another node uses the same one, because each would apply the
     * other's updates to itself. It is also lost if the other members regard it as ended, because they would ignore further
     * updates of it.
     */
    void renew(SessionNumber next);

    /** Notifies the other members of VMs that the platform is about to remove. */
    void reportLeaving(const std::vector<VmName> &vms);

    MemberViewPointer view() const;

    /** @return the time in which an update most likely reaches every node. */
    std::chrono::milliseconds spreadTime() const;

    /** @return whether gossip was received from any other member. */
    bool hasReceivedFromOthers() const;

    /** @return since when a session has been dead or left; nothing if it is not known to be. */
    std::optional<SteadyTime> departedSince(SessionNumber session) const;

private:
    /** A probe that has not been answered yet. */
    struct Probe
    {
        SessionNumber target;
        SteadyTime started{};
        /** When its timer is due. */
        SteadyTime due{};
        TimerId timer = 0;
    };

    /** A probe sent on behalf of another member. */
    struct ForwardedProbe
    {
        Address requester;
        std::uint64_t sequence = 0;
    };

    /** A member under suspicion. */
    struct Suspected
    {
        Suspicion suspicion;
        SteadyTime due{};
        TimerId timer = 0;
    };

    void tick();
    std::chrono::milliseconds interval() const;
    std::chrono::milliseconds probeTimeout() const;
    std::uint32_t transmissions() const;
    bool wasPaused(SteadyTime due);
    bool isLikelyCutOff() const;
    bool isLikelyLastMember() const;
    SessionNumber nextTarget();
    void reconnect();

    void probe(SessionNumber target);
    void probeIndirectly(std::uint64_t sequence);
    void probeFailed(std::uint64_t sequence);
    bool isProbing(SessionNumber target) const;
    std::vector<const Member *> indirectProbersFor(SessionNumber target);
    std::vector<const Member *> confirmersOf(SessionNumber target) const;

    void suspect(SessionNumber target);
    void startSuspicion(const MemberUpdate &memberUpdate);
    void notifyConfirmers(SessionNumber target);
    void scheduleDeath(SessionNumber target);
    void expire(SessionNumber target);
    void stopSuspicion(SessionNumber target);

    void receiveGossip(SessionNumber session, const Gossip &gossip);
    void compare(const Address &with, std::uint32_t digest);
    std::vector<MembersPush> answerTo(const MembersPull &pull) const;
    void notifyIfSuspected(SessionNumber session);
    void apply(const Member &reported);
    void apply(const MemberUpdate &reported);
    void apply(const MemberLoad &reported);
    void applyLeaving(const std::vector<VmName> &vms);
    void supersede(const Member &newcomer);
    void endReplacedSession(SessionNumber answered, SessionNumber expected);
    void handleDuplicateSession(const Address &from, const Ping &ping);
    void refute(const MemberUpdate &memberUpdate);
    void loseSession(std::string_view reason);
    Gossip gossipFor(SessionNumber receiver);
    MemberUpdate updateToSend(const Member &member) const;
    void publish();
    bool isViewDue();
    bool isMinority() const;

    const Clock &clock;
    Scheduler &scheduler;
    Options options;
    SessionNumber self;
    Hooks hooks;
    std::mt19937_64 random;
    MemberTable table;
    LocalHealth health;
    UpdateQueue<SessionNumber> changedMembers;
    UpdateQueue<SessionNumber> newMembers;
    UpdateQueue<SessionNumber> changedLoads;
    UpdateQueue<VmName> leavingVms;
    std::map<VmName, SteadyTime> leavingSince;
    std::map<SessionNumber, Suspected> suspected;
    std::map<SessionNumber, SessionNumber> lastSuspectingMember;
    std::map<SessionNumber, SteadyTime> notifiedAt;
    std::map<std::uint64_t, Probe> probes;
    std::map<std::uint64_t, ForwardedProbe> forwardedProbes;
    std::vector<SessionNumber> round;
    std::vector<Address> contacts;
    std::uint64_t lastSequence = 0;
    TimerId timer = 0;
    SteadyTime publishedAt{};
    TimerId publishTimer = 0;
    SteadyTime tickDue{};
    SteadyTime lastReceived{};
    SteadyTime nextPull{};
    SteadyTime nextReconnect{};
    bool hasReceived = false;
    bool hasLeft = false;
    bool hasChanged = false;
    MemberViewPointer currentView;
};

} // namespace Dogwoodkeel
