#include <Services/Lane/EngineReport.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

// Guards against a report that ends the node by an exception in its event loop, and against numbers that wrap.
TEST_CASE("a malformed load report is read with defaults, and a very large number as the largest one")
{
    CHECK_FALSE(parseEngineReport("no JSON"));
    std::optional<EngineReport> report;
    REQUIRE_NOTHROW(report = parseEngineReport(R"({"running":"x","queued":-1,"leaving":7})"));
    CHECK(report->load.running == 0);
    CHECK(report->load.queued == 0);
    CHECK_FALSE(report->isLeaving);
    REQUIRE_NOTHROW(report = parseEngineReport(R"({"running":4294967297,"queued":2,"leaving":true})"));
    CHECK(report->load.running == 4294967295);
    CHECK(report->load.queued == 2);
    CHECK(report->isLeaving);
}
