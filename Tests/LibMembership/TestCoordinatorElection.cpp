#include <LibBase/ManualClock.h>
#include <LibMembership/CoordinatorElection.h>
#include <Tests/Fakes/DutyNetwork.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

using Number = DutyNetwork::Number;

constexpr std::size_t nodeCount = 120;
/** In this time an ask that went to the wrong node is most likely served late. */
constexpr std::chrono::milliseconds tolerable{250};
constexpr std::size_t fewNodes = nodeCount / 100;

/** What one replay measured. */
struct Outcome
{
    std::size_t strayed = 0;
    std::size_t changes = 0;
};

using Scenario = std::function<void(DutyNetwork &, std::minstd_rand &)>;

Outcome replay(const Scenario &scenario)
{
    std::minstd_rand random(7);
    DutyNetwork network(nodeCount);
    network.advance(8s);
    network.forgetMeasures();
    scenario(network, random);
    network.advance(12s);
    return {network.strayed(tolerable), network.changes()};
}

std::vector<Number> shuffledNodes(std::minstd_rand &random)
{
    std::vector<Number> numbers(nodeCount);
    std::ranges::generate(numbers, [next = Number(0)]() mutable {
        return ++next;
    });
    std::ranges::shuffle(numbers, random);
    return numbers;
}

Member memberOf(Number number)
{
    Member member;
    member.session = SessionNumber(number);
    member.isReady = true;
    member.processorShare = 50;
    member.isRelay = true;
    return member;
}

MemberViewPointer viewOf(std::vector<Member> members, bool isMinority = false)
{
    return std::make_shared<const MemberView>(std::move(members), isMinority);
}

SessionNumber holderOf(const CoordinatorElection &duty)
{
    REQUIRE(duty.coordinator() != nullptr);
    return duty.coordinator()->session;
}

/** A duty that the second of six members has, as one of them sees it. */
struct HeldBySecond
{
    HeldBySecond()
    {
        this->seeAs(SessionNumber(1));
        this->duty.receive({"llm", 1, SessionNumber(2)});
        REQUIRE(this->duty.successor() != nullptr);
        this->successor = this->duty.successor()->session;
    }

    void seeAs(SessionNumber self)
    {
        this->duty.setView(self, this->view, this->view);
    }

    void suspectFrom(Number first, Number last)
    {
        for (Number from = first; from <= last; ++from) {
            this->duty.receiveSuspicion({"llm", SessionNumber(2), SessionNumber(from)});
        }
    }

    ManualClock clock;
    CoordinatorElection duty{clock, "llm"};
    MemberViewPointer view = viewOf({memberOf(1), memberOf(2), memberOf(3), memberOf(4), memberOf(5), memberOf(6)});
    SessionNumber successor;
};

} // namespace

// The store turns a third of the nodes away for nine seconds. Each notices it at a moment of its own, tells it to the others by
// gossip, and takes it back in the same way. Were the holder hashed anew at each such word, nodes would ask several dispatchers
// for seconds, each would fill the same replicas, and callers would wait for their first event in the replicas' queues.
TEST_CASE("a third of the nodes loses the store, and a duty moves once at most")
{
    const Outcome outcome = replay([](DutyNetwork &network, std::minstd_rand &random) {
        std::vector<Number> lost = shuffledNodes(random);
        lost.resize(nodeCount / 3);
        // The holder is among them, or nothing would have to move.
        lost.push_back(network.holder());
        for (const Number number : lost) {
            network.setStoreLost(number, true);
            network.advance(10ms);
        }
        network.advance(9s);
        for (const Number number : lost) {
            network.setStoreLost(number, false);
            network.advance(10ms);
        }
    });
    CHECK(outcome.strayed <= fewNodes);
    CHECK(outcome.changes <= 1);
}

// The VM of a dispatcher is killed. Until the others notice, its askers place requests by their own counts; then all have to turn
// to the same successor.
TEST_CASE("the holder of a duty dies, and the others agree on one successor")
{
    const Outcome outcome = replay([](DutyNetwork &network, std::minstd_rand &) {
        network.kill(network.holder());
    });
    CHECK(outcome.strayed <= fewNodes);
    CHECK(outcome.changes == 1);
}

TEST_CASE("the holder of a duty leaves, and all follow its successor at once")
{
    const Outcome outcome = replay([](DutyNetwork &network, std::minstd_rand &) {
        const Number holder = network.holder();
        network.leave(holder);
        network.advance(3s);
        network.kill(holder);
    });
    CHECK(outcome.strayed <= fewNodes);
    CHECK(outcome.changes == 1);
}

