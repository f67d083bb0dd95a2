#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/CoordinatorElection.h>
#include <LibWire/DatagramSocket.h>
#include <Services/Gateway/PeerNetwork.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace Dogwoodkeel
{

/**
 * Takes part in the elections of a coordinator for each role that this node follows, by datagrams between the nodes. The rules of
 * one election are those of CoordinatorElection.
 */
class CoordinatorElections
{
public:
    /** A change of the coordinator of a role. */
    struct Change
    {
        /** The previous coordinator. */
        SessionNumber former;
        /** Whether this node was the coordinator and named its successor itself, so that no other node did. */
        bool isHandedOver = false;
    };

    /** Called when the coordinator of the role has changed. */
    using ChangeHandler = std::function<void(const Change &)>;

    CoordinatorElections(const Clock &clock, PeerNetwork &peers);
    CoordinatorElections(const CoordinatorElections &) = delete;
    CoordinatorElections &operator=(const CoordinatorElections &) = delete;

    /** Starts to follow the election for a role. Does nothing if this node follows it already. */
    void follow(const std::string &role, ChangeHandler changed);

    /** @return the coordinator of a role, or null if no member is eligible; valid until the next event. */
    const Member *coordinator(const std::string &role) const;

    /** @return the coordinator of a role if it is another node, else null. */
    const Member *remoteCoordinator(const std::string &role) const;

    /** @return whether a claim names this node the coordinator of a role, rather than only the absence of a known claim. */
    bool isClaimedLocally(const std::string &role) const;

    /** @return whether a claim names this node the coordinator of any role. */
    bool isAnyClaimedLocally() const;

    /** @return whether a claim of the role is known, by any node. */
    bool isClaimed(const std::string &role) const;

    /** @return the member that becomes coordinator if the present one departs, or null if there is none. */
    const Member *successor(const std::string &role) const;

    /** Reports to the successor that the coordinator of a role does not answer this node. */
    void suspectCoordinator(const std::string &role);

    /** Probes some random members: each that knows a claim of the role answers with it. */
    void probeSomeMembers(const std::string &role);

    /** Probes a node: it answers if it knows a claim of the role. */
    void probe(const Address &node, const std::string &role);

    /** Sends the claim of a role to a node, if one is known. */
    void sendClaim(const Address &to, const std::string &role);

    /** Updates the members among which coordinators are elected, see PeerNetwork::roleView(). */
    void setView(const MemberViewPointer &view);

    /** @return whether the datagram belonged to an election. */
    bool receive(const Datagram &datagram);

    /** Sends queries and claims that are due; to be called periodically. */
    void tick();

private:
    struct RoleState
    {
        std::unique_ptr<CoordinatorElection> election;
        /** The coordinator at the last check, to detect changes. */
        SessionNumber coordinator;
        ChangeHandler changed;
    };

    const RoleState *find(const std::string &role) const;
    void updateCoordinator(RoleState &state, bool isHandedOver = false);
    void claim(const std::string &role, RoleState &state);
    void queryClaim(const CoordinatorElection &election);
    void sendClaimToNewMembers(const CoordinatorElection &election, const MemberView &before);
    void receive(const Address &from, const CoordinatorClaim &claim);

    const Clock &clock;
    PeerNetwork &peers;
    MemberViewPointer view;
    std::minstd_rand random;
    std::map<std::string, RoleState> roles;
    /** When the next queries for unknown claims are due. */
    SteadyTime nextQuery{};
};

} // namespace Dogwoodkeel
