#include <Tests/Fakes/GossipNetwork.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

using Number = GossipNetwork::Number;

/** Starts nodes 1 to count, each with the first as its contact, and waits until all know each other. */
void startFleet(GossipNetwork &network, Number count)
{
    for (Number number = 1; number <= count; ++number) {
        network.add(number, {1});
    }
    network.clock.advance(10s);
    REQUIRE(network.isConverged());
}

bool isAbsent(GossipNetwork &network, Number seenBy, Number number)
{
    return network.member(seenBy).view()->find(SessionNumber(number)) == nullptr;
}

} // namespace

TEST_CASE("nodes that know one contact learn of all members")
{
    GossipNetwork network;
    startFleet(network, 11);
    network.add(12, {7});
    network.clock.advance(3s);
    CHECK(network.isConverged());
}

TEST_CASE("nodes learn of all members although every fifth datagram is lost")
{
    GossipNetwork network;
    network.loss = 0.2;
    for (Number number = 1; number <= 30; ++number) {
        network.add(number, {1});
    }
    network.clock.advance(30s);
    network.loss = 0;
    network.clock.advance(10s);
    CHECK(network.isConverged());
}

TEST_CASE("a node that becomes unreachable is declared dead by all others, and returns when it is reachable again")
{
    GossipNetwork network;
    startFleet(network, 11);
    network.isCut = [](Number from, Number to) {
        return from == 3 || to == 3;
    };
    network.clock.advance(5s);
    for (const Number number : network.running()) {
        CHECK(isAbsent(network, number, 3) == (number != 3));
    }
    network.isCut = nullptr;
    network.clock.advance(15s);
    CHECK(network.isConverged());
}

TEST_CASE("the death of a leaving node is detected")
{
    // Guards against callers that are sent to a removed node: it reported that it leaves, and then its VM was removed. If Leaving
    // were more severe than Suspect, no member could suspect it any more.
    GossipNetwork network;
    startFleet(network, 5);
    network.member(2).update([](Member &member) {
        member.state = MemberState::Leaving;
    });
    network.clock.advance(2s);
    REQUIRE((network.member(4).view()->find(SessionNumber(2))->state == MemberState::Leaving));
    network.kill(2);
    network.clock.advance(5s);
    CHECK(network.isConverged());
}

TEST_CASE("a node that leaves is removed by all without suspicion, and late gossip does not restore it")
{
    GossipNetwork network;
    startFleet(network, 11);
    bool wasSuspected = false;
    network.onView = [&wasSuspected](Number, const MemberView &view) {
        const Member *const member = view.find(SessionNumber(5));
        wasSuspected = wasSuspected || (member != nullptr && member->state == MemberState::Suspect);
    };
    network.member(5).leave();
    network.kill(5);
    network.clock.advance(1s);
    CHECK(network.isConverged());
    CHECK(!wasSuspected);
    MembersPush late{SessionNumber(1), {}, {}};
    Member &member = late.members.emplace_back();
    member.session = SessionNumber(5);
    member.incarnation = 100;
    network.member(1).receive(GossipNetwork::addressOf(2), late);
    network.clock.advance(2s);
    CHECK(network.isConverged());
}

TEST_CASE("a paused node suspects no other member when it resumes")
{
    // Guards against every shard of the fleet changing its owner at once. After a pause of a minute, all timers of a node are
    // late before it has read any of the answers in its socket, and it would declare every other node dead.
    GossipNetwork network;
    startFleet(network, 11);
    network.pause(4);
    network.clock.advance(60s);
    std::set<Number> suspected;
    network.onView = [&suspected](Number seenBy, const MemberView &view) {
        for (const Member &member : view.members()) {
            if (member.state == MemberState::Suspect && (seenBy == 4 || member.session.value() != 4)) {
                suspected.insert(member.session.value());
            }
        }
    };
    network.resume(4);
    network.clock.advance(20s);
    CHECK(suspected.empty());
    CHECK(network.isConverged());
}

TEST_CASE("a node that receives nothing suspects no member for a while, and declares the others dead in the end")
{
    GossipNetwork network;
    startFleet(network, 5);
    network.isCut = [](Number, Number to) {
        return to == 2;
    };
    network.clock.advance(2s);
    CHECK(network.member(2).view()->members().size() == 5);
    for (const Number number : {Number(1), Number(3), Number(4), Number(5)}) {
        network.kill(number);
    }
    network.clock.advance(20s);
    CHECK(network.member(2).view()->members().size() == 1);
    CHECK(network.member(2).view()->isMinority());
}

TEST_CASE("if datagrams from one node to another are lost in one direction, neither is declared dead")
{
    GossipNetwork network;
    startFleet(network, 7);
    network.isCut = [](Number from, Number to) {
        return from == 2 && to == 5;
    };
    bool wasLost = false;
    network.onView = [&wasLost](Number, const MemberView &view) {
        wasLost = wasLost || view.members().size() < 7;
    };
    network.clock.advance(60s);
    CHECK(!wasLost);
}

