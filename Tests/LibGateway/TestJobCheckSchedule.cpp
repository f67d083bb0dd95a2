#include <LibBase/ManualClock.h>
#include <LibGateway/JobCheckSchedule.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

namespace
{

constexpr std::size_t many = 10;

using Jobs = std::vector<JobId>;

} // namespace

// A single look may find nobody who can be told: a job that was looked at but once would be left lying.
TEST_CASE("a job is looked at again and again for as long as it is open")
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

TEST_CASE("a job whose row changes is not looked at")
{
    ManualClock clock;
    JobLooks looks(clock);
    for (int change = 0; change < 5; ++change) {
        looks.noteRow(JobId("a"));
        clock.advance(JobLooks::interval / 2);
        CHECK(looks.takeDue(many).empty());
    }
}

// A bound that always gave the same jobs would leave the others without a look.
TEST_CASE("where more jobs are due than are taken at once, all have their turn")
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
