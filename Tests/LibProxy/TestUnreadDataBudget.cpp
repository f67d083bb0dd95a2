#include <LibBase/ManualClock.h>
#include <LibProxy/UnreadDataBudget.h>

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>

using namespace Dogwoodkeel;

namespace
{

using Action = UnreadDataBudget::Action;

constexpr UnreadDataLimits limits{.pauseBytes = 100, .maxPause = std::chrono::milliseconds(1000), .totalBytes = 1000};

/** @return what is decided now, such as "pause 1". */
std::string decided(UnreadDataBudget &budget)
{
    std::string text;
    for (const UnreadDataBudget::Decision &decision : budget.decide()) {
        const char *const names[] = {"pause ", "resume ", "too long ", "largest "};
        text.append(text.empty() ? "" : ", ").append(names[static_cast<int>(decision.action)]);
        text.append(std::to_string(decision.caller));
    }
    return text;
}

} // namespace

// A replica is paused and resumed for each event, or is never read again, because both have the same bound.
TEST_CASE("a caller is paused from the bound on and resumed at half of it")
{
    const ManualClock clock;
    UnreadDataBudget budget(clock, limits);
    CHECK(!budget.record(1, 99, true));
    CHECK(budget.record(1, 100, true));
    CHECK(decided(budget) == "pause 1");
    CHECK(!budget.record(1, 51, true));
    CHECK(decided(budget).empty());
    CHECK(budget.record(1, 50, true));
    CHECK(decided(budget) == "resume 1");
    CHECK(budget.pausedCallers() == 0);
    // A caller that has read enough before the decision is not affected.
    CHECK(budget.record(1, 100, true));
    budget.record(1, 60, true);
    CHECK(decided(budget).empty());
}

// A caller that reads nothing, or a byte at a time, blocks a replica's slot; one that reads the rest of a whole answer does not.
TEST_CASE("only a caller whose stream is paused for too long is disconnected")
{
    ManualClock clock;
    UnreadDataBudget budget(clock, limits);
    budget.record(1, 120, true);
    budget.record(2, 120, false);
    CHECK(decided(budget) == "pause 1, pause 2");
    clock.advance(std::chrono::milliseconds(999));
    budget.record(1, 119, true);
    CHECK(decided(budget).empty());
    clock.advance(std::chrono::milliseconds(1));
    CHECK(decided(budget) == "too long 1");
    CHECK(budget.total() == 120);
    // The time of a pause is not carried over to the next one.
    budget.record(3, 120, true);
    CHECK(decided(budget) == "pause 3");
    clock.advance(std::chrono::milliseconds(600));
    budget.record(3, 0, true);
    CHECK(decided(budget) == "resume 3");
    budget.record(3, 120, true);
    CHECK(decided(budget) == "pause 3");
    clock.advance(std::chrono::milliseconds(600));
    CHECK(decided(budget).empty());
}

// Many callers that are each within their bound use up the memory of the node.
TEST_CASE("the largest slow callers are disconnected until the total is within its bound")
{
    ManualClock clock;
    UnreadDataBudget budget(clock, limits);
    for (std::uint64_t caller = 1; caller <= 12; ++caller) {
        budget.record(caller, 70 + caller, false);
    }
    clock.advance(std::chrono::milliseconds(500));
    // A sound caller that was just sent a large answer is not disconnected for the slow ones.
    CHECK(budget.record(13, 300, false));
    CHECK(decided(budget) == "pause 13, largest 12, largest 11, largest 10");
    CHECK(budget.total() <= limits.totalBytes);
    // Memory comes first if no caller is known to be slow.
    UnreadDataBudget fresh(clock, limits);
    fresh.record(1, 90, true);
    CHECK(fresh.record(2, 950, false));
    CHECK(decided(fresh) == "pause 2, largest 2");
}

// A total that drifts from the sum disconnects sound callers after days, or nobody at all.
TEST_CASE("the total stays the sum of all callers in any order of events")
{
    ManualClock clock;
    UnreadDataBudget budget(clock, limits);
    std::minstd_rand random(20261204);
    std::map<std::uint64_t, std::size_t> model;
    for (int step = 0; step < 20000; ++step) {
        const std::uint64_t caller = random() % 30;
        if (random() % 5 == 0) {
            budget.remove(caller);
            model.erase(caller);
        } else {
            model[caller] = random() % 3 == 0 ? 0 : random() % 150;
            budget.record(caller, model[caller], random() % 2 == 0);
        }
        clock.advance(std::chrono::milliseconds(random() % 100));
        for (const UnreadDataBudget::Decision &decision : budget.decide()) {
            if (decision.action == Action::DisconnectPaused || decision.action == Action::DisconnectLargest) {
                model.erase(decision.caller);
            }
        }
        std::size_t sum = 0;
        for (const auto &[number, bytes] : model) {
            sum += bytes;
        }
        REQUIRE(budget.total() == sum);
        REQUIRE(sum <= limits.totalBytes);
    }
}
