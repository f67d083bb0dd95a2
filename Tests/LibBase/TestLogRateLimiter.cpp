#include <LibBase/LogRateLimiter.h>
#include <LibBase/ManualClock.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

// Under load, lines about a lost dependency are still written, and the log states how many lines are missing.
TEST_CASE("lines are limited per second and priority, and dropped lines are counted")
{
    ManualClock clock;
    LogRateLimiter gate(clock, {.ordinary = 3, .urgent = 2});
    int admitted = 0;
    for (int i = 0; i < 10; ++i) {
        admitted += gate.admit(LogRateLimiter::Priority::Ordinary) ? 1 : 0;
    }
    CHECK(admitted == 3);
    CHECK(gate.admit(LogRateLimiter::Priority::Urgent));
    CHECK(gate.takeDropped() == 7);
    CHECK(gate.takeDropped() == 0);
    clock.advance(std::chrono::seconds(1));
    CHECK(gate.admit(LogRateLimiter::Priority::Ordinary));
}
