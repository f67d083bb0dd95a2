#include <LibBase/ManualClock.h>
#include <LibMembership/StoreReachability.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <set>
#include <vector>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds spread{1800};
constexpr std::chrono::milliseconds settling = spread + 2000ms;

MemberViewPointer viewOf(std::size_t count, const std::set<std::size_t> &lost)
{
    std::vector<Member> members;
    for (std::size_t number = 1; number <= count; ++number) {
        Member member;
        member.session = SessionNumber(number);
        member.isReady = true;
        member.hasLostStore = lost.contains(number);
        members.push_back(member);
    }
    return std::make_shared<const MemberView>(members, false, spread);
}

std::size_t cutOff(StoreReachability &reach)
{
    const MemberViewPointer settled = reach.stableView();
    return static_cast<std::size_t>(std::ranges::count(settled->members(), true, &Member::hasLostStore));
}

} // namespace

// The store goes away for all nodes, which notice it one after the other within seconds, and comes back in the same way. Were
// duties taken from each in its turn, every service would have several dispatchers at once, and callers wait in replicas' queues.
TEST_CASE("an outage that all members come to see takes duties from nobody")
{
    constexpr std::size_t count = 86;
    ManualClock clock;
    StoreReachability reach(clock);
    std::minstd_rand random(7);
    std::vector<std::size_t> order(count);
    std::iota(order.begin(), order.end(), 1);
    std::set<std::size_t> lost;
    for (const bool isLoss : {true, false}) {
        std::ranges::shuffle(order, random);
        for (const std::size_t number : order) {
            isLoss ? static_cast<void>(lost.insert(number)) : static_cast<void>(lost.erase(number));
            reach.update(viewOf(count, lost));
            CHECK(cutOff(reach) == 0);
            clock.advance(settling / count);
            CHECK(cutOff(reach) == 0);
        }
        clock.advance(10s);
        CHECK(cutOff(reach) == 0);
    }
}

// One node can't reach the store. It hears neither of new replicas nor of leaving ones, so another has to dispatch.
TEST_CASE("a member that alone is without the store is cut off after a while, and no longer than that")
{
    ManualClock clock;
    StoreReachability reach(clock);
    reach.update(viewOf(10, {}));
    CHECK(cutOff(reach) == 0);
    clock.advance(10s);
    reach.update(viewOf(10, {4}));
    clock.advance(settling - 1ms);
    CHECK(cutOff(reach) == 0);
    clock.advance(1ms);
    CHECK(cutOff(reach) == 1);
    CHECK(reach.stableView() == reach.stableView());
    reach.update(viewOf(10, {}));
    CHECK(cutOff(reach) == 0);
}

TEST_CASE("members that lost the store together with most others keep their duties until most have it again")
{
    ManualClock clock;
    StoreReachability reach(clock);
    reach.update(viewOf(10, {1, 2, 3, 4, 5, 6}));
    clock.advance(60s);
    CHECK(cutOff(reach) == 0);
    reach.update(viewOf(10, {1, 2, 3}));
    CHECK(cutOff(reach) == 0);
    clock.advance(settling);
    CHECK(cutOff(reach) == 3);
}
