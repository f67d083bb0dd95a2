#include <LibBase/ManualClock.h>
#include <LibBatch/HeadroomEstimate.h>
#include <LibBatch/Lane.h>
#include <LibBatch/StepModel.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

const SessionNumber entryA(1);
const SessionNumber entryB(2);

Lane::Options options(std::uint32_t capacity, std::uint32_t headroom)
{
    Lane::Options options;
    options.capacity = capacity;
    options.headroom = headroom;
    options.slowdown = 0.1;
    return options;
}

void start(Lane &lane, int items)
{
    for (int i = 0; i < items; ++i) {
        lane.itemStarted();
        lane.itemGotFirstToken();
    }
}

} // namespace

TEST_CASE("online requests take the slots of batch items, in whatever order their notices arrive")
{
    ManualClock clock;
    Lane lane(clock, options(16, 1));
    lane.settle();
    CHECK(lane.freeSlots() == 15);
    start(lane, 15);
    lane.observeOnline(entryA, 2, 4);
    // Four arrived at once, so four more slots are kept free: 15 items, 4 requests and 4 free slots exceed the capacity of 16
    // by 7.
    CHECK(lane.excess() == 7);
    lane.observeOnline(entryA, 1, 0);
    CHECK(lane.online() == 4);
    CHECK(lane.excess() == 7);
    lane.forget(entryA);
    CHECK(lane.excess() == 0);
}

TEST_CASE("online requests that arrive one by one need no more free slots than the configured headroom")
{
    ManualClock clock;
    Lane lane(clock, options(16, 1));
    lane.settle();
    start(lane, 15);
    for (std::uint32_t online = 1; online <= 4; ++online) {
        clock.advance(100ms);
        lane.observeOnline(entryA, online, online);
    }
    // 15 items, 4 requests and one free slot exceed the capacity of 16 by 4.
    CHECK(lane.excess() == 4);
    lane.observeOnline(entryA, 3, 0);
    CHECK(lane.online() == 4);
    CHECK(lane.excess() == 4);
}

// Guards against slots that stay reserved because the notice of zero requests was lost, which is not repeated: the replica would
// run fewer and fewer batch items until its holder changes.
TEST_CASE("slots are not reserved for an entry that stopped sending notices")
{
    ManualClock clock;
    Lane lane(clock, options(8, 1));
    lane.settle();
    lane.observeOnline(entryA, 1, 3);
    clock.advance(900ms);
    lane.observeOnline(entryB, 1, 2);
    clock.advance(500ms);
    lane.expireNotices();
    CHECK(lane.online() == 2);
}

// Guards against overloading a replica when a lane is taken over while items of the previous holder still run, because it is
// paused or died without its connections being closed. A full set of new items would put the replica at twice its capacity, and
// online requests would queue behind them.
TEST_CASE("a new holder starts only as many items as fit beside the unknown ones")
{
    ManualClock clock;
    Lane lane(clock, options(8, 0));
    CHECK(lane.freeSlots() == 0);
    lane.observeReport({6, 0});
    CHECK(lane.freeSlots() == 0);
    lane.observeReport({6, 0});
    CHECK(lane.freeSlots() == 2);
    start(lane, 2);
    lane.observeOnline(entryA, 1, 2);
    CHECK(lane.excess() == 2);
    for (int i = 0; i < 3; ++i) {
        lane.observeReport({4, 0});
    }
    CHECK(lane.isSettled());
    // Two requests arrived at once, so slots for two more are kept free. The remaining two are filled one by one.
    CHECK(lane.freeSlots() == 1);
}

// Guards against two nodes that both regard themselves as the holder, because their views differ for longer than usual.
TEST_CASE("a settled holder that keeps seeing unknown streams relies on the reports of the engine again")
{
    ManualClock clock;
    Lane lane(clock, options(8, 0));
    lane.settle();
    start(lane, 2);
    lane.observeReport({8, 0});
    lane.observeReport({8, 0});
    CHECK(lane.freeSlots() == 6);
    lane.observeReport({8, 0});
    CHECK_FALSE(lane.isSettled());
    CHECK(lane.freeSlots() == 0);
}

