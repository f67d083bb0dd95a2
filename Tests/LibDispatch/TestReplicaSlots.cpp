#include <LibBase/ManualClock.h>
#include <LibDispatch/ReplicaSlots.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

TEST_CASE("what a replica tells of more than was placed there takes slots too, until the news is old")
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

// The word of a request's end is faster than the replica's own answer to another request, which still counts it. Counted as work
// of others, it would keep a free slot empty.
TEST_CASE("what was released a moment ago is not taken for work of others")
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

// Each request that takes an item's place frees a slot and takes it again. If the item were taken out of each count that comes in
// the next moments, the work of others would seem to get less, and the replica one request too many each time.
TEST_CASE("what was released a moment ago doesn't hide the work of others")
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

TEST_CASE("a replica that tells of less than was placed there frees nothing")
{
    ManualClock clock;
    ReplicaSlots slots;
    slots.acquire(WorkClass::Online);
    slots.acquire(WorkClass::Online);
    slots.recordReport({0, 0}, clock.now());
    CHECK(slots.used(clock.now()) == 2);
}

TEST_CASE("a replica of which nothing was heard takes one item at a time")
{
    ManualClock clock;
    ReplicaSlots slots;
    CHECK(slots.mayAcceptItem(clock.now()));
    slots.acquire(WorkClass::Batch);
    CHECK_FALSE(slots.mayAcceptItem(clock.now()));
    slots.recordReport({}, clock.now());
    CHECK(slots.mayAcceptItem(clock.now()));
}

// A replica that was busy with work of others says nothing while none of its requests begins. Filled after that silence, it would
// queue all that it got.
TEST_CASE("a replica that had work of others, and has not told since, takes one item at a time")
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
