#include <LibDispatch/ReplicaSpeed.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

/** Records runs of a replica, four a second. */
void record(ReplicaSpeed &speed, int runs, double time, std::uint32_t pace, SteadyTime &now)
{
    for (int run = 0; run < runs; ++run) {
        now += 250ms;
        speed.recordRun(time, pace, now);
    }
}

} // namespace

// Guards against a slow replica that is never tried again, and against a short disturbance that counts for good.
TEST_CASE("the recent estimate returns to the long-term one, and that one to the median")
{
    ReplicaSpeed speed;
    SteadyTime now{1h};
    CHECK(speed.expected(now) == 1);
    record(speed, 100, 2, 0, now);
    CHECK(speed.expected(now) > 1.7);
    const double usual = speed.usual();
    record(speed, 3, 5, 0, now);
    CHECK(speed.expected(now) > 3);
    CHECK(speed.usual() < usual * 1.02);
    CHECK(speed.expected(now + 8s) < 2);
    CHECK(speed.expected(now + 8s) > 1.3);
    CHECK(speed.expected(now + 5min) == 1);
    CHECK(speed.nextChange(now + 5min) == SteadyTime::max());
}

// Guards against trust in a replica that states disturbances which do not lengthen its runs.
TEST_CASE("the stated pace counts for a moment, as far as it explained the measured times")
{
    ReplicaSpeed honest;
    ReplicaSpeed wrong;
    SteadyTime now{1h};
    SteadyTime other{1h};
    for (int round = 0; round < 30; ++round) {
        record(honest, 2, 1, 100, now);
        record(honest, 1, 2.5, 250, now);
        record(wrong, 3, 1, 250, other);
    }
    honest.recordPace(250, now + 10s);
    wrong.recordPace(250, other + 10s);
    CHECK(honest.expected(now + 10s) > 2);
    CHECK(wrong.expected(other + 10s) < 1.1);
    CHECK(honest.expected(now + 11s) < 1.1);
    CHECK(honest.usual() < 1.1);
}

// Guards against an index that keeps an outdated expected time.
TEST_CASE("the expected time changes at the announced times only")
{
    ReplicaSpeed speed;
    SteadyTime now{1h};
    record(speed, 20, 3, 0, now);
    speed.recordPace(250, now);
    for (int change = 0; change < 50; ++change) {
        const SteadyTime next = speed.nextChange(now);
        REQUIRE(next > now);
        CHECK(speed.expected(next - 1ns) == speed.expected(now));
        now = next;
    }
}
