#include <LibBase/ManualClock.h>
#include <LibFleet/ReportSubscriptions.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

TEST_CASE("reports respect the interval of the subscriber and end when the subscription expires")
{
    ManualClock clock;
    ReportSubscriptions subscriptions;
    subscriptions.renew(SessionNumber(1), 1000ms, {EndpointName("a"), EndpointName("b")}, clock.now());
    const auto first = subscriptions.due(clock.now());
    REQUIRE(first.size() == 1);
    CHECK(first[0].endpoints.size() == 2);
    clock.advance(500ms);
    CHECK(subscriptions.due(clock.now()).empty());
    clock.advance(500ms);
    CHECK(subscriptions.due(clock.now()).size() == 1);
    clock.advance(10000ms);
    CHECK(subscriptions.due(clock.now()).empty());
}

TEST_CASE("the report interval grows with the number of replicas, so that the traffic stays bounded")
{
    CHECK(ReportSubscriptions::interval(12, 4096, 500ms) == 500ms);
    CHECK(ReportSubscriptions::interval(1800, 4096, 500ms) > 40s);
}