// A dispatcher's VM freezes for longer than others wait for a sign of life, and goes on as if nothing had been: it must hear that
// another node has its duty before it gives out places a second time.
TEST_CASE("the holder of a duty freezes and wakes when another has the duty")
{
    const Outcome outcome = replay([](DutyNetwork &network, std::minstd_rand &) {
        const Number holder = network.holder();
        network.pause(holder);
        network.advance(6s);
        network.resume(holder);
    });
    CHECK(outcome.strayed <= fewNodes);
    CHECK(outcome.changes == 1);
}

TEST_CASE("the holder of a duty is cut off from all and comes back")
{
    const Outcome outcome = replay([](DutyNetwork &network, std::minstd_rand &) {
        const Number holder = network.holder();
        network.gossip.isCut = [holder](Number from, Number to) {
            return from == holder || to == holder;
        };
        network.advance(6s);
        network.gossip.isCut = nullptr;
    });
    // The one that is cut off can't but go on alone.
    CHECK(outcome.strayed <= fewNodes);
    CHECK(outcome.changes == 1);
}

// Two nodes claim the duty within the time that word of it travels, for one of them missed the other's.
TEST_CASE("two nodes claim a duty at once, and all follow one of them")
{
    const Outcome outcome = replay([](DutyNetwork &network, std::minstd_rand &) {
        network.usurp(10);
        network.usurp(20);
    });
    CHECK(outcome.strayed <= fewNodes);
    CHECK(outcome.changes <= 2);
}

// Nodes are replaced one after the other, as for a new version: newcomers know neither the holder nor its claim.
TEST_CASE("nodes are restarted in turn, and only the holder's own restart moves its duty")
{
    const Outcome outcome = replay([](DutyNetwork &network, std::minstd_rand &random) {
        std::vector<Number> order = shuffledNodes(random);
        order.resize(60);
        std::erase(order, network.holder());
        for (const Number number : order) {
            network.leave(number);
            network.advance(100ms);
            network.restart(number);
            network.advance(100ms);
        }
    });
    CHECK(outcome.strayed <= fewNodes);
    CHECK(outcome.changes == 0);
}

// All nodes die at once and start anew, so that nobody knows who had which duty, or who else is there.
TEST_CASE("all nodes start at once and soon agree on a holder")
{
    const Outcome outcome = replay([](DutyNetwork &network, std::minstd_rand &random) {
        for (const Number number : shuffledNodes(random)) {
            network.restart(number);
        }
        network.advance(1s);
        network.forgetMeasures();
    });
    CHECK(outcome.strayed <= fewNodes);
    CHECK(outcome.changes <= 1);
}

TEST_CASE("a holder keeps its duty though a member comes that the hash would name")
{
    ManualClock clock;
    std::vector<Member> members{memberOf(1), memberOf(2)};
    CoordinatorElection duty(clock, "llm");
    duty.setView(SessionNumber(1), viewOf(members), viewOf(members));
    duty.receive({"llm", 1, SessionNumber(1)});
    for (Number number = 3; number < 40; ++number) {
        members.push_back(memberOf(number));
        CoordinatorElection newcomer(clock, "llm");
        newcomer.receive(*duty.claim());
        for (auto [node, session] : {std::pair(&duty, Number(1)), std::pair(&newcomer, number)}) {
            node->setView(SessionNumber(session), viewOf(members), viewOf(members));
            CHECK(holderOf(*node) == SessionNumber(1));
            CHECK(!node->makeClaim());
        }
    }
}

// Both are told to stop at once. Each held the other for able until it heard of it, and they named each other with each look,
// which every member was told.
TEST_CASE("two members that can't go on do not name each other in turn")
{
    ManualClock clock;
    const auto viewOfOneThatLeaves = [](Number leaving) {
        std::vector<Member> members{memberOf(1), memberOf(2)};
        members.at(leaving - 1).isLeaving = true;
        return viewOf(members);
    };
    CoordinatorElection first(clock, "llm");
    CoordinatorElection second(clock, "llm");
    const MemberViewPointer calm = viewOf({memberOf(1), memberOf(2)});
    first.setView(SessionNumber(1), calm, calm);
    second.setView(SessionNumber(2), calm, calm);
    const DutyClaim held{"llm", 1, SessionNumber(1)};
    first.receive(held);
    second.receive(held);
    first.setView(SessionNumber(1), viewOfOneThatLeaves(1), viewOfOneThatLeaves(1));
    second.setView(SessionNumber(2), viewOfOneThatLeaves(2), viewOfOneThatLeaves(2));
    const std::optional<DutyClaim> named = first.makeClaim();
    REQUIRE(named);
    CHECK(named->holder == SessionNumber(2));
    second.receive(*named);
    CHECK_FALSE(second.makeClaim());
    clock.advance(2s);
    CHECK_FALSE(second.makeClaim());
}

