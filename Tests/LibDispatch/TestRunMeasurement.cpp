#include <LibDispatch/MeasuredReplicas.h>
#include <LibDispatch/RunMeasurement.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

// Guards against a pace that is too fast because a replica sends its first events together.
TEST_CASE("events that arrive with the first one are not counted")
{
    const SteadyTime start{1h};
    RunMeasurement measurement;
    measurement.start(start);
    measurement.recordHead(120, false);
    measurement.recordEvents(3, start + 100ms);
    measurement.recordEvents(0, start + 110ms);
    measurement.recordEvents(5, start + 300ms);
    CHECK(measurement.timing() == RunTiming{100ms, 200ms, 6, 120, false});
    measurement.start(start + 1s);
    measurement.recordWholeAnswer(start + 1500ms);
    CHECK(measurement.timing() == RunTiming{500ms, 0ms, 1, 0, false});
}

// Guards against errors and short answers in the means, against a mean of streams and whole answers, and against growth.
TEST_CASE("a node keeps the means of the replicas that it measured last")
{
    MeasuredReplicas measured;
    const SteadyTime now{1h};
    measured.record(1, {100ms, 400ms, 21, 0, true}, now);
    measured.record(1, {100ms, 400ms, 3, 0, false}, now);
    CHECK(measured.timings(now).empty());
    measured.record(1, {900ms, 0ms, 1, 0, false}, now);
    measured.record(1, {100ms, 400ms, 21, 0, false}, now);
    measured.record(1, {200ms, 800ms, 21, 0, false}, now);
    measured.record(1, {900ms, 0ms, 1, 0, false}, now);
    const std::vector<ReplicaTiming> means = measured.timings(now);
    REQUIRE(means.size() == 1);
    CHECK(means[0] == ReplicaTiming{1, 30ms, 150ms, 2});
    for (std::uint32_t replica = 2; replica < 200; ++replica) {
        measured.record(replica, {100ms, 400ms, 21, 0, false}, now + std::chrono::milliseconds(replica));
    }
    CHECK(measured.timings(now + 1s).size() == 100);
    CHECK(measured.timings(now + 1min).empty());
}
