#include <Tests/LibWorkspace/QuotaFleet.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace Dogwoodkeel;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr QuotaBounds bounds{seconds(5), 0.1, 20};
constexpr RequestQuota small{5, 5};
constexpr RequestQuota large{60, 60};

double bound(const RequestQuota &quota)
{
    return bounds.allowed(quota) + bounds.tolerance(quota);
}

/** A load of requests that arrive evenly at a range of nodes. */
struct Load
{
    double perSecond = 0;
    std::size_t firstNode = 0;
    std::size_t nodes = 0;
};

void play(QuotaFleet &fleet, const Load &load, milliseconds length)
{
    const milliseconds step(5);
    double due = 0;
    std::size_t next = 0;
    for (milliseconds passed(0); passed < length; passed += step) {
        due += load.perSecond * std::chrono::duration<double>(step).count();
        for (; due >= 1; due -= 1) {
            // Steps over the nodes, so that consecutive requests arrive at nodes that are not adjacent.
            fleet.request(load.firstNode + next++ * 7 % load.nodes);
        }
        fleet.time.runFor(step);
    }
}

/** Applies a load to all nodes. */
void playEverywhere(QuotaFleet &fleet, double perSecond, milliseconds length)
{
    play(fleet, {perSecond, 0, fleet.size()}, length);
}

} // namespace

TEST_CASE("callers within the limit are never refused while nothing fails")
{
    for (const RequestQuota &quota : {small, large}) {
        QuotaFleet fleet(59, bounds, quota, 1);
        fleet.setCoordinator(0);
        playEverywhere(fleet, 0, seconds(6));
        // A bursty load: below the limit most of the time, and above it for about two of five seconds.
        for (int wave = 0; wave < 6; ++wave) {
            playEverywhere(fleet, quota.perSecond * 0.24, seconds(3));
            playEverywhere(fleet, quota.perSecond * 1.16, milliseconds(2200));
        }
        CHECK(fleet.overLimit == 0);
        CHECK(fleet.unknown == 0);
    }
}

TEST_CASE("overload gets its limit and no more, whichever nodes it arrives at")
{
    for (const RequestQuota &quota : {small, large}) {
        QuotaFleet fleet(59, bounds, quota, 2);
        fleet.setCoordinator(0);
        playEverywhere(fleet, 0, seconds(6));
        play(fleet, {quota.perSecond * 8, 3, 4}, seconds(6));
        play(fleet, {quota.perSecond * 8, 30, 4}, seconds(6));
        CHECK(static_cast<double>(fleet.maxInWindow()) <= bound(quota));
        CHECK(static_cast<double>(fleet.granted.size()) >= quota.perSecond * 12);
    }
}

// Guards against granting the limit twice when its counter is lost: the successor does not know what was used.
TEST_CASE("the limit holds when a counter is killed under overload, and others take over at once")
{
    for (const RequestQuota &quota : {small, large}) {
        QuotaFleet fleet(59, bounds, quota, 3);
        fleet.setCoordinator(0);
        playEverywhere(fleet, 0, seconds(6));
        playEverywhere(fleet, quota.perSecond * 6, seconds(4));
        fleet.kill(0);
        playEverywhere(fleet, quota.perSecond * 6, milliseconds(400));
        fleet.setCoordinator(1);
        playEverywhere(fleet, quota.perSecond * 6, seconds(6));
        CHECK(static_cast<double>(fleet.maxInWindow()) <= bound(quota));
    }
}

TEST_CASE("callers within the limit are hardly refused when a counter is lost")
{
    for (const RequestQuota &quota : {small, large}) {
        QuotaFleet fleet(59, bounds, quota, 4);
        fleet.setCoordinator(0);
        playEverywhere(fleet, quota.perSecond * 0.6, seconds(10));
        fleet.kill(0);
        playEverywhere(fleet, quota.perSecond * 0.6, milliseconds(400));
        fleet.setCoordinator(1);
        playEverywhere(fleet, quota.perSecond * 0.6, seconds(10));
        const std::size_t refused = fleet.overLimit + fleet.unknown;
        CHECK_MESSAGE(refused * 200 <= fleet.requests, refused);
    }
}

