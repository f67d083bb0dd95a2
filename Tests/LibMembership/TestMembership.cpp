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

/** Starts nodes 1 to count, each knowing the first, and lets them meet. */
void startFleet(GossipNetwork &network, Number count)
{
    for (Number number = 1; number <= count; ++number) {
        network.add(number, {1});
    }
    network.clock.advance(10s);
    REQUIRE(network.isConverged());
}

bool isGone(GossipNetwork &network, Number seenBy, Number number)
{
    return network.member(seenBy).view()->find(SessionNumber(number)) == nullptr;
}

} // namespace

TEST_CASE("nodes that know one contact learn of all")
{
    GossipNetwork network;
    startFleet(network, 11);
    network.add(12, {7});
    network.clock.advance(3s);
    CHECK(network.isConverged());
}

TEST_CASE("nodes learn of all although every fifth datagram is lost")
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

TEST_CASE("a node that falls silent is dead to all others, and comes back when it is heard again")
{
    GossipNetwork network;
    startFleet(network, 11);
    network.isCut = [](Number from, Number to) {
        return from == 3 || to == 3;
    };
    network.clock.advance(5s);
    for (const Number number : network.running()) {
        CHECK(isGone(network, number, 3) == (number != 3));
    }
    network.isCut = nullptr;
    network.clock.advance(15s);
    CHECK(network.isConverged());
}

