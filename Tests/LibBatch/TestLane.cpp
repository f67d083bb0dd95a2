#include <LibBatch/Lane.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

TEST_CASE("online requests take the places of batch items, whatever order their notices arrive in")
{
    Lane lane(8, 1);
    CHECK(lane.freePlaces() == 7);
    for (int i = 0; i < 7; ++i) {
        lane.itemStarted();
    }
    lane.observeOnline(SessionNumber(1), 2, 4);
    CHECK(lane.excess() == 3);
    lane.observeOnline(SessionNumber(1), 1, 0);
    CHECK(lane.excess() == 3);
    lane.forget(SessionNumber(1));
    CHECK(lane.excess() == 0);
}