// Guards against granting the limit again after a restart: all nodes lose power under overload and restart a second later.
TEST_CASE("the limit holds when all nodes are lost and restart")
{
    for (const RequestQuota &quota : {small, large}) {
        QuotaFleet fleet(59, bounds, quota, 5);
        fleet.setCoordinator(0);
        playEverywhere(fleet, 0, seconds(6));
        playEverywhere(fleet, quota.perSecond * 8, seconds(3));
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            fleet.kill(node);
        }
        fleet.isAnyClaimed = false;
        fleet.time.runFor(seconds(1));
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            fleet.start(node);
            // Views differ until there is a claim: two nodes regard themselves as the coordinator.
            fleet.setCoordinator(node, node % 2 == 0 ? 4 : 9);
        }
        playEverywhere(fleet, quota.perSecond * 8, milliseconds(500));
        fleet.setCoordinator(4);
        playEverywhere(fleet, quota.perSecond * 8, seconds(6));
        CHECK(static_cast<double>(fleet.maxInWindow()) <= bound(quota));
    }
}

// Guards against many counters at once: restarted nodes serve callers before they have discovered the other nodes.
TEST_CASE("the limit holds when all nodes restart and each one regards itself as the counter at first")
{
    for (const RequestQuota &quota : {small, large}) {
        QuotaFleet fleet(59, bounds, quota, 14);
        fleet.setCoordinator(0);
        playEverywhere(fleet, 0, seconds(6));
        playEverywhere(fleet, quota.perSecond * 8, seconds(3));
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            fleet.kill(node);
        }
        fleet.isAnyClaimed = false;
        fleet.time.runFor(seconds(1));
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            fleet.start(node);
            fleet.setCoordinator(node, node);
        }
        playEverywhere(fleet, quota.perSecond * 8, milliseconds(500));
        fleet.setCoordinator(4);
        playEverywhere(fleet, quota.perSecond * 8, seconds(6));
        CHECK(static_cast<double>(fleet.maxInWindow()) <= bound(quota));
    }
}

TEST_CASE("a third of the nodes, each isolated, keep serving and keep the limit together with the others")
{
    for (const RequestQuota &quota : {small, large}) {
        QuotaFleet fleet(60, bounds, quota, 6);
        fleet.setCoordinator(59);
        playEverywhere(fleet, quota.perSecond, seconds(6));
        for (std::size_t node = 0; node < 20; ++node) {
            fleet.cut(node, true);
        }
        const std::size_t before = fleet.granted.size();
        playEverywhere(fleet, quota.perSecond * 8, seconds(10));
        CHECK(static_cast<double>(fleet.maxInWindow()) <= bound(quota));
        CHECK(static_cast<double>(fleet.granted.size() - before) >= quota.perSecond * 10 * 0.9);
    }
}

// Guards against two counters that each grant the whole limit: a disconnected counter does not know that it was replaced.
TEST_CASE("a counter that is disconnected or paused under overload gives up its role")
{
    for (const RequestQuota &quota : {small, large}) {
        for (const bool isFrozen : {false, true}) {
            QuotaFleet fleet(59, bounds, quota, 12);
            fleet.setCoordinator(20);
            playEverywhere(fleet, quota.perSecond * 0.3, seconds(8));
            fleet.cut(20, !isFrozen);
            if (isFrozen) {
                fleet.setFrozen(20, true);
            }
            playEverywhere(fleet, quota.perSecond * 8, milliseconds(350));
            for (std::size_t node = 0; node < fleet.size(); ++node) {
                fleet.setCoordinator(node, node == 20 ? 20 : 21);
            }
            fleet.claim(21);
            // Half of the load arrives at the node of the old counter.
            for (int step = 0; step < 40; ++step) {
                play(fleet, {quota.perSecond * 8, 20, 1}, milliseconds(100));
                playEverywhere(fleet, quota.perSecond * 8, milliseconds(100));
            }
            fleet.cut(20, false);
            if (isFrozen) {
                fleet.setFrozen(20, false);
            }
            fleet.claim(20);
            playEverywhere(fleet, quota.perSecond * 8, milliseconds(100));
            fleet.setCoordinator(20, 21);
            playEverywhere(fleet, quota.perSecond * 8, seconds(3));
            CHECK_MESSAGE(static_cast<double>(fleet.maxInWindow()) <= bound(quota), fleet.maxInWindow());
        }
    }
}

