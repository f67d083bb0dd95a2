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
 * Members in virtual time that judge, each by its own view, which of them has one duty. Measures for how long how many of
 * them name another holder than most do.
 */
class ElectionNetwork
{
public:
    using Number = GossipNetwork::Number;

    /** One in five nodes has a large enough processor for duties. */
    explicit ElectionNetwork(std::size_t count);

    /** Let time pass, and measure. */
    void advance(std::chrono::milliseconds time);

    /** A node learns that it has lost or regained the store. */
    void setStoreLost(Number number, bool isLost);

    /** A node tells that it leaves. */
    void leave(Number number);

    /** A node's process ends, and starts anew at once under another session. */
    void restart(Number number);

    /** A node's process ends for good. */
    void kill(Number number);

    /** A node stops running; what is sent to it meanwhile is lost. */
    void pause(Number number);
    void resume(Number number);

    /** A node claims the duty for itself, whoever has it. */
    void claimRole(Number number);

    /** @return the node that most of the others name. */
    Number coordinator();

    /** Forget what was measured so far. */
    void resetMeasurements();

    /** @return nodes that named another holder than most for longer than some time without a break. */
    std::size_t countDivergent(std::chrono::milliseconds longerThan) const;

    /** @return how often the node that most name has changed. */
    std::size_t changes() const;

    GossipNetwork gossip;

private:
    struct Node
    {
        std::unique_ptr<StoreReachability> reach;
        std::unique_ptr<CoordinatorElection> duty;
        MemberViewPointer view;
        SteadyTime nextAsk{};
        SteadyTime nextLook{};
        SteadyTime nextQuestion{};
        /** Since when it names another holder than most. */
        std::optional<SteadyTime> strays;
    };

    void addNode(Number number, SessionNumber session);
    void step();
    void look(Number number, Node &node);
    void suspicion(Number number, const Node &node, const Member &holder);
    void question(Number number, Node &node);
    void tellNewcomers(Number number, Node &node, const MemberView &before);
    void askHolder(Number number, Node &node);
    void tell(Number from, Number to, const CoordinatorClaim &claim);
    void tellAll(Number from, const CoordinatorClaim &claim);
    void measure();
    std::optional<Number> numberOf(SessionNumber session) const;

    std::minstd_rand random{7};
    std::map<Number, Node> nodes;
    std::map<SessionNumber, Number> numbers;
    std::set<Number> paused;
    std::map<Number, std::chrono::milliseconds> longest;
    std::optional<SessionNumber> named;
    std::size_t changeCount = 0;
    Number lastSession = 1000;
};

} // namespace Dogwoodkeel
