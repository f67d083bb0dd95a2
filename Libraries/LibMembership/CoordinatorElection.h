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
 * Which member has a duty, such as dispatching for a service, in the eyes of one node.
 *
 * Were it only hashed from the members, it would move whenever a member comes, or loses the store and regains it, and the nodes,
 * which hear of that at different moments, would name several at once for seconds. So a holder keeps its duty as long as it
 * can, and says so: a claim with a term, told to all at once. When the holder leaves or loses the store it names its successor
 * itself, and only it judges that; when it dies, the member that the hash names claims the duty. Several nodes that get no
 * answer of the holder are enough for that, long before the membership is sure of its death.
 *
 * NOTE: Claims are hints between nodes, as membership is: two nodes may hold a duty at once until they hear of each other, and
 * nothing that must hold depends on there being one.
 */
class CoordinatorElection
{
public:
    /** What a claim of another node changes. */
    enum class ReceiveOutcome {
        /** It counts from now on. */
        Accepted,
        /** It is the one that is known. */
        Known,
        /** A higher one is known; who told it should hear of that. */
        Outdated,
    };

    /** @param duty its name, the same on all nodes */
    CoordinatorElection(const Clock &clock, std::string duty);

    /**
     * Take the members as they are seen now.
     * @param self the session of this node
     * @param members with the loss of the store as each member told it
     * @param settled with the loss of the store where it takes duties away, see StoreReach
     */
    void setView(SessionNumber self, const MemberViewPointer &members, const MemberViewPointer &settled);

    /** Another node tells who has the duty. */
    ReceiveOutcome receive(const DutyClaim &claim);

    /** @return who has the duty, or null if nobody can have it; valid until the next call that changes something. */
    const Member *coordinator() const;

    /** @return the claim that counts, if any was made. */
    const std::optional<DutyClaim> &claim() const;

    /** @return whether this node knows no claim, and has to ask other nodes for one. */
    bool isQuerying() const;

    /** @return the question for the claim that others know: an empty claim, which is outdated for whoever knows one. */
    DutyClaim claimQuery() const;

    /** @return the member that would have the duty if its holder were gone, or null if there is none. */
    const Member *successor() const;

    /** A node got no answer of the holder. */
    void receiveSuspicion(const DutySuspicion &suspicion);

    /** The holder gave a sign of life. */
    void recordCoordinatorAlive();

    /** @return the holder, if it is suspected by several nodes and this one has to look whether it lives; else null. */
    const Member *suspectedCoordinator() const;

    /** @return a claim that this node makes now, to be told to all others; nothing if it has none to make. */
    std::optional<DutyClaim> makeClaim();

private:
    void choose();
    void noteGivenUp(const DutyClaim &claim);
    std::set<SessionNumber> unableMembers() const;
    const Member *findClaimed();
    bool mayKeep(const Member &claimed) const;
    bool isNew() const;
    bool isSilent() const;
    bool isHolderUnknown() const;
    bool hasLostMany() const;
    bool hasEnoughAccusers() const;

    const Clock &clock;
    std::string duty;
    std::uint64_t key;
    SessionNumber self;
    MemberViewPointer members;
    MemberViewPointer settled;
    std::optional<DutyClaim> current;
    SteadyTime receivedAt{};
    /** When this node first saw another member. */
    std::optional<SteadyTime> metOthers;
    /** The holder that the claim names, as it was last among the members. */
    std::optional<Member> seenHolder;
    /** Since when it is not among them any more, or when it last gave a sign of life after that. */
    std::optional<SteadyTime> holderMissed;
    const Member *chosen = nullptr;
    /** Who gave the duty up lately, and when: they know that they can't have it before the others hear why. */
    std::map<SessionNumber, SteadyTime> givenUp;
    /** Who got no answer of the holder, and when. */
    std::map<SessionNumber, SteadyTime> accusers;
    /** Since when the holder is suspected by enough of them. */
    std::optional<SteadyTime> suspected;
    /** The most members that were seen lately, and when. */
    std::size_t mostMembers = 0;
    SteadyTime mostSeen{};
};

} // namespace Dogwoodkeel