// Guards against granting the whole limit in each part of a partitioned fleet, where each part has a counter.
TEST_CASE("a partitioned fleet keeps the limit, whichever part the counter is in, and keeps serving")
{
    for (const RequestQuota &quota : {small, large}) {
        for (const std::size_t first : {std::size_t(9), std::size_t(21), std::size_t(30)}) {
            // The successor, which is the next node, is in the other part.
            for (const std::size_t coordinator : {first - 1, std::size_t(58)}) {
                QuotaFleet fleet(59, bounds, quota, 13);
                fleet.setCoordinator(coordinator);
                playEverywhere(fleet, 0, seconds(6));
                playEverywhere(fleet, quota.perSecond * 4, seconds(2));
                fleet.cutInTwo(first);
                playEverywhere(fleet, quota.perSecond * 4, milliseconds(350));
                // The nodes that are separated from the counter get another one.
                const std::size_t other = (coordinator + 1) % fleet.size();
                for (std::size_t node = 0; node < fleet.size(); ++node) {
                    fleet.setCoordinator(node, (node < first) == (coordinator < first) ? coordinator : other);
                }
                fleet.claim(other);
                const std::size_t before = fleet.granted.size();
                playEverywhere(fleet, quota.perSecond * 8, seconds(12));
                CHECK_MESSAGE(static_cast<double>(fleet.maxInWindow()) <= bound(quota), first, coordinator, fleet.maxInWindow());
                // With two equal halves neither knows that it is the larger part.
                const double served = first == 30 ? 0.6 : 0.8;
                CHECK(static_cast<double>(fleet.granted.size() - before) >= quota.perSecond * 12 * served);
                fleet.cutInTwo(0);
                fleet.setCoordinator(other);
                playEverywhere(fleet, quota.perSecond * 8, seconds(8));
                CHECK_MESSAGE(static_cast<double>(fleet.maxInWindow()) <= bound(quota), first, coordinator, fleet.maxInWindow());
            }
        }
    }
}

// Guards against isolated nodes that each grant the whole remaining quota: none knows what the others grant.
TEST_CASE("nodes that are all isolated from each other keep the limit together")
{
    for (const RequestQuota &quota : {small, large}) {
        QuotaFleet fleet(59, bounds, quota, 9);
        fleet.setCoordinator(0);
        playEverywhere(fleet, quota.perSecond, seconds(10));
        playEverywhere(fleet, quota.perSecond * 8, seconds(2));
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            fleet.cut(node, true);
        }
        playEverywhere(fleet, quota.perSecond * 20, seconds(8));
        CHECK(static_cast<double>(fleet.maxInWindow()) <= bound(quota));
    }
}

// Guards against a role that moves because of a changed view, without an unresponsive node and without a handover.
TEST_CASE("a counter that takes over without a handover assumes that the quota is used up")
{
    for (const RequestQuota &quota : {small, large}) {
        QuotaFleet fleet(59, bounds, quota, 10);
        fleet.setCoordinator(0);
        playEverywhere(fleet, 0, seconds(6));
        playEverywhere(fleet, quota.perSecond * 8, seconds(2));
        fleet.setCoordinator(1);
        playEverywhere(fleet, quota.perSecond * 8, seconds(6));
        CHECK(static_cast<double>(fleet.maxInWindow()) <= bound(quota));
    }
}

// Guards against counting a query twice that is sent again because its answer was lost.
TEST_CASE("callers within the limit are hardly refused when every tenth datagram is lost")
{
    QuotaFleet fleet(59, bounds, large, 11);
    fleet.links = {0.1, 0.1};
    fleet.setCoordinator(0);
    playEverywhere(fleet, 0, seconds(6));
    playEverywhere(fleet, large.perSecond * 0.9, seconds(20));
    CHECK(fleet.overLimit == 0);
    CHECK(fleet.unknown * 200 <= fleet.requests);
}

TEST_CASE("a planned handover passes on the remaining quotas, so that it causes no refusals")
{
    QuotaFleet fleet(59, bounds, large, 7);
    fleet.setCoordinator(0);
    playEverywhere(fleet, 0, seconds(6));
    playEverywhere(fleet, large.perSecond * 0.6, seconds(3));
    fleet.handOver(0, 1);
    // More than a counter without a handover could grant.
    playEverywhere(fleet, large.perSecond * 1.8, seconds(1));
    CHECK(fleet.overLimit + fleet.unknown == 0);
    playEverywhere(fleet, large.perSecond * 8, seconds(6));
    CHECK(static_cast<double>(fleet.maxInWindow()) <= bound(large));
}

TEST_CASE("a limit lowered far below its use holds one window later, a raised one at once")
{
    QuotaFleet fleet(59, bounds, large, 8);
    fleet.setCoordinator(0);
    playEverywhere(fleet, large.perSecond, seconds(8));
    fleet.setLimit(small);
    playEverywhere(fleet, large.perSecond, seconds(5));
    fleet.granted.clear();
    playEverywhere(fleet, large.perSecond, seconds(10));
    CHECK(static_cast<double>(fleet.maxInWindow()) <= bound(small));
    fleet.setLimit(large);
    fleet.granted.clear();
    playEverywhere(fleet, large.perSecond * 0.9, seconds(2));
    CHECK(static_cast<double>(fleet.granted.size()) >= large.perSecond * 1.7);
}

