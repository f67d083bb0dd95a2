#include <LibBase/ManualClock.h>
#include <LibGateway/JobLooks.h>

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
    JobLooks looks(clock);
    looks.noteRow(JobId("a"));
    CHECK(looks.takeDue(many).empty());
    for (int round = 0; round < 3; ++round) {
        clock.advance(JobLooks::interval);
        CHECK(looks.takeDue(many) == Jobs{JobId("a")});
        CHECK(looks.takeDue(many).empty());
    }
    looks.forget(JobId("a"));
    clock.advance(JobLooks::interval);
    CHECK(looks.takeDue(many).empty());
}

TEST_CASE("a job whose row changes is not checked")
{
    ManualClock clock;
    JobLooks looks(clock);
    for (int change = 0; change < 5; ++change) {
        looks.noteRow(JobId("a"));
        clock.advance(JobLooks::interval / 2);
        CHECK(looks.takeDue(many).empty());
    }
}

// If the limit always selected the same jobs, the others would never be checked.
TEST_CASE("if more jobs are due than the limit, the remaining ones come next")
{
    ManualClock clock;
    JobLooks looks(clock);
    for (const char *const name : {"a", "b", "c"}) {
        looks.noteRow(JobId(name));
    }
    clock.advance(JobLooks::interval);
    CHECK(looks.takeDue(2) == Jobs{JobId("a"), JobId("b")});
    CHECK(looks.takeDue(2) == Jobs{JobId("c")});
    clock.advance(JobLooks::interval);
    looks.clear();
    CHECK(looks.takeDue(2).empty());
}
