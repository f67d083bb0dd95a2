#include <LibBase/ManualClock.h>
#include <LibPlatform/StoreClock.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

TEST_CASE("the store's time advances between its answers, and a delayed answer does not set it back")
{
    ManualClock clock;
    StoreClock storeClock(clock);
    CHECK_FALSE(storeClock.now());
    storeClock.record(StoreTime(1000ms));
    clock.advance(500ms);
    CHECK(storeClock.now() == StoreTime(1500ms));
    storeClock.record(StoreTime(1200ms));
    CHECK(storeClock.now() == StoreTime(1500ms));
    storeClock.record(StoreTime(1504ms));
    CHECK(storeClock.now() == StoreTime(1504ms));
}

// Guards against wrong deadlines after a pause of the VM, which its steady clock does not count: by that clock, the items of its
// jobs would still have those seconds left.
TEST_CASE("after a pause of the VM the next answer corrects the time")
{
    ManualClock clock;
    StoreClock storeClock(clock);
    storeClock.record(StoreTime(1000ms));
    storeClock.record(StoreTime(9000ms));
    CHECK(storeClock.now() == StoreTime(9000ms));
}

TEST_CASE("drift between the clocks is corrected")
{
    ManualClock clock;
    StoreClock storeClock(clock);
    storeClock.record(StoreTime(1000ms));
    clock.advance(61s);
    storeClock.record(StoreTime(61990ms));
    CHECK(storeClock.now() == StoreTime(61990ms));
}
