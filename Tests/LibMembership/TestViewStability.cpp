#include <LibBase/ManualClock.h>
#include <LibMembership/RoleAssignment.h>
#include <LibMembership/ViewStability.h>
#include <Tests/Fakes/GossipNetwork.h>

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

using Number = GossipNetwork::Number;

constexpr Number nodeCount = 60;
constexpr std::uint64_t jobCount = 200;

MemberView viewOf(const std::vector<Number> &numbers)
{
    std::vector<Member> members;
    for (const Number number : numbers) {
        Member member;
        member.session = SessionNumber(number);
        member.isReady = true;
        members.push_back(member);
    }
    return MemberView(members);
}

/** What a fleet that starts at once does with the jobs that it finds. */
struct Takeovers
{
    std::size_t startedTwice = 0;
    std::size_t neverStarted = 0;
};

/** @param waits whether a node takes nothing over while its view moves */
Takeovers startAll(bool waits)
{
    Membership::Options options;
    options.sessionOrder = Membership::SessionOrder::Random;
    GossipNetwork network(options);
    std::map<Number, std::unique_ptr<ViewStability>> settling;
    for (Number number = 1; number <= nodeCount; ++number) {
        network.add(number, {1, 2, 3}).update([](Member &own) {
            own.isReady = true;
        });
        settling[number] = std::make_unique<ViewStability>(network.clock);
    }
    std::map<std::uint64_t, std::set<Number>> starters;
    for (std::chrono::milliseconds passed(0); passed < 3s; passed += 10ms) {
        network.clock.advance(10ms);
        for (const Number number : network.running()) {
            const MemberViewPointer view = network.member(number).view();
            settling[number]->update(*view);
            for (std::uint64_t job = 0; job < jobCount; ++job) {
                const bool mayStart = !waits || settling[number]->isStable();
                if (mayStart && hasRole(*view, network.sessionOf(number), job * 7919)) {
                    starters[job].insert(number);
                }
            }
        }
    }
    Takeovers takeovers;
    for (std::uint64_t job = 0; job < jobCount; ++job) {
        takeovers.startedTwice += starters[job].size() > 1 ? 1 : 0;
        takeovers.neverStarted += starters[job].empty() ? 1 : 0;
    }
    return takeovers;
}

} // namespace

TEST_CASE("members that stand still are settled, and those that never do are not waited for")
{
    ManualClock clock;
    ViewStability settling(clock);
    CHECK_FALSE(settling.isStable());
    settling.update(viewOf({1, 2}));
    clock.advance(150ms);
    settling.update(viewOf({1, 2}));
    CHECK_FALSE(settling.isStable());
    clock.advance(60ms);
    CHECK(settling.isStable());
    for (Number number = 3; number < 15; ++number) {
        settling.update(viewOf({1, number}));
        CHECK_FALSE(settling.isStable());
        clock.advance(90ms);
    }
    settling.update(viewOf({1, 20}));
    CHECK(settling.isStable());
}

// Guards against jobs that several nodes run at once after a loss of all nodes, each because it does not know the others yet.
TEST_CASE("a fleet that starts at once takes each job over once")
{
    const Takeovers atOnce = startAll(false);
    const Takeovers settled = startAll(true);
    MESSAGE("jobs started by several nodes: at once " << atOnce.startedTwice << ", settled " << settled.startedTwice);
    CHECK(settled.startedTwice * 50 <= jobCount);
    CHECK(settled.neverStarted == 0);
    CHECK(atOnce.startedTwice > settled.startedTwice * 10);
}
