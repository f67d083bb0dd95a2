#include <LibBase/LogGate.h>
#include <LibBase/ManualClock.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

// Under load, requests write more lines than the limit admits. Lines about a lost dependency must still be written, and the log
// must state how many lines were dropped.
TEST_CASE("lines are limited per second, high-priority ones separately, and dropped lines are counted")
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
