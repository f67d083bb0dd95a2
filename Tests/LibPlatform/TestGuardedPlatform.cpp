#include <LibBase/ManualClock.h>
#include <LibPlatform/GuardedPlatform.h>
#include <Tests/Fakes/FaultyPlatform.h>

#include <doctest/doctest.h>

#include <map>

using namespace Dogwoodkeel;

namespace
{

/** A GuardedPlatform around a platform that the test can set to be down. */
struct Fixture
{
    ManualClock clock;
    FaultyPlatform *faulty = nullptr;
    std::shared_ptr<CallBudget> budget = std::make_shared<CallBudget>(this->clock, CallBudget::Rates{1000, 100});
    std::map<std::string, int> calls;
    std::unique_ptr<GuardedPlatform> platform;

    Fixture()
    {
        auto inner = std::make_unique<FaultyPlatform>(this->clock);
        this->faulty = inner.get();
        this->platform = std::make_unique<GuardedPlatform>(std::move(inner),
                                                           this->clock,
                                                           this->clock,
                                                           this->budget,
                                                           std::chrono::seconds(2),
                                                           [this](CallKind, std::string_view cause, std::string_view outcome) {
                                                               ++this->calls[std::string(cause) + ' ' + std::string(outcome)];
                                                           });
    }

    /** Inserts a row and advances the clock. @return the outcome, if it is known by then */
    std::optional<WriteOutcome> write(const std::string &key, std::chrono::milliseconds wait = std::chrono::milliseconds(1))
    {
        const auto outcome = std::make_shared<std::optional<WriteOutcome>>();
        this->platform->tables().insertIfAbsent(key, "value", [outcome](WriteOutcome reported) {
            *outcome = reported;
        });
        this->clock.advance(wait);
        return *outcome;
    }
};

} // namespace

// Guards against retry storms. Nodes with many pending writes retry each one; if all retries were sent to a platform that is
// down, rejecting them would overload it, also while it recovers.
TEST_CASE("A platform that is down receives only occasional probes")
{
    Fixture fixture;
    fixture.faulty->setDown(true);
    for (int i = 0; i < 10000; ++i) {
        CHECK(fixture.write("journal/1") == WriteOutcome::NotApplied);
    }
    const int sent = fixture.calls["journal not_applied"];
    CHECK(sent >= 8);
    CHECK(sent <= 20);
    CHECK(fixture.calls["journal circuit_open"] == 10000 - sent);

    fixture.faulty->setDown(false);
    std::optional<WriteOutcome> outcome;
    for (int i = 0; i < 100 && outcome != WriteOutcome::Done; ++i) {
        outcome = fixture.write("journal/2", std::chrono::milliseconds(100));
    }
    CHECK(outcome == WriteOutcome::Done);
    CHECK(fixture.write("journal/3") == WriteOutcome::Done);
}

TEST_CASE("A refusal shows that the platform works")
{
    Fixture fixture;
    fixture.write("shard/1");
    for (int i = 0; i < 20; ++i) {
        CHECK(fixture.write("shard/1", std::chrono::milliseconds(100)) == WriteOutcome::Refused);
    }
}

TEST_CASE("Writes are limited to this node's share of the rate, and run in order")
{
    Fixture fixture;
    fixture.budget->setMembers(10);
    int done = 0;
    for (int i = 0; i < 25; ++i) {
        fixture.platform->tables().insertIfAbsent("items/" + std::to_string(i), "value", [&done](WriteOutcome outcome) {
            done += outcome == WriteOutcome::Done ? 1 : 0;
        });
    }
    fixture.clock.advance(std::chrono::milliseconds(1));
    // 10 per second for this node: the burst of a quarter second immediately, then one every 100 ms.
    CHECK(done == 3);
    fixture.clock.advance(std::chrono::seconds(1));
    CHECK(done == 13);
    fixture.clock.advance(std::chrono::seconds(1));
    CHECK(done == 23);
    CHECK(fixture.calls["items over_budget"] == 2);
}

TEST_CASE("Reads and writes are limited separately")
{
    Fixture fixture;
    fixture.budget->setMembers(100);
    fixture.write("items/1");
    CHECK(fixture.write("items/2") == std::nullopt);
    // The journal limits its own rate.
    CHECK(fixture.write("journal/1") == WriteOutcome::Done);
    bool isRead = false;
    fixture.platform->tables().read("items/1", [&isRead](const RowResult &result) {
        isRead = result.outcome == ReadOutcome::Found;
    });
    fixture.clock.advance(std::chrono::milliseconds(1));
    CHECK(isRead);
}
