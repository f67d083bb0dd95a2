#include <LibBase/ManualClock.h>
#include <LibJournal/WritePace.h>

#include <doctest/doctest.h>

#include <random>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

struct Load
{
    int records = 0;
    int writes = 0;
    std::chrono::milliseconds maxWait{0};
};

/** Simulates records that arrive at random times; each write includes all waiting records. */
Load run(WritePace &pace, double recordsPerSecond, std::chrono::seconds time)
{
    std::mt19937_64 random(7);
    std::bernoulli_distribution arrives(recordsPerSecond / 1000);
    ManualClock clock;
    Load load;
    SteadyTime waitingSince{};
    bool isWaiting = false;
    for (std::chrono::milliseconds passed{0}; passed < time; passed += 1ms) {
        clock.advance(1ms);
        if (arrives(random)) {
            pace.recordAdded(clock.now());
            ++load.records;
            waitingSince = isWaiting ? waitingSince : clock.now();
            isWaiting = true;
        }
        if (isWaiting && pace.nextStart(clock.now()) <= clock.now()) {
            pace.writeStarted(clock.now(), 1);
            ++load.writes;
            isWaiting = false;
            const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - waitingSince);
            load.maxWait = std::max(load.maxWait, wait);
        }
    }
    return load;
}

} // namespace

TEST_CASE("a single record is written at once, and records at a high rate share writes")
{
    WritePace quiet({});
    CHECK(run(quiet, 5, 20s).maxWait <= 6ms);
    WritePace busy({});
    const Load load = run(busy, 300, 20s);
    CHECK(load.writes * 20 < load.records);
    CHECK(load.maxWait <= 80ms);
}

TEST_CASE("writes stay within the budget at any record rate")
{
    for (const double rate : {10.0, 100.0, 900.0}) {
        WritePace pace({.gatherTime = 0ms, .writesPerSecond = 20});
        CHECK(run(pace, rate, 60s).writes <= 20 * 60 + 20 + 1);
    }
}

TEST_CASE("a lowered budget takes effect at once")
{
    ManualClock clock;
    WritePace pace({.writesPerSecond = 1000});
    pace.setWritesPerSecond(2, clock.now());
    int writes = 0;
    for (int i = 0; i < 10'000; ++i) {
        clock.advance(1ms);
        pace.recordAdded(clock.now());
        if (pace.nextStart(clock.now()) <= clock.now()) {
            pace.writeStarted(clock.now(), 1);
            ++writes;
        }
    }
    CHECK(writes <= 22);
}

TEST_CASE("all journals together stay under the platform's writes at the target size")
{
    constexpr double budget = 300;
    const std::size_t journals = std::min<std::size_t>(390, maxJournals(budget));
    CHECK(journals < 390);
    CHECK(journalWritesPerSecond(budget, journals) * static_cast<double>(journals) <= budget);
    CHECK(journalWritesPerSecond(budget, journals) >= 8);
    CHECK(maxJournals(1) == 1);
}