TEST_CASE("regions that were partitioned for minutes merge again")
{
    // Nine nodes in three regions; the third is cut off for three minutes. Each side declares the other dead, and the smaller
    // side detects that it is the minority. Unless dead members are probed from time to time, neither side contacts the other
    // again.
    GossipNetwork network;
    startFleet(network, 9);
    network.isCut = [](Number from, Number to) {
        return (from > 6) != (to > 6);
    };
    network.clock.advance(180s);
    CHECK(network.sees(1, {1, 2, 3, 4, 5, 6}));
    CHECK(network.sees(9, {7, 8, 9}));
    CHECK(!network.member(1).view()->isMinority());
    CHECK(network.member(9).view()->isMinority());
    network.isCut = nullptr;
    network.clock.advance(30s);
    CHECK(network.isConverged());
    CHECK(!network.member(9).view()->isMinority());
}

TEST_CASE("a later session at the same address ends the earlier one at once")
{
    GossipNetwork network;
    startFleet(network, 5);
    network.kill(3);
    Member restarted;
    restarted.session = SessionNumber(103);
    restarted.gossip = GossipNetwork::addressOf(3);
    MembersPush push{SessionNumber(1), {restarted}, {}};
    network.member(1).receive(GossipNetwork::addressOf(1), push);
    CHECK(isAbsent(network, 1, 3));
}

// Guards against callers that are sent to an address without a listener, or that are not sent to a node that has restarted. The
// process of a VM is killed and restarted; session numbers are random, so their order does not show which session has ended.
TEST_CASE("a session ends the previous one at its address, whatever their numbers")
{
    for (const GossipNetwork::Number next : {GossipNetwork::Number(2), GossipNetwork::Number(500)}) {
        Membership::Options options;
        options.sessionOrder = Membership::SessionOrder::Random;
        GossipNetwork network(options);
        for (Number number = 1; number <= 5; ++number) {
            network.add(number, {1}, SessionNumber(100 + number));
        }
        network.clock.advance(10s);
        REQUIRE(network.isConverged());
        bool wasSuspected = false;
        network.onView = [&wasSuspected](Number, const MemberView &view) {
            const Member *const member = view.find(SessionNumber(103));
            wasSuspected = wasSuspected || (member != nullptr && member->state == MemberState::Suspect);
        };
        network.kill(3);
        network.add(3, {1}, SessionNumber(next));
        network.clock.advance(1s);
        CHECK(network.isConverged());
        CHECK(!wasSuspected);
    }
}

// Guards against a node that never gets callers: a late update of an ended session states that its successor at the same
// address has left, and all others would ignore the successor for as long as it lives.
TEST_CASE("a node whose session the others regard as ended by mistake continues under another number")
{
    Membership::Options options;
    options.sessionOrder = Membership::SessionOrder::Random;
    GossipNetwork network(options);
    startFleet(network, 5);
    MemberUpdate ended;
    ended.session = SessionNumber(3);
    ended.state = MemberState::Left;
    network.member(1).receive(GossipNetwork::addressOf(2), MembersPush{SessionNumber(2), {}, {ended}});
    REQUIRE(isAbsent(network, 1, 3));
    network.clock.advance(5s);
    CHECK(network.sessionOf(3) != SessionNumber(3));
    CHECK(network.isConverged());
}

// Guards against two nodes that draw the same session number when hundreds start at once. Each would apply the updates about the
// other to itself, the other members would know only one of the two, and one node would never get callers.
TEST_CASE("two nodes with the same session number detect it and change their numbers")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Membership::Options options;
        options.sessionOrder = Membership::SessionOrder::Random;
        GossipNetwork network(options, seed);
        for (Number number = 1; number <= 12; ++number) {
            const bool isNamesake = number == 5 || number == 9;
            network.add(number, {1}, SessionNumber(isNamesake ? 77 : 100 + number));
        }
        network.clock.advance(10s);
        CHECK(network.sessionOf(5) != network.sessionOf(9));
        CHECK(network.isConverged());
    }
}

TEST_CASE("a confirmed suspicion expires sooner than an unconfirmed one")
{
    const Suspicion::Options options{1000ms, 3000ms, 3};
    Suspicion suspicion(SteadyTime(), SessionNumber(1), options);
    CHECK(suspicion.deadline() == SteadyTime(3000ms));
    CHECK(!suspicion.confirm(SessionNumber(1)));
    CHECK(suspicion.confirm(SessionNumber(2)));
    CHECK(suspicion.deadline() == SteadyTime(2000ms));
    CHECK(suspicion.confirm(SessionNumber(3)));
    CHECK(suspicion.confirm(SessionNumber(4)));
    CHECK(suspicion.deadline() == SteadyTime(1000ms));
    CHECK(!suspicion.confirm(SessionNumber(5)));
}

