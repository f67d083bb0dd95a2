#include <LibBase/ManualClock.h>
#include <LibMembership/CoordinatorElection.h>
#include <Tests/Fakes/ElectionNetwork.h>

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

using Number = ElectionNetwork::Number;

constexpr std::size_t nodeCount = 120;
/** A node that names another coordinator for longer than this most likely delays requests. */
constexpr std::chrono::milliseconds toleratedTime{250};
constexpr std::size_t maxStrayed = nodeCount / 100;

/** The measurements of one replay. */
struct Outcome
{
    std::size_t strayed = 0;
    std::size_t changes = 0;
};

using Scenario = std::function<void(ElectionNetwork &, std::minstd_rand &)>;

Outcome replay(const Scenario &scenario)
{
    std::minstd_rand random(7);
    ElectionNetwork network(nodeCount);
    network.advance(8s);
    network.resetMeasurements();
    scenario(network, random);
    network.advance(12s);
    return {network.countDivergent(toleratedTime), network.changes()};
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

SessionNumber coordinatorOf(const CoordinatorElection &election)
{
    REQUIRE(election.coordinator() != nullptr);
    return election.coordinator()->session;
}

/** A role whose coordinator is the second of six members, from the view of one of them. */
struct ElectionFixture
{
    ElectionFixture()
    {
        this->setSelf(SessionNumber(1));
        this->election.receive({"llm", 1, SessionNumber(2)});
        REQUIRE(this->election.successor() != nullptr);
        this->successor = this->election.successor()->session;
    }

    void setSelf(SessionNumber self)
    {
        this->election.setView(self, this->view, this->view);
    }

    void suspectFrom(Number first, Number last)
    {
        for (Number from = first; from <= last; ++from) {
            this->election.receiveSuspicion({"llm", SessionNumber(2), SessionNumber(from)});
        }
    }

    ManualClock clock;
    CoordinatorElection election{clock, "llm"};
    MemberViewPointer view = viewOf({memberOf(1), memberOf(2), memberOf(3), memberOf(4), memberOf(5), memberOf(6)});
    SessionNumber successor;
};

} // namespace

