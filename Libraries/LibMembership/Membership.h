#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>
#include <LibMembership/LocalHealth.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/MemberView.h>
#include <LibMembership/UpdateQueue.h>
#include <LibMembership/Suspicion.h>
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
 * Knows which nodes there are, by probing and gossip over datagrams (after SWIM: Das, Gupta, Motivala, 2002, and
 * Lifeguard: Dadgar, Phillips, Currey, 2018).
 *
 * Each node probes one member an interval, whatever their number, so that each member is probed about once an interval
 * by someone. News is told a bounded number of times; what it missed is found by comparing digests. A member that does
 * not answer is probed through others before it is suspected, others are asked to confirm, and it has time to refute
 * before it counts as dead. A node that finds itself paused or deaf accuses nobody.
 *
 * NOTE: What this class says is a hint. Nothing durable depends on it being right: who owns a shard is decided by the
 * platform's rows, and a journal's seal fences an owner that was held dead by mistake.
 */
class Membership
{
public:
    /** What the numbers of two sessions at one address tell. */
    enum class SessionOrder : std::uint8_t {
        /** The lower one is over: a row of the platform counts the sessions of a VM. */
        Ascending,
        /** Nothing, since they are drawn at random: the one that answers at the address lives. */
        Random,
    };

    /** Timing and sizes. */
    struct Options
    {
        SessionOrder sessionOrder = SessionOrder::Ascending;
        /** Between two probes, in a fleet of up to stretchFrom nodes; in proportion in a larger one. */
        std::chrono::milliseconds probeInterval{200};
        /** As far as the interval is stretched. */
        std::chrono::milliseconds maxProbeInterval{500};
        std::size_t scalingThreshold = 64;
        std::chrono::milliseconds probeTimeout{100};
        /** How long a suspected member has to refute, if others confirm that it does not answer. */
        std::chrono::milliseconds suspicion{1000};
        /** Members asked to probe for us, and to confirm a suspicion. */
        std::size_t indirectProbers = 3;
        /** How long the dead are remembered, so that late gossip cannot bring them back. */
        std::chrono::milliseconds deadRetention{3600000};
        /**
         * Shortest time between two views, once more for each hundred members: a view costs as much as there are members, and
         * where a whole fleet starts, each of them is a change. The first change after a pause is told at once.
         */
        std::chrono::milliseconds viewInterval{0};
    };

    /** How datagrams leave, and who hears of changes. */
    struct Hooks
    {
        std::function<void(const Address &, const Ping &)> sendPing;
        std::function<void(const Address &, const Pong &)> sendPong;
        std::function<void(const Address &, const PingRequest &)> sendPingRequest;
        std::function<void(const Address &, const MembersPull &)> sendPull;
        std::function<void(const Address &, const MembersPush &)> sendPush;
        std::function<void(MemberViewPointer)> onChange;
        /** Told of VMs that the platform is about to take away, as others saw them on its list. */
        std::function<void(const std::vector<VmName> &)> onLeavingVms;
        /** Told that this node needs another session number; may be empty where a number can't be lost. See renew(). */
        std::function<void()> onSessionLost;
    };

    Membership(const Clock &clock, Scheduler &scheduler, Options options, Member self, std::uint64_t seed, Hooks hooks);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    /** Start probing. @param contacts gossip addresses to introduce this node to */
    void start(const std::vector<Address> &contacts);

    /** Probe addresses that may have a member: used to join, and to meet again after a partition. */
    void contact(const std::vector<Address> &addresses);

    void receive(const Address &from, const Ping &ping);
    void receive(const Address &from, const Pong &pong);
    void receive(const Address &from, const PingRequest &request);
    void receive(const Address &from, const MembersPull &pull);
    void receive(const Address &from, const MembersPush &push);

    /** Tell the others of a change of this node itself. */
    void update(const std::function<void(Member &)> &change);

    /** Tell the others that this session is over, and stop probing. */
    void leave();

    /**
     * Go on under another session number. A number is lost if another node has the same one (each would take the other's
     * news for its own), or if the others hold it over: nothing that this node says of it would be believed any more.
     */
    void renew(SessionNumber next);

    /** Tell the others of VMs that the platform is about to take away. */
    void reportLeaving(const std::vector<VmName> &vms);

    MemberViewPointer view() const;

    /** @return how long news takes to reach every node, most likely. */
    std::chrono::milliseconds spreadTime() const;

    /** @return whether any other member has been heard. */
    bool hasReceivedFromOthers() const;

    /** @return whether a session is held dead or left, and since when. */
    std::optional<SteadyTime> departedSince(SessionNumber session) const;

private:
    /** A probe that waits for its answer. */
    struct Probe
    {
        SessionNumber target;
        SteadyTime started{};
        /** When its timer is due. */
        SteadyTime due{};
        TimerId timer = 0;
    };

    /** A probe made for another member. */
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
    void startSuspicion(const MemberNews &memberUpdate);
    void notifyConfirmers(SessionNumber target);
    void scheduleDeath(SessionNumber target);
    void expire(SessionNumber target);
    void stopSuspicion(SessionNumber target);

    void receiveGossip(SessionNumber session, const Gossip &gossip);
    void compare(const Address &with, std::uint32_t digest);
    std::vector<MembersPush> answerTo(const MembersPull &pull) const;
    void notifyIfSuspected(SessionNumber session);
    void apply(const Member &reported);
    void apply(const MemberNews &reported);
    void apply(const MemberLoad &reported);
    void applyLeaving(const std::vector<VmName> &vms);
    void supersede(const Member &newcomer);
    void endReplacedSession(SessionNumber answered, SessionNumber expected);
    void handleDuplicateSession(const Address &from, const Ping &ping);
    void refute(const MemberNews &memberUpdate);
    void loseSession(std::string_view reason);
    Gossip gossipFor(SessionNumber receiver);
    MemberNews updateToSend(const Member &member) const;
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
