#include <LibExplain/ExplainReport.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

namespace
{

std::string lineAt(const std::string &seconds, const std::string &vm, const std::string &event, const std::string &fields)
{
    return R"({"time":"2026-08-24T08:06:)" + seconds + R"(+00:00","level":"info","vm":")" + vm + R"(","event":")" + event + '"'
        + (fields.empty() ? "" : "," + fields) + "}";
}

void add(ExplainReport &report, const std::string &text)
{
    const std::optional<LogLine> line = parseLogLine(text);
    REQUIRE(line);
    report.add(*line);
}

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a line is parsed with its time, also after a prefix of a log collector")
{
    const std::string text = lineAt("45.250000", "a", "request over", R"("request":"r1","status":502,"reason":"it broke")");
    const std::optional<LogLine> line = parseLogLine("  12.5 node-1 " + text);
    REQUIRE(line);
    CHECK(line->vm == "a");
    CHECK(line->event == "request over");
    CHECK(line->field("status") == "502");
    CHECK(line->field("none").empty());
    CHECK(line->mentions("r1"));
    CHECK(line->fieldsText() == R"(request=r1 status=502 reason="it broke")");
    CHECK(timeOfDay(line->time) == "08:06:45.250");
}

TEST_CASE("text that is not a log line of a node is ignored")
{
    for (const char *text : {"", "plain words", "{", "{}", "[1]", R"({"time":"soon","vm":"a","event":"b"})", R"({"time":1})"}) {
        CHECK_FALSE(parseLogLine(text));
    }
}

TEST_CASE("the lines of an id are printed in order, whatever node and file they come from")
{
    ExplainReport report("r1");
    add(report, lineAt("45.300000", "b", "request over", R"("request":"r1","status":200)"));
    add(report, lineAt("45.100000", "a", "request over", R"("request":"r1","status":503)"));
    add(report, lineAt("45.200000", "a", "request over", R"("request":"r2","status":200)"));
    const std::string text = report.text();
    CHECK(text.find("status=503") < text.find("status=200"));
    CHECK_FALSE(has(text, "r2"));
}

// A request was sent to a draining replica. The report must show what the node knew of that replica and how old it was, but not
// what it learned of other replicas or learned later.
TEST_CASE("the newest state that its nodes knew is printed with its age")
{
    ExplainReport report("r1");
    add(report, lineAt("30.000000", "a", "replica changed", R"("replica":"x","draining":false)"));
    add(report, lineAt("42.800000", "a", "replica changed", R"("replica":"x","draining":true)"));
    add(report, lineAt("42.900000", "a", "replica changed", R"("replica":"y","draining":true)"));
    add(report, lineAt("43.000000", "b", "store lost", ""));
    add(report, lineAt("46.000000", "a", "configuration in force", R"("version":9)"));
    add(report, lineAt("45.300000", "a", "request over", R"("request":"r1","status":502,"replica":"x")"));
    const std::string text = report.text();
    CHECK(has(text, "draining=true  [2.5 s before the end]"));
    CHECK_FALSE(has(text, "draining=false"));
    CHECK_FALSE(has(text, "replica=y"));
    CHECK_FALSE(has(text, "store lost"));
    CHECK_FALSE(has(text, "version=9"));
}

TEST_CASE("failures at the same replica indicate the replica, failures at the same node indicate the node")
{
    ExplainReport report("r1");
    add(report, lineAt("45.300000", "a", "request goes on at another replica", R"("request":"r1","from":"x")"));
    add(report, lineAt("45.400000", "b", "batch item goes on elsewhere", R"("item":"i1","replica":"x")"));
    add(report, lineAt("45.500000", "c", "request over", R"("request":"r2","status":502,"replica":"x")"));
    add(report, lineAt("45.300000", "a", "batch item goes on elsewhere", R"("item":"i2","replica":"y")"));
    add(report, lineAt("49.500000", "c", "request over", R"("request":"r3","status":502,"replica":"x")"));
    add(report, lineAt("45.500000", "c", "request over", R"("request":"r4","status":200,"replica":"x")"));
    const std::string text = report.text();
    CHECK(has(text, "2 others left x within a second, at 2 VMs: the replica"));
    CHECK(has(text, "others at a left 1 other replica within a second\n"));
}

TEST_CASE("identical lines in a row are printed once, and dropped lines are reported")
{
    ExplainReport report("j1");
    for (const char *second : {"45.100000", "45.200000", "45.300000"}) {
        add(report, lineAt(second, "a", "job call answered", R"("call":"results","job":"j1","status":200)"));
    }
    CHECK(has(report.text(), "(3 such lines in a row)"));
    CHECK_FALSE(has(report.text(), "gaps"));
    add(report, lineAt("46.000000", "a", "members changed", R"("members":3,"lines_left_out_before":12)"));
    CHECK(has(report.text(), "The logs have gaps"));
    CHECK_FALSE(ExplainReport("other").isKnown());
}
