#include <LibDispatch/ItemEstimate.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

TEST_CASE("the remaining time of an item is estimated from earlier items")
{
    ItemEstimate estimate;
    for (int i = 0; i < 200; ++i) {
        estimate.recordCompleted(100);
        estimate.recordRun(50, std::chrono::milliseconds(500));
        estimate.recordRun(3, std::chrono::milliseconds(500));
    }
    CHECK(estimate.remaining(0) >= std::chrono::milliseconds(990));
    CHECK(estimate.remaining(0) <= std::chrono::milliseconds(1010));
    CHECK(estimate.remaining(60) <= std::chrono::milliseconds(410));
    CHECK(estimate.remaining(500) >= std::chrono::milliseconds(90));
}