TEST_CASE("merging updates of a member gives the same result in any order")
{
    CHECK(rc::check([] {
        std::vector<MemberUpdate> updates;
        const auto count = *rc::gen::inRange<std::size_t>(1, 12);
        for (std::size_t i = 0; i < count; ++i) {
            MemberUpdate &memberUpdate = updates.emplace_back();
            memberUpdate.session = SessionNumber(2);
            memberUpdate.incarnation = *rc::gen::inRange<std::uint64_t>(0, 4);
            memberUpdate.state
                = *rc::gen::element(MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left);
        }
        const auto mergeAll = [](const std::vector<MemberUpdate> &memberUpdates) {
            Member self;
            self.session = SessionNumber(1);
            Member other;
            other.session = SessionNumber(2);
            MemberTable table(self, SteadyTime());
            table.merge(other, SteadyTime());
            std::uint64_t incarnation = 0;
            for (const MemberUpdate &memberUpdate : memberUpdates) {
                const bool wasLeft = table.find(SessionNumber(2))->member.state == MemberState::Left;
                table.merge(memberUpdate, SteadyTime());
                const Member &member = table.find(SessionNumber(2))->member;
                RC_ASSERT(member.state == MemberState::Left || member.incarnation >= incarnation);
                RC_ASSERT(!wasLeft || member.state == MemberState::Left);
                incarnation = member.incarnation;
            }
            return table.find(SessionNumber(2))->member.state;
        };
        std::vector<MemberUpdate> reversed = updates;
        std::ranges::reverse(reversed);
        RC_ASSERT(mergeAll(updates) == mergeAll(reversed));
    }));
}

TEST_CASE("after random faults the views converge, and dead members stay dead")
{
    // Random kills, pauses, partitions, joins and planned stops in a small fleet with lost datagrams. A node that was declared
    // dead may return only with a higher incarnation, no incarnation decreases, and in the end all views are the same.
    CHECK(rc::check([] {
        GossipNetwork network({}, *rc::gen::arbitrary<std::uint64_t>());
        std::map<std::pair<Number, Number>, std::uint64_t> lastSeen;
        std::map<std::pair<Number, Number>, std::uint64_t> deadAt;
        std::size_t violations = 0;
        network.onView = [&](Number seenBy, const MemberView &view) {
            for (const Member &member : view.members()) {
                const std::pair<Number, Number> pair{seenBy, member.session.value()};
                const auto dead = deadAt.find(pair);
                violations += dead != deadAt.end() && member.incarnation <= dead->second ? 1 : 0;
                violations += member.incarnation < lastSeen[pair] ? 1 : 0;
                lastSeen[pair] = member.incarnation;
            }
            for (const auto &[pair, incarnation] : lastSeen) {
                if (pair.first == seenBy && view.find(SessionNumber(pair.second)) == nullptr) {
                    deadAt[pair] = incarnation;
                }
            }
        };
        for (Number number = 1; number <= 6; ++number) {
            network.add(number, {1, 2});
        }
        network.clock.advance(5s);
        network.loss = 0.05;
        Number next = 7;
        const auto steps = *rc::gen::inRange<int>(1, 8);
        for (int i = 0; i < steps; ++i) {
            const std::vector<Number> running = network.running();
            const Number selected = *rc::gen::elementOf(running);
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                if (running.size() > 3) {
                    network.kill(selected);
                }
                break;
            case 1:
                if (running.size() > 3) {
                    network.member(selected).leave();
                    network.kill(selected);
                }
                break;
            case 2:
                network.pause(selected);
                network.clock.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 8000)));
                network.resume(selected);
                break;
            case 3:
                network.isCut = [selected](Number from, Number to) {
                    return (from <= selected) != (to <= selected);
                };
                network.clock.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 20000)));
                network.isCut = nullptr;
                break;
            default:
                network.add(next++, running);
            }
            network.clock.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 3000)));
        }
        network.loss = 0;
        network.clock.advance(90s);
        RC_ASSERT(violations == 0U);
        RC_ASSERT(network.isConverged());
    }));
}

TEST_CASE("losing one member moves only the shards that it owned")
{
    std::vector<Member> members;
    for (std::uint64_t number = 1; number <= 11; ++number) {
        Member &member = members.emplace_back();
        member.session = SessionNumber(number);
    }
    const MemberView before(members);
    members.erase(members.begin() + 4);
    const MemberView after(members);
    std::size_t moved = 0;
    for (std::uint32_t shard = 0; shard < 256; ++shard) {
        const SessionNumber owner = before.ownerOf(ShardNumber(shard))->session;
        if (owner == SessionNumber(5)) {
            ++moved;
            continue;
        }
        CHECK(after.ownerOf(ShardNumber(shard))->session == owner);
    }
    CHECK(moved > 0);
}
