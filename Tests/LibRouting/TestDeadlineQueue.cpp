#include <LibBase/ManualClock.h>
#include <LibRouting/DeadlineQueue.h>

#include <doctest/doctest.h>

#include <deque>
#include <unordered_map>

using namespace Dogwoodkeel;
using std::chrono::milliseconds;

TEST_CASE("the request with the earliest deadline is removed first")
{
    ManualClock clock;
    DeadlineQueue queue(clock, {});
    queue.offer(1, clock.now() + milliseconds(300));
    queue.offer(2, clock.now() + milliseconds(100));
    queue.offer(3, clock.now() + milliseconds(200));
    CHECK(queue.pop() == 2);
    queue.remove(3);
    CHECK(queue.pop() == 1);
    CHECK(queue.pop() == std::nullopt);
}

TEST_CASE("a full queue drops the request with the latest deadline")
{
    ManualClock clock;
    DeadlineQueue queue(clock, {.maxSize = 2});
    queue.offer(1, clock.now() + milliseconds(300));
    queue.offer(2, clock.now() + milliseconds(100));
    CHECK_FALSE(queue.offer(3, clock.now() + milliseconds(400)).isQueued);
    const auto urgent = queue.offer(4, clock.now() + milliseconds(50));
    CHECK(urgent.isQueued);
    CHECK(urgent.displaced == 1);
}

TEST_CASE("a request that would miss its deadline is refused on arrival, and the expected wait is known")
{
    // 100 placements a second with 20 requests waiting: the next request waits about 200 ms.
    ManualClock clock;
    DeadlineQueue queue(clock, {});
    for (int i = 0; i < 1000; ++i) {
        queue.recordPlacement();
        queue.recordServiceTime(std::chrono::milliseconds(20));
        clock.advance(milliseconds(10));
    }
    for (DeadlineQueue::Ticket ticket = 1; ticket <= 20; ++ticket) {
        REQUIRE(queue.offer(ticket, clock.now() + milliseconds(1000)).isQueued);
    }
    CHECK(queue.expectedWait() >= milliseconds(190));
    CHECK(queue.expectedWait() <= milliseconds(210));
    CHECK_FALSE(queue.offer(21, clock.now() + milliseconds(1001 + 5000)).displaced.has_value());
    CHECK(queue.offer(22, clock.now() + milliseconds(100)).isQueued);
    CHECK_FALSE(queue.offer(23, clock.now() + milliseconds(15)).isQueued);
}

TEST_CASE("requests that can no longer meet their deadlines are removed when the replicas get slower")
{
    ManualClock clock;
    DeadlineQueue queue(clock, {});
    for (int i = 0; i < 500; ++i) {
        queue.recordPlacement();
        queue.recordServiceTime(std::chrono::milliseconds(20));
        clock.advance(milliseconds(10));
    }
    for (DeadlineQueue::Ticket ticket = 1; ticket <= 50; ++ticket) {
        REQUIRE(queue.offer(ticket, clock.now() + milliseconds(800)).isQueued);
    }
    CHECK(queue.removeInfeasible().empty());
    clock.advance(milliseconds(500));
    const std::size_t late = queue.removeInfeasible().size();
    CHECK(late > 10);
    CHECK(late < 50);
    CHECK(queue.size() == 50 - late);
}

namespace
{

/** Simulates one server with 10 ms a request and a deadline of 200 ms. @return the requests that finish in time */
int finishedInTime(int perSecond, bool isShedding)
{
    ManualClock clock;
    DeadlineQueue queue(clock, {.maxSize = isShedding ? std::size_t(256) : std::size_t(1000000)});
    std::deque<SteadyTime> plain;
    std::unordered_map<DeadlineQueue::Ticket, SteadyTime> deadlines;
    constexpr milliseconds service{10};
    SteadyTime idleFrom = clock.now();
    int finished = 0;
    int arrivalCredit = 0;
    DeadlineQueue::Ticket ticket = 0;
    for (int tick = 0; tick < 10000; ++tick) {
        for (arrivalCredit += perSecond; arrivalCredit >= 1000; arrivalCredit -= 1000) {
            const SteadyTime deadline = clock.now() + milliseconds(200);
            if (!isShedding) {
                plain.push_back(deadline);
            } else if (queue.offer(++ticket, deadline).isQueued) {
                deadlines[ticket] = deadline;
            }
        }
        if (clock.now() >= idleFrom) {
            std::optional<SteadyTime> next;
            if (!isShedding && !plain.empty()) {
                next = plain.front();
                plain.pop_front();
            } else if (isShedding) {
                queue.removeInfeasible();
                if (const auto taken = queue.pop()) {
                    queue.recordPlacement();
                    queue.recordServiceTime(service);
                    next = deadlines[*taken];
                }
            }
            if (next) {
                idleFrom = clock.now() + service;
                finished += idleFrom <= *next ? 1 : 0;
            }
        }
        clock.advance(milliseconds(1));
    }
    return finished;
}

} // namespace

TEST_CASE("at two and five times the capacity, nearly all served requests finish in time")
{
    // 10 s at 100 requests a second. Without shedding the queue grows until every request is late when it is served.
    const int best = 1000;
    CHECK(finishedInTime(90, true) >= 890);
    CHECK(finishedInTime(200, true) >= best * 9 / 10);
    CHECK(finishedInTime(500, true) >= best * 9 / 10);
    CHECK(finishedInTime(500, false) < best / 10);
}