// Guards against several dispatchers at once. A third of the nodes loses the store for nine seconds; each detects loss and
// recovery at a different time and reports them by gossip. If each report selected the coordinator anew by hash, nodes would
// send requests to several dispatchers for seconds. These would fill the same replicas, and callers would wait in the replicas'
// queues.
TEST_CASE("if a third of the nodes loses the store, a role moves at most once")
{
    const Outcome outcome = replay([](ElectionNetwork &network, std::minstd_rand &random) {
        std::vector<Number> lost = shuffledNodes(random);
        lost.resize(nodeCount / 3);
        // The coordinator is included; otherwise the role would not have to move.
        lost.push_back(network.coordinator());
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
    CHECK(outcome.strayed <= maxStrayed);
    CHECK(outcome.changes <= 1);
}

// The VM of a dispatcher is killed. Until the others detect it, its clients place requests by their own counts. Then all have to
// switch to the same successor.
TEST_CASE("if the coordinator of a role dies, the others agree on one successor")
{
    const Outcome outcome = replay([](ElectionNetwork &network, std::minstd_rand &) {
        network.kill(network.coordinator());
    });
    CHECK(outcome.strayed <= maxStrayed);
    CHECK(outcome.changes == 1);
}

TEST_CASE("if the coordinator of a role leaves, all follow its successor at once")
{
    const Outcome outcome = replay([](ElectionNetwork &network, std::minstd_rand &) {
        const Number holder = network.coordinator();
        network.leave(holder);
        network.advance(3s);
        network.kill(holder);
    });
    CHECK(outcome.strayed <= maxStrayed);
    CHECK(outcome.changes == 1);
}

// The VM of a dispatcher is paused for longer than the timeout of the others and then continues. It has to learn that another
// node has the role before it assigns slots a second time.
TEST_CASE("a coordinator that is paused and resumes accepts that another node has the role")
{
    const Outcome outcome = replay([](ElectionNetwork &network, std::minstd_rand &) {
        const Number holder = network.coordinator();
        network.pause(holder);
        network.advance(6s);
        network.resume(holder);
    });
    CHECK(outcome.strayed <= maxStrayed);
    CHECK(outcome.changes == 1);
}

TEST_CASE("a coordinator that was cut off from all members accepts its successor when it reconnects")
{
    const Outcome outcome = replay([](ElectionNetwork &network, std::minstd_rand &) {
        const Number holder = network.coordinator();
        network.gossip.isCut = [holder](Number from, Number to) {
            return from == holder || to == holder;
        };
        network.advance(6s);
        network.gossip.isCut = nullptr;
    });
    // The node that is cut off continues alone, which cannot be avoided.
    CHECK(outcome.strayed <= maxStrayed);
    CHECK(outcome.changes == 1);
}

// Two nodes claim the role within the latency of a claim, because neither has received the claim of the other.
TEST_CASE("if two nodes claim a role at once, all follow one of them")
{
    const Outcome outcome = replay([](ElectionNetwork &network, std::minstd_rand &) {
        network.claimRole(10);
        network.claimRole(20);
    });
    CHECK(outcome.strayed <= maxStrayed);
    CHECK(outcome.changes <= 2);
}

// Nodes are replaced one after the other, as in a rolling upgrade. New nodes know neither the coordinator nor its claim.
TEST_CASE("if nodes are restarted in turn, only a restart of the coordinator moves its role")
{
    const Outcome outcome = replay([](ElectionNetwork &network, std::minstd_rand &random) {
        std::vector<Number> order = shuffledNodes(random);
        order.resize(60);
        std::erase(order, network.coordinator());
        for (const Number number : order) {
            network.leave(number);
            network.advance(100ms);
            network.restart(number);
            network.advance(100ms);
        }
    });
    CHECK(outcome.strayed <= maxStrayed);
    CHECK(outcome.changes == 0);
}

// All nodes die and restart at once, so that no node knows a claim or the other members.
TEST_CASE("nodes that all start at once soon agree on a coordinator")
{
    const Outcome outcome = replay([](ElectionNetwork &network, std::minstd_rand &random) {
        for (const Number number : shuffledNodes(random)) {
            network.restart(number);
        }
        network.advance(1s);
        network.resetMeasurements();
    });
    CHECK(outcome.strayed <= maxStrayed);
    CHECK(outcome.changes <= 1);
}

TEST_CASE("a coordinator keeps its role if a member joins that the hash prefers")
{
    ManualClock clock;
    std::vector<Member> members{memberOf(1), memberOf(2)};
    CoordinatorElection election(clock, "llm");
    election.setView(SessionNumber(1), viewOf(members), viewOf(members));
    election.receive({"llm", 1, SessionNumber(1)});
    for (Number number = 3; number < 40; ++number) {
        members.push_back(memberOf(number));
        CoordinatorElection newcomer(clock, "llm");
        newcomer.receive(*election.claim());
        for (auto [node, session] : {std::pair(&election, Number(1)), std::pair(&newcomer, number)}) {
            node->setView(SessionNumber(session), viewOf(members), viewOf(members));
            CHECK(coordinatorOf(*node) == SessionNumber(1));
            CHECK(!node->makeClaim());
        }
    }
}

// Guards against two members that stop at once and name each other as successor in turn, because each regards the other as
// eligible until the view shows otherwise. Each such claim would be sent to every member.
TEST_CASE("two members that are no longer eligible do not name each other in turn")
{
    ManualClock clock;
    const auto viewWithLeaving = [](Number leaving) {
        std::vector<Member> members{memberOf(1), memberOf(2)};
        members.at(leaving - 1).isLeaving = true;
        return viewOf(members);
    };
    CoordinatorElection first(clock, "llm");
    CoordinatorElection second(clock, "llm");
    const MemberViewPointer initialView = viewOf({memberOf(1), memberOf(2)});
    first.setView(SessionNumber(1), initialView, initialView);
    second.setView(SessionNumber(2), initialView, initialView);
    const CoordinatorClaim claim{"llm", 1, SessionNumber(1)};
    first.receive(claim);
    second.receive(claim);
    first.setView(SessionNumber(1), viewWithLeaving(1), viewWithLeaving(1));
    second.setView(SessionNumber(2), viewWithLeaving(2), viewWithLeaving(2));
    const std::optional<CoordinatorClaim> successorClaim = first.makeClaim();
    REQUIRE(successorClaim);
    CHECK(successorClaim->coordinator == SessionNumber(2));
    second.receive(*successorClaim);
    CHECK_FALSE(second.makeClaim());
    clock.advance(2s);
    CHECK_FALSE(second.makeClaim());
}

TEST_CASE("of two claims the higher term wins, then the higher session, and an older claim is reported as outdated")
{
    ManualClock clock;
    CoordinatorElection election(clock, "llm");
    const MemberViewPointer view = viewOf({memberOf(1), memberOf(2), memberOf(3)});
    election.setView(SessionNumber(1), view, view);
    CHECK(election.receive({"llm", 2, SessionNumber(2)}) == CoordinatorElection::ReceiveOutcome::Accepted);
    CHECK(election.receive({"llm", 1, SessionNumber(3)}) == CoordinatorElection::ReceiveOutcome::Outdated);
    CHECK(election.receive({"llm", 2, SessionNumber(1)}) == CoordinatorElection::ReceiveOutcome::Outdated);
    CHECK(election.receive({"llm", 2, SessionNumber(2)}) == CoordinatorElection::ReceiveOutcome::Known);
    CHECK(coordinatorOf(election) == SessionNumber(2));
    CHECK(election.receive({"llm", 2, SessionNumber(3)}) == CoordinatorElection::ReceiveOutcome::Accepted);
    CHECK(coordinatorOf(election) == SessionNumber(3));
}

// A node has just started, and the hash prefers it. If it claimed the role before it could learn of the coordinator, each restart
// might move the role.
TEST_CASE("a node that has just started queries for the coordinator before it claims the role")
{
    ManualClock clock;
    CoordinatorElection election(clock, "llm");
    const MemberViewPointer own = viewOf({memberOf(1)});
    election.setView(SessionNumber(1), own, own);
    CHECK(!election.isQuerying());
    CHECK(!election.makeClaim());
    Member small = memberOf(2);
    small.processorShare = 1;
    const MemberViewPointer both = viewOf({memberOf(1), small});
    election.setView(SessionNumber(1), both, both);
    CHECK(election.isQuerying());
    CHECK(!election.makeClaim());
    CHECK(election.receive(election.claimQuery()) == CoordinatorElection::ReceiveOutcome::Known);
    clock.advance(10s);
    CHECK(election.makeClaim() == CoordinatorClaim{"llm", 1, SessionNumber(1)});
    CHECK(!election.isQuerying());
    CHECK(election.receive(election.claimQuery()) == CoordinatorElection::ReceiveOutcome::Outdated);
}

// A node that is cut off regards all others as dead. A claim of its own with a higher term would take the role from its
// coordinator when the nodes reconnect.
TEST_CASE("a node that has lost most other members makes no claim")
{
    ManualClock clock;
    CoordinatorElection election(clock, "llm");
    const MemberViewPointer all = viewOf({memberOf(1), memberOf(2), memberOf(3)});
    election.setView(SessionNumber(1), all, all);
    election.receive({"llm", 1, SessionNumber(2)});
    const MemberViewPointer alone = viewOf({memberOf(1)}, true);
    election.setView(SessionNumber(1), alone, alone);
    CHECK(!election.makeClaim());
    clock.advance(10s);
    CHECK(!election.makeClaim());
    CHECK(coordinatorOf(election) == SessionNumber(1));
}

// A node that was cut off reports false deaths when it reconnects. Until they are refuted, nodes that accept the report must keep
// the coordinator, and a successor that does not find it in the view probes it.
TEST_CASE("a coordinator that is missing from the view but responds keeps its role")
{
    ManualClock clock;
    CoordinatorElection election(clock, "llm");
    std::vector<Member> members{memberOf(1), memberOf(2), memberOf(3)};
    election.setView(SessionNumber(1), viewOf(members), viewOf(members));
    election.receive({"llm", 1, SessionNumber(2)});
    members.erase(members.begin() + 1);
    election.setView(SessionNumber(1), viewOf(members), viewOf(members));
    for (int check = 0; check < 100; ++check) {
        clock.advance(200ms);
        CHECK(!election.makeClaim());
        CHECK(coordinatorOf(election) == SessionNumber(2));
        CHECK(election.suspectedCoordinator() != nullptr);
        election.recordCoordinatorAlive();
    }
}

// The VM of a dispatcher is lost. Until another node dispatches, its clients place requests by their own counts, which is worse
// under load. The membership declares the node dead only seconds later.
TEST_CASE("a coordinator that does not answer several nodes and the successor loses its role")
{
    ElectionFixture fixture;
    CoordinatorElection &election = fixture.election;
    fixture.setSelf(fixture.successor);
    for (int times = 0; times < 5; ++times) {
        fixture.suspectFrom(3, 4);
    }
    CHECK(election.suspectedCoordinator() == nullptr);
    election.receiveSuspicion({"llm", SessionNumber(6), SessionNumber(5)});
    CHECK(election.suspectedCoordinator() == nullptr);
    fixture.suspectFrom(5, 5);
    REQUIRE(election.suspectedCoordinator() != nullptr);
    CHECK(election.suspectedCoordinator()->session == SessionNumber(2));
    CHECK(!election.makeClaim());
    election.recordCoordinatorAlive();
    fixture.clock.advance(300ms);
    CHECK(!election.makeClaim());
    fixture.suspectFrom(3, 5);
    fixture.clock.advance(300ms);
    CHECK(election.makeClaim() == CoordinatorClaim{"llm", 2, fixture.successor});
    CHECK(coordinatorOf(election) == fixture.successor);
}

// Guards against probing the successor instead of the coordinator: its answer would clear the suspicions and delay its claim.
TEST_CASE("once the coordinator counts as unresponsive, no other member is probed instead")
{
    ElectionFixture fixture;
    CoordinatorElection &election = fixture.election;
    // Not the node that will claim the role: it regards the successor as the coordinator before it receives the claim.
    fixture.setSelf(fixture.successor == SessionNumber(6) ? SessionNumber(1) : SessionNumber(6));
    fixture.suspectFrom(3, 5);
    CHECK(election.suspectedCoordinator()->session == SessionNumber(2));
    fixture.clock.advance(300ms);
    CHECK(!election.makeClaim());
    CHECK(coordinatorOf(election) == fixture.successor);
    CHECK(election.suspectedCoordinator() == nullptr);
}

// A node that has just started receives the claim before gossip delivers the member that it names.
TEST_CASE("a node that has never had the coordinator in its view waits before it claims the role")
{
    ManualClock clock;
    CoordinatorElection election(clock, "llm");
    const MemberViewPointer own = viewOf({memberOf(1)});
    election.setView(SessionNumber(1), own, own);
    election.receive({"llm", 5, SessionNumber(2)});
    CHECK(!election.makeClaim());
    clock.advance(10s);
    const std::optional<CoordinatorClaim> claim = election.makeClaim();
    REQUIRE(claim);
    CHECK(*claim == CoordinatorClaim{"llm", 6, SessionNumber(1)});
}

// Half of the nodes are killed at once, including the coordinator. The successor has lost many members, as if it were cut off,
// but it receives suspicions from others. If it waited, all nodes would place requests by their own counts for seconds.
TEST_CASE("a successor that has lost many members claims the role if several others suspect the coordinator")
{
    ManualClock clock;
    CoordinatorElection election(clock, "llm");
    std::vector<Member> members;
    for (Number number = 1; number <= 10; ++number) {
        members.push_back(memberOf(number));
    }
    election.setView(SessionNumber(1), viewOf(members), viewOf(members));
    election.receive({"llm", 1, SessionNumber(10)});
    members.resize(5);
    election.setView(SessionNumber(1), viewOf(members), viewOf(members));
    const SessionNumber successor = election.successor()->session;
    election.setView(successor, viewOf(members), viewOf(members));
    clock.advance(300ms);
    CHECK(!election.makeClaim());
    for (Number from = 1; from <= 5; ++from) {
        if (SessionNumber(from) != successor) {
            election.receiveSuspicion({"llm", SessionNumber(10), SessionNumber(from)});
        }
    }
    election.makeClaim();
    CHECK(election.claim() == CoordinatorClaim{"llm", 2, successor});
}

TEST_CASE("if half of the nodes die at once with the coordinator, the others agree on one successor")
{
    const Outcome outcome = replay([](ElectionNetwork &network, std::minstd_rand &random) {
        std::vector<Number> dead = shuffledNodes(random);
        dead.resize(nodeCount / 2);
        std::erase(dead, network.coordinator());
        dead.push_back(network.coordinator());
        for (const Number number : dead) {
            network.kill(number);
        }
    });
    CHECK(outcome.strayed <= maxStrayed);
    CHECK(outcome.changes == 1);
}

TEST_CASE("a coordinator that leaves names its successor")
{
    ManualClock clock;
    CoordinatorElection election(clock, "llm");
    std::vector<Member> members{memberOf(1), memberOf(2)};
    election.setView(SessionNumber(1), viewOf(members), viewOf(members));
    election.receive({"llm", 1, SessionNumber(1)});
    members[0].isLeaving = true;
    election.setView(SessionNumber(1), viewOf(members), viewOf(members));
    CHECK(election.makeClaim() == CoordinatorClaim{"llm", 2, SessionNumber(2)});
}
