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

/** How a fleet that starts at once takes over existing jobs. */
struct Takeovers
{
    std::size_t startedTwice = 0;
    std::size_t neverStarted = 0;
};

/** @param isWaiting whether a node takes over no job while its view is unstable */
Takeovers startAll(bool isWaiting)
{
    Membership::Options options;
    options.sessionOrder = Membership::SessionOrder::Random;
    GossipNetwork network(options);
    std::map<Number, std::unique_ptr<ViewStability>> stability;
    for (Number number = 1; number <= nodeCount; ++number) {
        network.add(number, {1, 2, 3}).update([](Member &own) {
            own.isReady = true;
        });
        stability[number] = std::make_unique<ViewStability>(network.clock);
    }
    std::map<std::uint64_t, std::set<Number>> starters;
    for (std::chrono::milliseconds passed(0); passed < 3s; passed += 10ms) {
        network.clock.advance(10ms);
        for (const Number number : network.running()) {
            const MemberViewPointer view = network.member(number).view();
            stability[number]->update(*view);
            for (std::uint64_t job = 0; job < jobCount; ++job) {
                const bool mayStart = !isWaiting || stability[number]->isStable();
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

TEST_CASE("an unchanged view becomes stable, and one that never stops changing counts as stable after a time limit")
{
    ManualClock clock;
    ViewStability stability(clock);
    CHECK_FALSE(stability.isStable());
    stability.update(viewOf({1, 2}));
    clock.advance(150ms);
    stability.update(viewOf({1, 2}));
    CHECK_FALSE(stability.isStable());
    clock.advance(60ms);
    CHECK(stability.isStable());
    for (Number number = 3; number < 15; ++number) {
        stability.update(viewOf({1, number}));
        CHECK_FALSE(stability.isStable());
        clock.advance(90ms);
    }
    stability.update(viewOf({1, 20}));
    CHECK(stability.isStable());
}

// Guards against jobs that several nodes run at once after a restart of all nodes, because each does not know the others yet.
TEST_CASE("a fleet that starts at once takes over each job once")
{
    const Takeovers atOnce = startAll(false);
    const Takeovers stable = startAll(true);
    MESSAGE("jobs started by several nodes: at once " << atOnce.startedTwice << ", after the view is stable "
                                                      << stable.startedTwice);
    CHECK(stable.startedTwice * 50 <= jobCount);
    CHECK(stable.neverStarted == 0);
    CHECK(atOnce.startedTwice > stable.startedTwice * 10);
}