// Checks against an exact sliding window, with the failures of the tests above at random moments and in any order.
TEST_CASE("the limit holds under random failures")
{
    const bool holds = rc::check("no window goes beyond its bound", [] {
        const RequestQuota quota{static_cast<double>(*rc::gen::inRange(2, 80)), static_cast<double>(*rc::gen::inRange(0, 80))};
        const auto nodes = static_cast<std::size_t>(*rc::gen::inRange(3, 40));
        QuotaFleet fleet(nodes, bounds, quota, *rc::gen::arbitrary<std::uint16_t>());
        fleet.links = {0.05, 0.05};
        fleet.setCoordinator(0);
        playEverywhere(fleet, quota.perSecond * 0.5, seconds(5));
        std::size_t coordinator = 0;
        // At least one window passes between losses of the counter; more frequent ones each use another part of the tolerance.
        for (int round = 0; round < 3; ++round) {
            const int overload = *rc::gen::inRange(1, 9);
            const auto fault = *rc::gen::inRange(0, 6);
            const std::size_t next = (coordinator + 1) % nodes;
            if (fault == 0) {
                fleet.kill(coordinator);
            } else if (fault == 1) {
                fleet.setFrozen(coordinator, true);
            } else if (fault == 2) {
                fleet.handOver(coordinator, next);
            } else if (fault == 3) {
                fleet.cut(coordinator, true);
            } else if (fault == 4) {
                for (std::size_t node = 0; node < nodes / 3; ++node) {
                    fleet.cut((coordinator + 1 + node) % nodes, true);
                }
            }
            playEverywhere(fleet, quota.perSecond * overload, milliseconds(*rc::gen::inRange(100, 500)));
            if (fault < 4) {
                for (std::size_t node = 0; node < nodes; ++node) {
                    fleet.setCoordinator(node, fault == 3 && node == coordinator ? coordinator : next);
                }
                fleet.claim(next);
            }
            playEverywhere(fleet, quota.perSecond * overload, milliseconds(5200));
            if (fault < 2) {
                fleet.kill(coordinator);
                fleet.start(coordinator);
                fleet.setCoordinator(coordinator, next);
            }
            for (std::size_t node = 0; node < nodes; ++node) {
                fleet.cut(node, false);
            }
            fleet.setCoordinator(coordinator, fault < 4 ? next : coordinator);
            coordinator = fault < 4 ? next : coordinator;
        }
        RC_ASSERT(static_cast<double>(fleet.maxInWindow()) <= bound(quota));
    });
    CHECK(holds);
}

// Guards against two counters at the moments when a partition starts and when it ends.
TEST_CASE("the limit holds wherever and whenever a fleet is partitioned")
{
    const bool holds = rc::check("no window goes beyond its bound", [] {
        const RequestQuota quota{static_cast<double>(*rc::gen::inRange(2, 80)), static_cast<double>(*rc::gen::inRange(0, 80))};
        const auto nodes = static_cast<std::size_t>(*rc::gen::inRange(6, 64));
        QuotaFleet fleet(nodes, bounds, quota, *rc::gen::arbitrary<std::uint16_t>());
        fleet.links = {0.02, 0.02};
        auto coordinator = static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(nodes)));
        fleet.setCoordinator(coordinator);
        playEverywhere(fleet, quota.perSecond * 0.5, seconds(5));
        for (int round = 0; round < 2; ++round) {
            const double overload = *rc::gen::inRange(1, 9);
            // The successor is in the other part.
            const std::size_t other = (coordinator + 1) % nodes;
            const std::size_t first
                = other > 0 ? other : static_cast<std::size_t>(*rc::gen::inRange<int>(1, static_cast<int>(nodes)));
            playEverywhere(fleet, quota.perSecond * overload * *rc::gen::inRange(0, 2), seconds(2));
            fleet.cutInTwo(first);
            // The other nodes have lost the counter, and the timeout for it passes.
            playEverywhere(fleet, quota.perSecond * overload, milliseconds(*rc::gen::inRange(310, 600)));
            for (std::size_t node = 0; node < nodes; ++node) {
                fleet.setCoordinator(node, (node < first) == (coordinator < first) ? coordinator : other);
            }
            fleet.claim(other);
            playEverywhere(fleet, quota.perSecond * overload, milliseconds(*rc::gen::inRange(200, 8000)));
            fleet.cutInTwo(0);
            playEverywhere(fleet, quota.perSecond * overload, milliseconds(*rc::gen::inRange(0, 300)));
            fleet.setCoordinator(other);
            coordinator = other;
            playEverywhere(fleet, quota.perSecond * overload, milliseconds(5200));
        }
        RC_ASSERT(static_cast<double>(fleet.maxInWindow()) <= bound(quota));
    });
    CHECK(holds);
}
