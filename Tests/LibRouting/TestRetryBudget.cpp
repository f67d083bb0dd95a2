#include <LibBase/ManualClock.h>
#include <LibRouting/RetryBudget.h>

#include <doctest/doctest.h>

#include <string>

using namespace Dogwoodkeel;

TEST_CASE("in a total outage retries fall to a small allowance, however many requests come")
{
    // Callers see refusals at once. Every attempt fails; without a budget 10,000 requests would make 20,000 retries.
    ManualClock clock;
    RetryBudget budget(clock, {});
    int retries = 0;
    for (int i = 0; i < 10000; ++i) {
        clock.advance(std::chrono::milliseconds(1));
        for (int attempt = 0; attempt < 2; ++attempt) {
            retries += budget.tryConsume(WorkspaceName("t"), EndpointName("e" + std::to_string(i % 9))) ? 1 : 0;
        }
    }
    CHECK(retries <= 31);
    CHECK(retries >= 25);
}

TEST_CASE("retries of one tenant leave the others theirs")
{
    ManualClock clock;
    RetryBudget budget(clock, {});
    int taken = 0;
    for (int i = 0; i < 100; ++i) {
        taken += budget.tryConsume(WorkspaceName("failing"), EndpointName(std::to_string(i))) ? 1 : 0;
    }
    CHECK(taken == 20);
    CHECK(budget.tryConsume(WorkspaceName("other"), EndpointName("1")));
}

TEST_CASE("an endpoint that gets many retries gets no more, whichever tenants they are from")
{
    ManualClock clock;
    RetryBudget budget(clock, {});
    int taken = 0;
    for (int i = 0; i < 100; ++i) {
        taken += budget.tryConsume(WorkspaceName(std::to_string(i)), EndpointName("last")) ? 1 : 0;
    }
    CHECK(taken == 20);
}

TEST_CASE("successes pay for retries: a tenth of failing attempts is retried for ever")
{
    ManualClock clock;
    RetryBudget budget(clock, {.perSecond = 0});
    for (int i = 0; i < 10000; ++i) {
        if (i % 10 == 0) {
            REQUIRE(budget.tryConsume(WorkspaceName("t"), EndpointName("e")));
        } else {
            budget.recordSuccess(WorkspaceName("t"), EndpointName("e"));
        }
    }
}
