#include <LibDispatch/FirstEventEstimate.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

TEST_CASE("the time to the first event is learned, and one outlier hardly changes it")
{
    FirstEventEstimate estimate;
    for (int i = 0; i < 200; ++i) {
        estimate.record(std::chrono::milliseconds(i % 2 == 0 ? 85 : 95));
    }
    // Long enough for all of them, and little longer.
    CHECK(estimate.value() >= std::chrono::milliseconds(95));
    CHECK(estimate.value() <= std::chrono::milliseconds(105));
    estimate.record(std::chrono::seconds(5));
    CHECK(estimate.value() <= std::chrono::milliseconds(125));
}

TEST_CASE("the placement deadline leaves time for the first event and is never before the arrival")
{
    FirstEventEstimate estimate;
    const SteadyTime arrived{std::chrono::hours(1)};
    const std::chrono::milliseconds objective{300};
    CHECK(estimate.placementDeadline(arrived, objective) < arrived + objective - estimate.value());
    CHECK(estimate.placementDeadline(arrived, objective) > arrived + std::chrono::milliseconds(150));
    CHECK(estimate.placementDeadline(arrived, std::chrono::milliseconds(20)) == arrived);
}
