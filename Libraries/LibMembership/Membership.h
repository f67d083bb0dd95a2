#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>
#include <LibMembership/MemberView.h>
#include <LibWire/Generated/Messages.h>

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Knows which nodes there are, by probing and gossip over datagrams (after SWIM: Das, Gupta, Motivala, 2002).
 *
 * Each node probes one member per interval, whatever their number, and tells a bounded number of members in each
 * datagram: cost per node does not grow with the fleet. A member that does not answer is probed through others before
 * it is suspected, and has the suspicion time to refute before it counts as dead.
 *
 * NOTE: What this class says is a hint. Nothing durable depends on it being right: who owns a shard is decided by the
 * platform's rows, and a journal's seal fences an owner that was held dead by mistake.
 */
class Membership
{
public:
    /** Timing and sizes. */
    struct Options
    {
        std::chrono::milliseconds probeInterval{200};
        std::chrono::milliseconds probeTimeout{100};
        std::chrono::milliseconds suspicion{1000};
        /** Members told of in one datagram. */
        std::size_t newsPerDatagram = 8;
        /** Members asked to probe for us. */
        std::size_t helpers = 2;
        /** How long a dead member is remembered, so that late gossip cannot bring it back. */
        std::chrono::milliseconds forgetDead{60000};
    };

    /** How datagrams leave, and who hears of changes. */
    struct Hooks
    {
        std::function<void(const Address &, const Ping &)> sendPing;
        std::function<void(const Address &, const Pong &)> sendPong;
        std::function<void(const Address &, const PingRequest &)> sendPingRequest;
        std::function<void(MemberViewPointer)> onChange;
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

    /** Tell the others of a change of this node itself. */
    void update(const std::function<void(Member &)> &change);

    MemberViewPointer view() const;

    /** @return the gossip addresses of members held dead that were not seen to leave: they may be behind a partition. */
    std::vector<Address> lostAddresses() const;

private:
    struct Known
    {
        Member member;
        /** Datagrams that told of its latest change. */
        std::uint32_t told = 0;
        SteadyTime since{};
    };

    /** A probe that waits for its answer. */
    struct Probe
    {
        SessionNumber target;
        bool isIndirect = false;
        TimerId timer = 0;
    };

    /** A probe made for another member. */
    struct Relay
    {
        Address asker;
        std::uint64_t sequence = 0;
    };

    void tick();
    void probe(SessionNumber target);
    void probeByOthers(std::uint64_t sequence);
    void suspect(SessionNumber target);
    void expireSuspects();
    void merge(const std::vector<Member> &news);
    void mergeOne(const Member &news);
    void refute(const Member &news);
    std::vector<Member> news();
    std::vector<const Member *> reachable() const;
    void publish();

    const Clock &clock;
    Scheduler &scheduler;
    Options options;
    SessionNumber self;
    Hooks hooks;
    std::mt19937_64 random;
    std::map<SessionNumber, Known> known;
    std::vector<SessionNumber> round;
    std::uint64_t lastSequence = 0;
    std::map<std::uint64_t, Probe> probes;
    std::map<std::uint64_t, Relay> relays;
    TimerId timer = 0;
    bool changed = true;
    MemberViewPointer current;
};

} // namespace Dogwoodkeel
