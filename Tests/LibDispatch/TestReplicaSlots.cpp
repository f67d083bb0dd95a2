#include <LibBase/ManualClock.h>
#include <LibDispatch/ReplicaSlots.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

TEST_CASE("reported requests beyond those placed use slots until the report expires")
{
    ManualClock clock;
    ReplicaSlots slots;
    slots.acquire(WorkClass::Online);
    slots.recordReport({6, 2}, clock.now());
    CHECK(slots.used(clock.now()) == 8);
    slots.acquire(WorkClass::Online);
    CHECK(slots.used(clock.now()) == 9);
    clock.advance(801ms);
    CHECK(slots.used(clock.now()) == 2);
}

// The end of a request arrives before the replica's answer to another request, which still counts the ended one.
// Counted as a request of others, it would keep a free slot unused.
TEST_CASE("a recently released slot is not counted as a request of others")
{
    ManualClock clock;
    ReplicaSlots slots;
    slots.acquire(WorkClass::Online);
    slots.acquire(WorkClass::Batch);
    slots.release(WorkClass::Batch, clock.now());
    clock.advance(50ms);
    slots.recordReport({2, 0}, clock.now());
    CHECK(slots.used(clock.now()) == 1);
    clock.advance(20ms);
    slots.recordReport({2, 0}, clock.now());
    CHECK(slots.used(clock.now()) == 2);
}

// Each request that preempts an item releases a slot and acquires it again. Subtracting the item from each report of
// the next moments would make the requests of others seem fewer, and the replica would get one request too many each
// time.
TEST_CASE("a recently released slot does not hide requests of others")
{
    ManualClock clock;
    ReplicaSlots slots;
    for (int item = 0; item < 3; ++item) {
        slots.acquire(WorkClass::Batch);
    }
    slots.recordReport({7, 0}, clock.now());
    CHECK(slots.used(clock.now()) == 7);
    slots.release(WorkClass::Batch, clock.now());
    slots.acquire(WorkClass::Online);
    slots.recordReport({7, 0}, clock.now());
    CHECK(slots.used(clock.now()) == 7);
}

TEST_CASE("a report of fewer requests than were placed frees no slots")
{
    ManualClock clock;
    ReplicaSlots slots;
    slots.acquire(WorkClass::Online);
    slots.acquire(WorkClass::Online);
    slots.recordReport({0, 0}, clock.now());
    CHECK(slots.used(clock.now()) == 2);
}

TEST_CASE("a replica without any report accepts one item at a time")
{
    ManualClock clock;
    ReplicaSlots slots;
    CHECK(slots.mayAcceptItem(clock.now()));
    slots.acquire(WorkClass::Batch);
    CHECK_FALSE(slots.mayAcceptItem(clock.now()));
    slots.recordReport({}, clock.now());
    CHECK(slots.mayAcceptItem(clock.now()));
}

// A replica that was busy with requests of others sends no report while none of its requests starts. Filled after its
// report expired, it would queue all that it received.
TEST_CASE("a replica whose report of other requests has expired accepts one item at a time")
{
    ManualClock clock;
    ReplicaSlots slots;
    slots.recordReport({6, 0}, clock.now());
    slots.acquire(WorkClass::Batch);
    CHECK(slots.mayAcceptItem(clock.now()));
    clock.advance(801ms);
    CHECK_FALSE(slots.mayAcceptItem(clock.now()));
    slots.recordReport({1, 0}, clock.now());
    CHECK(slots.mayAcceptItem(clock.now()));
}