TEST_CASE("of two claims the higher term counts, then the higher session, and who tells an old one is to hear the new one")
{
    ManualClock clock;
    CoordinatorElection duty(clock, "llm");
    const MemberViewPointer view = viewOf({memberOf(1), memberOf(2), memberOf(3)});
    duty.setView(SessionNumber(1), view, view);
    CHECK(duty.receive({"llm", 2, SessionNumber(2)}) == CoordinatorElection::ReceiveOutcome::Accepted);
    CHECK(duty.receive({"llm", 1, SessionNumber(3)}) == CoordinatorElection::ReceiveOutcome::Outdated);
    CHECK(duty.receive({"llm", 2, SessionNumber(1)}) == CoordinatorElection::ReceiveOutcome::Outdated);
    CHECK(duty.receive({"llm", 2, SessionNumber(2)}) == CoordinatorElection::ReceiveOutcome::Known);
    CHECK(holderOf(duty) == SessionNumber(2));
    CHECK(duty.receive({"llm", 2, SessionNumber(3)}) == CoordinatorElection::ReceiveOutcome::Accepted);
    CHECK(holderOf(duty) == SessionNumber(3));
}

// A node has just started, and the hash names it. Were it to claim the duty before it could hear of the holder, each restart
// might move the duty.
TEST_CASE("a node that has just started asks who has the duty before it claims it")
{
    ManualClock clock;
    CoordinatorElection duty(clock, "llm");
    const MemberViewPointer own = viewOf({memberOf(1)});
    duty.setView(SessionNumber(1), own, own);
    CHECK(!duty.isQuerying());
    CHECK(!duty.makeClaim());
    Member small = memberOf(2);
    small.processorShare = 1;
    const MemberViewPointer both = viewOf({memberOf(1), small});
    duty.setView(SessionNumber(1), both, both);
    CHECK(duty.isQuerying());
    CHECK(!duty.makeClaim());
    CHECK(duty.receive(duty.claimQuery()) == CoordinatorElection::ReceiveOutcome::Known);
    clock.advance(10s);
    CHECK(duty.makeClaim() == DutyClaim{"llm", 1, SessionNumber(1)});
    CHECK(!duty.isQuerying());
    CHECK(duty.receive(duty.claimQuery()) == CoordinatorElection::ReceiveOutcome::Outdated);
}

// A node that is cut off sees all others dead. A claim of its own, with a higher term, would take the duty from its holder when
// the nodes meet again.
TEST_CASE("a node that has lost sight of most others claims nothing")
{
    ManualClock clock;
    CoordinatorElection duty(clock, "llm");
    const MemberViewPointer all = viewOf({memberOf(1), memberOf(2), memberOf(3)});
    duty.setView(SessionNumber(1), all, all);
    duty.receive({"llm", 1, SessionNumber(2)});
    const MemberViewPointer alone = viewOf({memberOf(1)}, true);
    duty.setView(SessionNumber(1), alone, alone);
    CHECK(!duty.makeClaim());
    clock.advance(10s);
    CHECK(!duty.makeClaim());
    CHECK(holderOf(duty) == SessionNumber(1));
}

// A node comes back from a cut and tells of deaths that were none. Until they are refuted, nodes that believe it must go on with
// the holder; and a successor that misses it looks whether it lives.
TEST_CASE("a holder that is missed but answers keeps its duty")
{
    ManualClock clock;
    CoordinatorElection duty(clock, "llm");
    std::vector<Member> members{memberOf(1), memberOf(2), memberOf(3)};
    duty.setView(SessionNumber(1), viewOf(members), viewOf(members));
    duty.receive({"llm", 1, SessionNumber(2)});
    members.erase(members.begin() + 1);
    duty.setView(SessionNumber(1), viewOf(members), viewOf(members));
    for (int look = 0; look < 100; ++look) {
        clock.advance(200ms);
        CHECK(!duty.makeClaim());
        CHECK(holderOf(duty) == SessionNumber(2));
        CHECK(duty.suspectedCoordinator() != nullptr);
        duty.recordCoordinatorAlive();
    }
}

