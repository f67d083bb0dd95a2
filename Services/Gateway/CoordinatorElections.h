#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/ClaimedDuty.h>
#include <LibWire/DatagramSocket.h>
#include <Services/Gateway/PeerNetwork.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace Dogwoodkeel
{

/** Which node has which duty, as the nodes tell each other, see ClaimedDuty. */
class CoordinatorElections
{
public:
    /** A change of who has a duty. */
    struct Change
    {
        /** Who had it before. */
        SessionNumber former;
        /** Whether this node had it and named its successor itself, so that nobody else did. */
        bool isHandedOver = false;
    };

    /** Told when another node has the duty. */
    using ChangeHandler = std::function<void(const Change &)>;

    CoordinatorElections(const Clock &clock, PeerNetwork &peers);
    CoordinatorElections(const CoordinatorElections &) = delete;
    CoordinatorElections &operator=(const CoordinatorElections &) = delete;

    /** Follow a duty from now on; one that is followed already goes on as it is. */
    void follow(const std::string &duty, ChangeHandler moved);

    /** @return who has a duty, or null if nobody can; valid until the next event. */
    const Member *coordinator(const std::string &duty) const;

    /** @return who has a duty if it is another node, else null. */
    const Member *remoteCoordinator(const std::string &duty) const;

    /** @return whether this node has a duty by a claim, and not only because nobody has told of one. */
    bool isClaimedLocally(const std::string &duty) const;

    /** @return whether this node has any duty by a claim. */
    bool isAnyClaimedLocally() const;

    /** @return whether any claim of a duty is known. */
    bool isClaimed(const std::string &duty) const;

    /** @return who would have a duty if its holder were gone, or null if there is nobody. */
    const Member *successor(const std::string &duty) const;

    /** The holder of a duty does not answer this node. */
    void suspectCoordinator(const std::string &duty);

    /** Ask some members for a sign of life: each that knows another claim than an empty one tells it. */
    void probeSomeMembers(const std::string &duty);

    /** Ask a node for a sign of life: it answers if it knows a claim of the duty. */
    void probe(const Address &node, const std::string &duty);

    /** Tell a node who has a duty, if a claim is known. */
    void sendClaim(const Address &to, const std::string &duty);

    /** The members changed, see PeerNetwork::dutyView(). */
    void setView(const MemberViewPointer &view);

    /** @return whether the datagram was about duties. */
    bool receive(const Datagram &datagram);

    /** Look after what time brings. */
    void tick();

private:
    struct Followed
    {
        std::unique_ptr<ClaimedDuty> duty;
        /** Who had it when it was last looked. */
        SessionNumber holder;
        ChangeHandler moved;
    };

    const Followed *find(const std::string &duty) const;
    void takeHolder(Followed &followed, bool isHandedOver = false);
    void claim(const std::string &name, Followed &followed);
    void askForClaim(const ClaimedDuty &duty);
    void tellNewcomers(const ClaimedDuty &duty, const MemberView &before);
    void receive(const Address &from, const DutyClaim &claim);

    const Clock &clock;
    PeerNetwork &peers;
    MemberViewPointer view;
    std::minstd_rand random;
    std::map<std::string, Followed> duties;
    /** When nodes that may know a claim are asked for it again. */
    SteadyTime nextQuestion{};
};

} // namespace Dogwoodkeel
