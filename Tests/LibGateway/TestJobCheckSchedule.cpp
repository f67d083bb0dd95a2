#include <LibBase/ManualClock.h>
#include <LibGateway/JobCheckSchedule.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

namespace
{

constexpr std::size_t many = 10;

using Jobs = std::vector<JobId>;

} // namespace

// A single check may find no node that can be notified. A job that is checked only once could stay without a runner.
TEST_CASE("a job is checked periodically while it is open")
{
    ManualClock clock;
    JobCheckSchedule schedule(clock);
    schedule.postpone(JobId("a"));
    CHECK(schedule.popDue(many).empty());
    for (int round = 0; round < 3; ++round) {
        clock.advance(JobCheckSchedule::interval);
        CHECK(schedule.popDue(many) == Jobs{JobId("a")});
        CHECK(schedule.popDue(many).empty());
    }
    schedule.remove(JobId("a"));
    clock.advance(JobCheckSchedule::interval);
    CHECK(schedule.popDue(many).empty());
}

TEST_CASE("a job whose row changes is not checked")
{
    ManualClock clock;
    JobCheckSchedule schedule(clock);
    for (int change = 0; change < 5; ++change) {
        schedule.postpone(JobId("a"));
        clock.advance(JobCheckSchedule::interval / 2);
        CHECK(schedule.popDue(many).empty());
    }
}

// If the limit always selected the same jobs, the others would never be checked.
TEST_CASE("if more jobs are due than the limit, the remaining ones come next")
{
    ManualClock clock;
    JobCheckSchedule schedule(clock);
    for (const char *const name : {"a", "b", "c"}) {
        schedule.postpone(JobId(name));
    }
    clock.advance(JobCheckSchedule::interval);
    CHECK(schedule.popDue(2) == Jobs{JobId("a"), JobId("b")});
    CHECK(schedule.popDue(2) == Jobs{JobId("c")});
    clock.advance(JobCheckSchedule::interval);
    schedule.clear();
    CHECK(schedule.popDue(2).empty());
}
