#include <LibBase/ManualClock.h>
#include <LibDispatch/LoadForecast.h>
#include <LibDispatch/RetrySchedule.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

TEST_CASE("reserved retries are spread over the capacity, and none is reserved beyond it")
{
    const SteadyTime now = SteadyTime(std::chrono::seconds(100));
    const SteadyTime latest = now + std::chrono::milliseconds(500);
    RetrySchedule schedule;
    CHECK(schedule.reserve(1, now, now + std::chrono::milliseconds(300), latest, 10) == now + std::chrono::milliseconds(300));
    CHECK(schedule.reserve(2, now, now + std::chrono::milliseconds(300), latest, 10) == now + std::chrono::milliseconds(400));
    CHECK(schedule.reserve(3, now, now, latest, 10) == latest);
    CHECK_FALSE(schedule.reserve(4, now, now, latest, 10));
    CHECK_FALSE(schedule.reserve(5, now, now, latest + std::chrono::seconds(5), 0));
    const auto retry = schedule.extract(2);
    REQUIRE(retry);
    CHECK(retry->arrived == now);
    CHECK(retry->isReserved);
    CHECK_FALSE(schedule.extract(2));
}

TEST_CASE("a retry that does not arrive expires")
{
    const SteadyTime now = SteadyTime(std::chrono::seconds(100));
    RetrySchedule schedule;
    schedule.expect(1, now, now + std::chrono::seconds(1));
    schedule.removeExpired(now + std::chrono::seconds(2));
    CHECK_FALSE(schedule.extract(1)->isReserved);
    schedule.expect(1, now, now + std::chrono::seconds(1));
    schedule.removeExpired(now + std::chrono::seconds(4));
    CHECK_FALSE(schedule.extract(1));
}

// Right after the start of a dispatcher a burst can't be distinguished from a sustained load. Until the usual load is
// known, no capacity may be reserved.
TEST_CASE("spare capacity is reported only when the usual load is known")
{
    ManualClock clock;
    LoadForecast forecast(clock);
    forecast.setSlots(100);
    CHECK(forecast.serviceRate() == 0);
    forecast.recordRun(std::chrono::seconds(1));
    CHECK(forecast.serviceRate() == doctest::Approx(100));
    for (int arrival = 0; arrival < 250; ++arrival) {
        clock.advance(std::chrono::milliseconds(20));
        forecast.recordArrival();
    }
    CHECK(forecast.spareCapacity() == 0);
    for (int arrival = 0; arrival < 1000; ++arrival) {
        clock.advance(std::chrono::milliseconds(20));
        forecast.recordArrival();
    }
    CHECK(forecast.spareCapacity() == doctest::Approx(50).epsilon(0.05));
    forecast.setSlots(40);
    CHECK(forecast.spareCapacity() == 0);
}

// Guards against a workspace that reserves all spare capacity for its own retries.
TEST_CASE("a workspace reserves at most its share of the spare capacity")
{
    const SteadyTime now = SteadyTime(std::chrono::seconds(100));
    const SteadyTime latest = now + std::chrono::seconds(1);
    const WorkspaceName flooder("flooder");
    RetrySchedule schedule;
    std::uint64_t content = 0;
    while (schedule.reserve(++content, now, now, latest, 20, flooder, 0.25)) { }
    CHECK(content == 6);
    CHECK(schedule.reserve(100, now, now, latest, 20, WorkspaceName("other"), 0.25));
    CHECK(schedule.extract(1));
    CHECK(schedule.reserve(101, now, now, latest, 20, flooder, 0.25));
}