// A dispatcher's VM is gone. Its askers place by their own counts, which is worse under load, until another dispatches; the
// membership is sure of the death only seconds later.
TEST_CASE("a holder that several nodes and the successor get no answer of loses its duty")
{
    HeldBySecond held;
    CoordinatorElection &duty = held.duty;
    held.seeAs(held.successor);
    for (int times = 0; times < 5; ++times) {
        held.suspectFrom(3, 4);
    }
    CHECK(duty.suspectedCoordinator() == nullptr);
    duty.receiveSuspicion({"llm", SessionNumber(6), SessionNumber(5)});
    CHECK(duty.suspectedCoordinator() == nullptr);
    held.suspectFrom(5, 5);
    REQUIRE(duty.suspectedCoordinator() != nullptr);
    CHECK(duty.suspectedCoordinator()->session == SessionNumber(2));
    CHECK(!duty.makeClaim());
    duty.recordCoordinatorAlive();
    held.clock.advance(300ms);
    CHECK(!duty.makeClaim());
    held.suspectFrom(3, 5);
    held.clock.advance(300ms);
    CHECK(duty.makeClaim() == DutyClaim{"llm", 2, held.successor});
    CHECK(holderOf(duty) == held.successor);
}

// Guards against a successor that is asked whether it lives in the holder's stead: its answer clears the suspicions, and puts off
// its claim.
TEST_CASE("once the holder's silence is settled, nobody is asked in its place")
{
    HeldBySecond held;
    CoordinatorElection &duty = held.duty;
    // Another node than the one that will claim the duty: it takes the successor for the holder until it hears the claim.
    held.seeAs(held.successor == SessionNumber(6) ? SessionNumber(1) : SessionNumber(6));
    held.suspectFrom(3, 5);
    CHECK(duty.suspectedCoordinator()->session == SessionNumber(2));
    held.clock.advance(300ms);
    CHECK(!duty.makeClaim());
    CHECK(holderOf(duty) == held.successor);
    CHECK(duty.suspectedCoordinator() == nullptr);
}

// A node that has just started is told who dispatches before gossip tells it of that member.
TEST_CASE("a node that has never seen the holder waits before it claims the duty")
{
    ManualClock clock;
    CoordinatorElection duty(clock, "llm");
    const MemberViewPointer own = viewOf({memberOf(1)});
    duty.setView(SessionNumber(1), own, own);
    duty.receive({"llm", 5, SessionNumber(2)});
    CHECK(!duty.makeClaim());
    clock.advance(10s);
    const std::optional<DutyClaim> claim = duty.makeClaim();
    REQUIRE(claim);
    CHECK(*claim == DutyClaim{"llm", 6, SessionNumber(1)});
}

// Half of the nodes are killed at once, the holder among them. The successor has lost sight of many members, as if it were cut
// off; but others reach it, and miss the holder as well. Were it to wait, all would place by their own counts for seconds.
TEST_CASE("a successor that has lost sight of many claims the duty if several others miss the holder")
{
    ManualClock clock;
    CoordinatorElection duty(clock, "llm");
    std::vector<Member> members;
    for (Number number = 1; number <= 10; ++number) {
        members.push_back(memberOf(number));
    }
    duty.setView(SessionNumber(1), viewOf(members), viewOf(members));
    duty.receive({"llm", 1, SessionNumber(10)});
    members.resize(5);
    duty.setView(SessionNumber(1), viewOf(members), viewOf(members));
    const SessionNumber successor = duty.successor()->session;
    duty.setView(successor, viewOf(members), viewOf(members));
    clock.advance(300ms);
    CHECK(!duty.makeClaim());
    for (Number from = 1; from <= 5; ++from) {
        if (SessionNumber(from) != successor) {
            duty.receiveSuspicion({"llm", SessionNumber(10), SessionNumber(from)});
        }
    }
    duty.makeClaim();
    CHECK(duty.claim() == DutyClaim{"llm", 2, successor});
}

TEST_CASE("half of the nodes die at once with the holder, and the others agree on one successor")
{
    const Outcome outcome = replay([](DutyNetwork &network, std::minstd_rand &random) {
        std::vector<Number> dead = shuffledNodes(random);
        dead.resize(nodeCount / 2);
        std::erase(dead, network.holder());
        dead.push_back(network.holder());
        for (const Number number : dead) {
            network.kill(number);
        }
    });
    CHECK(outcome.strayed <= fewNodes);
    CHECK(outcome.changes == 1);
}

TEST_CASE("a holder that leaves names its successor")
{
    ManualClock clock;
    CoordinatorElection duty(clock, "llm");
    std::vector<Member> members{memberOf(1), memberOf(2)};
    duty.setView(SessionNumber(1), viewOf(members), viewOf(members));
    duty.receive({"llm", 1, SessionNumber(1)});
    members[0].isLeaving = true;
    duty.setView(SessionNumber(1), viewOf(members), viewOf(members));
    CHECK(duty.makeClaim() == DutyClaim{"llm", 2, SessionNumber(2)});
}
