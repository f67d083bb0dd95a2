#include <LibBase/LogRateLimiter.h>
#include <LibBase/ManualClock.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

// A flood of requests brings a flood of lines. The lines that tell of a lost dependency come through all the same, and
// whoever reads the log learns that lines are missing.
TEST_CASE("lines are bounded by the second, grave ones by themselves, and what is left out is counted")
{
    ManualClock clock;
    LogGate gate(clock, {.ordinary = 3, .grave = 2});
    int admitted = 0;
    for (int i = 0; i < 10; ++i) {
        admitted += gate.admit(LogGate::Weight::Ordinary) ? 1 : 0;
    }
    CHECK(admitted == 3);
    CHECK(gate.admit(LogGate::Weight::Grave));
    CHECK(gate.takeDropped() == 7);
    CHECK(gate.takeDropped() == 0);
    clock.advance(std::chrono::seconds(1));
    CHECK(gate.admit(LogGate::Weight::Ordinary));
}
