#include <LibDispatch/FirstEventEstimate.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

TEST_CASE("the time to the first event is learned, and one outlier hardly changes it")
{
    FirstEventEstimate estimate;
    for (int i = 0; i < 200; ++i) {
        estimate.note(std::chrono::milliseconds(i % 2 == 0 ? 85 : 95));
    }
    CHECK(estimate.value() >= std::chrono::milliseconds(92));
    CHECK(estimate.value() <= std::chrono::milliseconds(98));
    estimate.note(std::chrono::seconds(5));
    CHECK(estimate.value() <= std::chrono::milliseconds(112));
}
