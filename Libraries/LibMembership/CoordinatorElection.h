#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/MemberView.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Dogwoodkeel
{

/**
 * Determines which member is the coordinator of a role, such as dispatching for a service, from the view of one node.
 *
 * A coordinator keeps its role as long as it can and announces it to all members with a claim that carries a term. If it leaves
 * or loses the store, it alone decides that and names its successor. If it dies, the member that rendezvous hashing prefers
 * claims the role. Suspicions of several nodes suffice for that, long before the membership declares the coordinator dead.
 *
 * Hashing alone would move the role whenever a member joins, loses the store or regains it. Nodes learn of such changes at
 * different times and would name several coordinators for seconds.
 *
 * NOTE: Claims are hints, as membership is. Two nodes may hold a role until each receives the other's claim, so correctness
 * must not depend on there being only one coordinator.
 */
class CoordinatorElection
{
public:
    /** The effect of a claim received from another node. */
    enum class ReceiveOutcome {
        /** The claim is the current one from now on. */
        Accepted,
        /** The claim is already the current one. */
        Known,
        /** A higher claim is known and should be sent to the sender. */
        Outdated,
    };

    /** @param role name of the role, the same on all nodes */
    CoordinatorElection(const Clock &clock, std::string role);

    /**
     * Applies a new view of the members.
     * @param self the session of this node
     * @param members the members with the loss of the store as each member reported it
     * @param stableMembers the members with only those losses of the store that disqualify from roles, see StoreReachability
     */
    void setView(SessionNumber self, const MemberViewPointer &members, const MemberViewPointer &stableMembers);

    /** Handles a claim from another node. */
    ReceiveOutcome receive(const CoordinatorClaim &claim);

    /** @return the coordinator, or null if no member is eligible; valid until the next call of a non-const function. */
    const Member *coordinator() const;

    /** @return the current claim, if any is known. */
    const std::optional<CoordinatorClaim> &claim() const;

    /** @return whether this node knows other members but no claim, and has to query them for one. */
    bool isQuerying() const;

    /** @return a query for the claim that other nodes know: an empty claim, which is outdated for any node that knows one. */
    CoordinatorClaim claimQuery() const;

    /** @return the member that would become the coordinator if the current one departed, or null if there is none. */
    const Member *successor() const;

    /** Records that a node received no answer from the coordinator. */
    void receiveSuspicion(const CoordinatorSuspicion &suspicion);

    /** Records that the coordinator has responded, and clears the suspicions against it. */
    void recordCoordinatorAlive();

    /** @return the coordinator if enough nodes suspect it and this node has to probe it; otherwise null. */
    const Member *suspectedCoordinator() const;

    /** @return a claim that this node makes now and that has to be sent to all other members; nothing if it makes none. */
    std::optional<CoordinatorClaim> makeClaim();

private:
    void selectCoordinator();
    void recordResignation(const CoordinatorClaim &claim);
    std::set<SessionNumber> recentlyResigned() const;
    const Member *findClaimedCoordinator();
    bool mayKeep(const Member &claimed) const;
    bool isAwaitingClaim() const;
    bool isUnresponsive() const;
    bool isCoordinatorUnknown() const;
    bool hasLostManyMembers() const;
    bool hasEnoughSuspectingMembers() const;

    const Clock &clock;
    std::string role;
    std::uint64_t key;
    SessionNumber self;
    MemberViewPointer members;
    MemberViewPointer stableMembers;
    std::optional<CoordinatorClaim> current;
    SteadyTime receivedAt{};
    /** When this node first had another member in its view. */
    std::optional<SteadyTime> othersSeenAt;
    /** The coordinator that the claim names, as of the last view that contained it. */
    std::optional<Member> lastSeenCoordinator;
    /** Since when the view does not contain it, or when it last responded after that. */
    std::optional<SteadyTime> coordinatorMissingSince;
    const Member *selected = nullptr;
    /** Members that gave up the role recently, and when. They know that they are not eligible before the view shows it. */
    std::map<SessionNumber, SteadyTime> resignedMembers;
    /** Members that received no answer from the coordinator, and when. */
    std::map<SessionNumber, SteadyTime> suspectingMembers;
    /** Since when enough members suspect the coordinator. */
    std::optional<SteadyTime> suspectedSince;
    /** The largest recent number of members, and when it was observed. */
    std::size_t maxMembers = 0;
    SteadyTime maxMembersAt{};
};

} // namespace Dogwoodkeel
