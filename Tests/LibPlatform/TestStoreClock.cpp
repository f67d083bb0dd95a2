#include <LibBase/ManualClock.h>
#include <LibPlatform/StoreClock.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

TEST_CASE("the store's time goes on between its answers, and an answer that was long on its way does not set it back")
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

// A VM is paused for seconds, and its steady clock does not count them. By its own clock the items of its jobs would have those
// seconds still to run.
TEST_CASE("after a pause of the VM the next answer sets the time right")
{
    ManualClock clock;
    StoreClock storeClock(clock);
    storeClock.record(StoreTime(1000ms));
    storeClock.record(StoreTime(9000ms));
    CHECK(storeClock.now() == StoreTime(9000ms));
}

TEST_CASE("clocks that drift apart are brought together again")
{
    ManualClock clock;
    StoreClock storeClock(clock);
    storeClock.record(StoreTime(1000ms));
    clock.advance(61s);
    storeClock.record(StoreTime(61990ms));
    CHECK(storeClock.now() == StoreTime(61990ms));
}
