#include <LibBase/ManualClock.h>
#include <LibRouting/RetryBudget.h>

#include <doctest/doctest.h>

#include <string>

using namespace Dogwoodkeel;

TEST_CASE("in a total outage retries fall to the allowance per second, regardless of the request rate")
{
    // Every attempt fails. Without a budget 10,000 requests would cause 20,000 retries; with it callers are refused at
    // once.
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

TEST_CASE("retries of one tenant do not consume the budget of others")
{
    ManualClock clock;
    RetryBudget budget(clock, {});
    int consumed = 0;
    for (int i = 0; i < 100; ++i) {
        consumed += budget.tryConsume(WorkspaceName("failing"), EndpointName(std::to_string(i))) ? 1 : 0;
    }
    CHECK(consumed == 20);
    CHECK(budget.tryConsume(WorkspaceName("other"), EndpointName("1")));
}

TEST_CASE("retries to one endpoint are limited across all tenants")
{
    ManualClock clock;
    RetryBudget budget(clock, {});
    int consumed = 0;
    for (int i = 0; i < 100; ++i) {
        consumed += budget.tryConsume(WorkspaceName(std::to_string(i)), EndpointName("last")) ? 1 : 0;
    }
    CHECK(consumed == 20);
}

TEST_CASE("successes refill the budget, so that a steady failure rate of 10% can always be retried")
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
