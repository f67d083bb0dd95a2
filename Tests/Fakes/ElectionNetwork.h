#pragma once

#include <LibMembership/CoordinatorElection.h>
#include <LibMembership/StoreReachability.h>
#include <Tests/Fakes/GossipNetwork.h>

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace Dogwoodkeel
{

/**
 * Simulates members in virtual time that elect the coordinator of one role, each from its own view. Measures how many of
 * them name a coordinator other than the majority's, and for how long.
 */
class ElectionNetwork
{
public:
    using Number = GossipNetwork::Number;

    /** Adds the nodes 1 to `count`. One in five has a processor that is large enough for roles. */
    explicit ElectionNetwork(std::size_t count);

    /** Advances the clock in small steps, and measures after each. */
    void advance(std::chrono::milliseconds time);

    /** Sets whether a node has lost its connection to the store. */
    void setStoreLost(Number number, bool isLost);

    /** Makes a node announce that it leaves. */
    void leave(Number number);

    /** Ends a node's process and starts it again at once under another session. */
    void restart(Number number);

    /** Ends a node's process without a restart. */
    void kill(Number number);

    /** Suspends a node; claims that are sent to it meanwhile are lost. */
    void pause(Number number);
    void resume(Number number);

    /** Makes a node claim the role for itself, whichever node is its coordinator. */
    void claimRole(Number number);

    /** @return the node that the majority names as coordinator; 0 if none. */
    Number coordinator();

    /** Discards all measurements made so far. */
    void resetMeasurements();

    /** @return how many nodes named a coordinator other than the majority's without interruption for longer than a time. */
    std::size_t countDivergent(std::chrono::milliseconds longerThan) const;

    /** @return how often the majority's coordinator has changed. */
    std::size_t changes() const;

    GossipNetwork gossip;

private:
    struct Node
    {
        std::unique_ptr<StoreReachability> reachability;
        std::unique_ptr<CoordinatorElection> election;
        MemberViewPointer view;
        SteadyTime nextSlotRequest{};
        SteadyTime nextViewCheck{};
        SteadyTime nextClaimQuery{};
        /** Since when it names a coordinator other than the majority's. */
        std::optional<SteadyTime> divergentSince;
    };

    void addNode(Number number, SessionNumber session);
    void step();
    void updateNode(Number number, Node &node);
    void reportSuspicion(Number number, const Node &node, const Member &coordinator);
    void queryClaims(Number number, Node &node);
    void sendClaimToNewMembers(Number number, Node &node, const MemberView &before);
    void requestSlot(Number number, Node &node);
    void sendClaim(Number from, Number to, const CoordinatorClaim &claim);
    void broadcastClaim(Number from, const CoordinatorClaim &claim);
    void measure();
    std::optional<Number> numberOf(SessionNumber session) const;

    std::minstd_rand random{7};
    std::map<Number, Node> nodes;
    std::map<SessionNumber, Number> numbers;
    std::set<Number> paused;
    std::map<Number, std::chrono::milliseconds> longestDivergence;
    std::optional<SessionNumber> majorityCoordinator;
    std::size_t changeCount = 0;
    Number lastSession = 1000;
};

} // namespace Dogwoodkeel
