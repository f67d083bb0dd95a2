#pragma once

#include <LibBase/ManualClock.h>
#include <LibMembership/Membership.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Members in one process on a clock that is moved by hand, joined by a network that loses datagrams, cuts any direction
 * between any two, and counts what is sent. A node is named by its number, which is also its session.
 */
class GossipNetwork
{
public:
    using Number = std::uint64_t;

    /** Bytes of IP, UDP, our own header and the authentication code around each message. */
    static constexpr std::uint64_t overheadPerDatagram = 28 + 18 + 32;

    explicit GossipNetwork(Membership::Options options = {}, std::uint64_t seed = 1);
    ~GossipNetwork();
    GossipNetwork(const GossipNetwork &) = delete;
    GossipNetwork &operator=(const GossipNetwork &) = delete;

    /** Start a node that knows the gossip addresses of some others, and has its own number as that of its session. */
    Membership &add(Number number, const std::vector<Number> &contacts);

    /** Start a node under another session number. One that loses it takes the next of newSessions. */
    Membership &add(Number number, const std::vector<Number> &contacts, SessionNumber session);

    /** @return the session that a node goes by. */
    SessionNumber sessionOf(Number number) const;

    /** A node is gone without a word. */
    void kill(Number number);

    /** A node stops running: its timers and datagrams wait. */
    void pause(Number number);

    /** It runs again: all late timers at once, then the datagrams that waited. */
    void resume(Number number);

    Membership &member(Number number);
    bool isRunning(Number number) const;
    std::vector<Number> running() const;

    /** @return whether a node's view holds exactly these. */
    bool sees(Number number, const std::vector<Number> &members);

    /** @return whether every running node's view holds exactly the running ones. */
    bool isConverged();

    static Address addressOf(Number number);
    static Number numberOf(const Address &address);

    ManualClock clock;
    /** Share of datagrams that are lost. */
    double loss = 0;
    /** Whether nothing goes from one node to another now. */
    std::function<bool(Number from, Number to)> isCut;
    /** The processor of a node's VM, in hundredths of a core; not told where this is empty. */
    std::function<std::uint32_t(Number)> processorShareOf;
    /** Whether a node is a relay; all are where this is empty. */
    std::function<bool(Number)> isRelay;
    /** Told of each new view. */
    std::function<void(Number, const MemberView &)> onView;
    std::uint64_t bytes = 0;
    std::uint64_t datagrams = 0;
    /** The next session number for a node that lost its own. */
    Number newSessions = 1000000;

private:
    struct Node;

    template <typename Message>
    void deliver(Number from, const Address &to, const Message &message);
    Membership::Hooks hooksOf(Number number);

    Membership::Options options;
    std::mt19937_64 random;
    std::map<Number, std::shared_ptr<Node>> nodes;
};

} // namespace Dogwoodkeel
