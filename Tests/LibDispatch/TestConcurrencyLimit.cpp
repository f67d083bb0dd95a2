#include <LibDispatch/ConcurrencyLimit.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t slots = 8;

/** Records runs at all concurrencies that the limit allows, ten a second; from a concurrency on they take 2.5 times as long. */
void record(ConcurrencyLimit &limit, int runs, std::uint32_t slowFrom, SteadyTime &now)
{
    for (int run = 0; run < runs; ++run) {
        now += 100ms;
        const std::uint32_t concurrency = 1 + static_cast<std::uint32_t>(run) % limit.value(slots);
        limit.recordRun(concurrency >= slowFrom ? 2.5 : 1, concurrency, {slots, true}, now);
    }
}

} // namespace

// Guards against a limit on a replica that works as well with all its slots.
TEST_CASE("a replica whose time does not depend on the concurrency keeps its slots")
{
    ConcurrencyLimit limit;
    SteadyTime now{1h};
    record(limit, 2000, slots + 1, now);
    CHECK(limit.value(slots) == slots);
    CHECK(limit.slowdown() < 0.01);
}

// Guards against a limit that stays after its cause is gone.
TEST_CASE("a limit is found, and raised when the replica works well with more")
{
    ConcurrencyLimit limit;
    SteadyTime now{1h};
    record(limit, 500, 5, now);
    CHECK(limit.learnedLimit() == 4);
    record(limit, 6000, slots + 1, now);
    CHECK(limit.value(slots) == slots);
}

// Guards against a replica that is always full, so that it is never seen to be fast with fewer requests.
TEST_CASE("a replica that is always full is tried at half of its slots, if that is allowed")
{
    for (const bool mayReduce : {false, true}) {
        ConcurrencyLimit limit;
        SteadyTime now{1h};
        for (int run = 0; run < 1000; ++run) {
            now += 100ms;
            const std::uint32_t concurrency = limit.value(slots);
            limit.recordRun(concurrency >= 5 ? 2.5 : 1, concurrency, {slots, mayReduce}, now);
        }
        CHECK(limit.learnedLimit() == (mayReduce ? 4 : 0));
    }
}
