#include <LibBase/ManualClock.h>
#include <LibGateway/JobCheckSchedule.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

namespace
{

constexpr std::size_t many = 10;

using Jobs = std::vector<JobId>;

} // namespace

// A single check may find no node to notify.
TEST_CASE("a job is checked periodically while it is open")
{
    ManualClock clock;
    JobCheckSchedule checks(clock);
    checks.postpone(JobId("a"));
    CHECK(checks.popDue(many).empty());
    for (int round = 0; round < 3; ++round) {
        clock.advance(JobCheckSchedule::interval);
        CHECK(checks.popDue(many) == Jobs{JobId("a")});
        CHECK(checks.popDue(many).empty());
    }
    checks.remove(JobId("a"));
    clock.advance(JobCheckSchedule::interval);
    CHECK(checks.popDue(many).empty());
}

TEST_CASE("a job whose row changes is not checked")
{
    ManualClock clock;
    JobCheckSchedule checks(clock);
    for (int change = 0; change < 5; ++change) {
        checks.postpone(JobId("a"));
        clock.advance(JobCheckSchedule::interval / 2);
        CHECK(checks.popDue(many).empty());
    }
}

// A bound that always gave the same jobs would leave the others unchecked.
TEST_CASE("if more jobs are due than the limit, the others come next")
{
    ManualClock clock;
    JobCheckSchedule checks(clock);
    for (const char *const name : {"a", "b", "c"}) {
        checks.postpone(JobId(name));
    }
    clock.advance(JobCheckSchedule::interval);
    CHECK(checks.popDue(2) == Jobs{JobId("a"), JobId("b")});
    CHECK(checks.popDue(2) == Jobs{JobId("c")});
    clock.advance(JobCheckSchedule::interval);
    checks.clear();
    CHECK(checks.popDue(2).empty());
}
