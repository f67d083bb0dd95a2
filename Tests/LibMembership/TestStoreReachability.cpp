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

constexpr std::chrono::milliseconds spreadTime{1800};
constexpr std::chrono::milliseconds settlingTime = spreadTime + 2000ms;

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
    return std::make_shared<const MemberView>(members, false, spreadTime);
}

std::size_t ineligibleCount(StoreReachability &reachability)
{
    const MemberViewPointer stable = reachability.stableView();
    return static_cast<std::size_t>(std::ranges::count(stable->members(), true, &Member::hasLostStore));
}

} // namespace

// An outage of the store affects all nodes, which detect it and the recovery one after the other within seconds. If each lost its
// roles in turn, every service would have several dispatchers at once, and callers would wait in the replicas' queues.
TEST_CASE("an outage that affects all members takes roles from none")
{
    constexpr std::size_t count = 86;
    ManualClock clock;
    StoreReachability reachability(clock);
    std::minstd_rand random(7);
    std::vector<std::size_t> order(count);
    std::iota(order.begin(), order.end(), 1);
    std::set<std::size_t> lost;
    for (const bool isLoss : {true, false}) {
        std::ranges::shuffle(order, random);
        for (const std::size_t number : order) {
            isLoss ? static_cast<void>(lost.insert(number)) : static_cast<void>(lost.erase(number));
            reachability.update(viewOf(count, lost));
            CHECK(ineligibleCount(reachability) == 0);
            clock.advance(settlingTime / count);
            CHECK(ineligibleCount(reachability) == 0);
        }
        clock.advance(10s);
        CHECK(ineligibleCount(reachability) == 0);
    }
}

// A node that can't reach the store learns neither of new replicas nor of leaving ones, so another has to dispatch.
TEST_CASE("a single member without the store becomes ineligible after the settling time, until it has the store again")
{
    ManualClock clock;
    StoreReachability reachability(clock);
    reachability.update(viewOf(10, {}));
    CHECK(ineligibleCount(reachability) == 0);
    clock.advance(10s);
    reachability.update(viewOf(10, {4}));
    clock.advance(settlingTime - 1ms);
    CHECK(ineligibleCount(reachability) == 0);
    clock.advance(1ms);
    CHECK(ineligibleCount(reachability) == 1);
    CHECK(reachability.stableView() == reachability.stableView());
    reachability.update(viewOf(10, {}));
    CHECK(ineligibleCount(reachability) == 0);
}

TEST_CASE("members that lost the store together with most others keep their roles until most have it again")
{
    ManualClock clock;
    StoreReachability reachability(clock);
    reachability.update(viewOf(10, {1, 2, 3, 4, 5, 6}));
    clock.advance(60s);
    CHECK(ineligibleCount(reachability) == 0);
    reachability.update(viewOf(10, {1, 2, 3}));
    CHECK(ineligibleCount(reachability) == 0);
    clock.advance(settlingTime);
    CHECK(ineligibleCount(reachability) == 3);
}