TEST_CASE("a leaving node that dies is noticed")
{
    // Callers are sent to a node that is gone. It had told that it stops as planned, and then its VM was taken away; were
    // leaving held for graver than suspect, nobody could suspect it any more.
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

TEST_CASE("a node that leaves is gone for all without suspicion, and late gossip does not bring it back")
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

TEST_CASE("a paused node accuses nobody when it wakes")
{
    // Every shard of the fleet changes hands at once. A node is stopped for a minute; when it runs again, all its timers
    // are late before it has read one of the answers that wait in its socket, and it holds every other node dead.
    GossipNetwork network;
    startFleet(network, 11);
    network.pause(4);
    network.clock.advance(60s);
    std::set<Number> accused;
    network.onView = [&accused](Number seenBy, const MemberView &view) {
        for (const Member &member : view.members()) {
            if (member.state == MemberState::Suspect && (seenBy == 4 || member.session.value() != 4)) {
                accused.insert(member.session.value());
            }
        }
    };
    network.resume(4);
    network.clock.advance(20s);
    CHECK(accused.empty());
    CHECK(network.isConverged());
}

TEST_CASE("a node that hears nobody accuses nobody for a while, and takes the silence for true in the end")
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

TEST_CASE("a cut in one direction between two nodes kills neither")
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

TEST_CASE("regions that lost each other for minutes meet again")
{
    // Nine nodes in three regions; the third loses the others for three minutes. Each side holds the other dead, and the
    // smaller one knows that it is the smaller one. Nobody speaks first to those it holds dead unless that is provided for.
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
    Member again;
    again.session = SessionNumber(103);
    again.gossip = GossipNetwork::addressOf(3);
    MembersPush push{SessionNumber(1), {again}, {}};
    network.member(1).receive(GossipNetwork::addressOf(1), push);
    CHECK(isGone(network, 1, 3));
}

// Callers are sent to an address where nobody listens any more, or to none where a node has started again. A VM's process is
// killed and starts anew; its number is drawn at random, so it tells nothing of which of the two is over.
TEST_CASE("a session ends the one that had its address before, whatever their numbers")
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

// A late word of a node that is over says that its successor at the same address is the one that is over. The successor would
// be left out by all others for as long as it lives: nobody sends callers to it.
TEST_CASE("a node that the others hold over by mistake goes on under another number")
{
    Membership::Options options;
    options.sessionOrder = Membership::SessionOrder::Random;
    GossipNetwork network(options);
    startFleet(network, 5);
    MemberNews over;
    over.session = SessionNumber(3);
    over.state = MemberState::Left;
    network.member(1).receive(GossipNetwork::addressOf(2), MembersPush{SessionNumber(2), {}, {over}});
    REQUIRE(isGone(network, 1, 3));
    network.clock.advance(5s);
    CHECK(network.sessionOf(3) != SessionNumber(3));
    CHECK(network.isConverged());
}

// Hundreds of nodes start in the same moment, and two have drawn one number. Each takes what the others say of its namesake for
// its own, the others know only one of the two, and one node never gets a caller.
TEST_CASE("two nodes with one session number notice it and take others")
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

TEST_CASE("a confirmed suspicion ends sooner than one that nobody confirms")
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

TEST_CASE("members are merged to the same whatever the order")
{
    CHECK(rc::check([] {
        std::vector<MemberNews> news;
        const auto count = *rc::gen::inRange<std::size_t>(1, 12);
        for (std::size_t i = 0; i < count; ++i) {
            MemberNews &piece = news.emplace_back();
            piece.session = SessionNumber(2);
            piece.incarnation = *rc::gen::inRange<std::uint64_t>(0, 4);
            piece.state = *rc::gen::element(MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left);
        }
        const auto mergeAll = [](const std::vector<MemberNews> &pieces) {
            Member self;
            self.session = SessionNumber(1);
            Member other;
            other.session = SessionNumber(2);
            MemberTable table(self, SteadyTime());
            table.merge(other, SteadyTime());
            std::uint64_t incarnation = 0;
            for (const MemberNews &piece : pieces) {
                const bool wasLeft = table.find(SessionNumber(2))->member.state == MemberState::Left;
                table.merge(piece, SteadyTime());
                const Member &member = table.find(SessionNumber(2))->member;
                RC_ASSERT(member.state == MemberState::Left || member.incarnation >= incarnation);
                RC_ASSERT(!wasLeft || member.state == MemberState::Left);
                incarnation = member.incarnation;
            }
            return table.find(SessionNumber(2))->member.state;
        };
        std::vector<MemberNews> backwards = news;
        std::ranges::reverse(backwards);
        RC_ASSERT(mergeAll(news) == mergeAll(backwards));
    }));
}

TEST_CASE("whatever happens to a fleet, it comes to know who is there, and the dead stay dead")
{
    // Random kills, pauses, cuts, joins and planned stops of a small fleet with lost datagrams. A node that was seen dead
    // may be seen again only at an incarnation that it raised itself, no incarnation goes back, and in the end all agree.
    CHECK(rc::check([] {
        GossipNetwork network({}, *rc::gen::arbitrary<std::uint64_t>());
        std::map<std::pair<Number, Number>, std::uint64_t> lastSeen;
        std::map<std::pair<Number, Number>, std::uint64_t> buriedAt;
        std::size_t violations = 0;
        network.onView = [&](Number seenBy, const MemberView &view) {
            for (const Member &member : view.members()) {
                const std::pair<Number, Number> pair{seenBy, member.session.value()};
                const auto buried = buriedAt.find(pair);
                violations += buried != buriedAt.end() && member.incarnation <= buried->second ? 1 : 0;
                violations += member.incarnation < lastSeen[pair] ? 1 : 0;
                lastSeen[pair] = member.incarnation;
            }
            for (const auto &[pair, incarnation] : lastSeen) {
                if (pair.first == seenBy && view.find(SessionNumber(pair.second)) == nullptr) {
                    buriedAt[pair] = incarnation;
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
            const Number chosen = *rc::gen::elementOf(running);
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                if (running.size() > 3) {
                    network.kill(chosen);
                }
                break;
            case 1:
                if (running.size() > 3) {
                    network.member(chosen).leave();
                    network.kill(chosen);
                }
                break;
            case 2:
                network.pause(chosen);
                network.clock.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 8000)));
                network.resume(chosen);
                break;
            case 3:
                network.isCut = [chosen](Number from, Number to) {
                    return (from <= chosen) != (to <= chosen);
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

TEST_CASE("losing one member moves only what it owned")
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
