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
 * Simulates members in one process on a manual clock. Their network drops datagrams, can cut either direction between
 * any two nodes, and counts what is sent. A node is identified by its number, which is by default also its session.
 */
class GossipNetwork
{
public:
    using Number = std::uint64_t;

    /** Bytes of the IP, UDP and datagram headers and the authentication code around each message. */
    static constexpr std::uint64_t overheadPerDatagram = 28 + 18 + 32;

    explicit GossipNetwork(Membership::Options options = {}, std::uint64_t seed = 1);
    ~GossipNetwork();
    GossipNetwork(const GossipNetwork &) = delete;
    GossipNetwork &operator=(const GossipNetwork &) = delete;

    /** Starts a node that knows the gossip addresses of its contacts and uses its own number as its session number. */
    Membership &add(Number number, const std::vector<Number> &contacts);

    /** Starts a node under another session number. A node that loses its session number gets nextSession. */
    Membership &add(Number number, const std::vector<Number> &contacts, SessionNumber session);

    /** @return the current session of a node. */
    SessionNumber sessionOf(Number number) const;

    /** Removes a node without notice to the others. */
    void kill(Number number);

    /** Suspends a node: its timers and datagrams are queued. */
    void pause(Number number);

    /** Resumes a node: runs all overdue timers at once, then delivers the queued datagrams. */
    void resume(Number number);

    Membership &member(Number number);
    bool isRunning(Number number) const;
    std::vector<Number> running() const;

    /** @return whether a node's view contains exactly these members. */
    bool sees(Number number, const std::vector<Number> &members);

    /** @return whether every running node's view contains exactly the running nodes. */
    bool isConverged();

    static Address addressOf(Number number);
    static Number numberOf(const Address &address);

    ManualClock clock;
    /** Fraction of datagrams that are lost. */
    double loss = 0;
    /** Whether datagrams from one node to another are currently dropped. */
    std::function<bool(Number from, Number to)> isCut;
    /** The processor share of a node's VM, in hundredths of a core; not reported if this is empty. */
    std::function<std::uint32_t(Number)> processorShareOf;
    /** Whether a node is a relay; all are if this is empty. */
    std::function<bool(Number)> isRelay;
    /** Called with each new view. */
    std::function<void(Number, const MemberView &)> onView;
    std::uint64_t bytes = 0;
    std::uint64_t datagrams = 0;
    /** Session number for the next node that loses its own. */
    Number nextSession = 1000000;

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