// Guards against a delayed first token after a burst of online requests: if all slots that became free were filled at once, the
// next request would wait for the prompts of all these items.
TEST_CASE("items start one at a time on a replica with online requests")
{
    ManualClock clock;
    Lane lane(clock, options(8, 1));
    lane.settle();
    CHECK(lane.freeSlots() == 7);
    lane.observeOnline(entryA, 1, 1);
    lane.observeOnline(entryA, 2, 0);
    CHECK(lane.freeSlots() == 1);
    lane.itemStarted();
    CHECK(lane.freeSlots() == 0);
    lane.itemGotFirstToken();
    CHECK(lane.freeSlots() == 1);
    lane.itemStarted();
    lane.itemStopped(false);
    CHECK(lane.freeSlots() == 1);
    clock.advance(11s);
    CHECK(lane.freeSlots() == 6);
}

// Guards against sums that wrap: an engine that reports very many streams would look free, and items would start there.
TEST_CASE("a report of very many streams leaves no slot free")
{
    for (const EngineLoad &report : {EngineLoad{4294967295, 3}, EngineLoad{4294967295, 0}}) {
        ManualClock clock;
        Lane lane(clock, options(16, 1));
        start(lane, 2);
        for (int i = 0; i < 3; ++i) {
            lane.observeReport(report);
        }
        CHECK(lane.freeSlots() == 0);
        CHECK_FALSE(lane.isSettled());
    }
}

TEST_CASE("headroom follows the arrival rate of online requests")
{
    ManualClock clock;
    HeadroomEstimate estimate(clock, 50ms);
    std::uint32_t online = 0;
    for (int burst = 0; burst < 200; ++burst) {
        for (int i = 0; i < 4; ++i) {
            clock.advance(5ms);
            estimate.observe(++online);
        }
        clock.advance(2s);
        online = 0;
        estimate.observe(online);
        clock.advance(2s);
    }
    CHECK(estimate.value(0.01) == 4);
    for (int i = 0; i < 5000; ++i) {
        estimate.observe(1);
        clock.advance(100ms);
        estimate.observe(0);
        clock.advance(100ms);
    }
    CHECK(estimate.value(0.01) == 1);
}

TEST_CASE("an engine that frees slots immediately needs less headroom")
{
    ManualClock clock;
    Lane lane(clock, options(16, 0));
    lane.settle();
    std::uint64_t sequence = 0;
    for (int burst = 0; burst < 300; ++burst) {
        for (std::uint32_t online = 1; online <= 4; ++online) {
            clock.advance(10ms);
            lane.observeOnline(entryA, ++sequence, online);
        }
        clock.advance(1s);
        lane.observeOnline(entryA, ++sequence, 0);
    }
    CHECK(lane.headroom() == 4);
    for (int burst = 0; burst < 2000; ++burst) {
        lane.observeCancel(2ms);
        for (std::uint32_t online = 1; online <= 4; ++online) {
            clock.advance(10ms);
            lane.observeOnline(entryA, ++sequence, online);
        }
        clock.advance(1s);
        lane.observeOnline(entryA, ++sequence, 0);
    }
    CHECK(lane.headroom() == 1);
}

TEST_CASE("streams beside online ones are limited by the configured slowdown")
{
    StepModel steps;
    CHECK_FALSE(steps.maxStreams(1, 0.1));
    for (int i = 0; i < 2000; ++i) {
        const int streams = 1 + i % 8;
        steps.observe(2000us + 100us * streams, static_cast<std::uint32_t>(streams));
    }
    // 2.1 ms with one stream, 2.31 ms allowed: three streams take 2.3 ms.
    CHECK(*steps.maxStreams(1, 0.1) == 3);
    CHECK(*steps.maxStreams(4, 0.1) == 6);
}
