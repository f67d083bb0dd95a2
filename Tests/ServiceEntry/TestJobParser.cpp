#include <Services/Entry/JobParser.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace Dogwoodkeel;

namespace
{

constexpr JobBounds smallBounds{10, 100, 3};

std::string itemLine(int number)
{
    return R"({"model":"m","prompt":")" + std::to_string(number) + "\"}\n";
}

/** The result of parsing a body. */
struct Parsed
{
    std::vector<ItemChunk> chunks;
    std::string findings;
    std::uint32_t items = 0;
    std::uint32_t perChunk = 0;
    std::uint64_t fingerprint = 0;
};

Parsed parse(const std::vector<std::string> &parts, JobBounds bounds)
{
    JobParser parser(bounds);
    for (const std::string &part : parts) {
        parser.feed(part);
    }
    parser.end();
    Parsed parsed;
    while (auto chunk = parser.popChunk()) {
        parsed.chunks.push_back(std::move(*chunk));
    }
    parsed.findings = parser.findings().toString();
    parsed.items = parser.itemCount();
    parsed.perChunk = parser.itemsPerChunk();
    parsed.fingerprint = parser.fingerprint();
    return parsed;
}

} // namespace

TEST_CASE("Items are split into chunks of the reported size")
{
    std::string body;
    for (int i = 0; i < 7; ++i) {
        body += itemLine(i);
    }
    const Parsed parsed = parse({body}, smallBounds);
    CHECK(parsed.findings.empty());
    CHECK(parsed.items == 7);
    CHECK(parsed.perChunk == 3);
    REQUIRE(parsed.chunks.size() == 3);
    CHECK(parsed.chunks[1].items == itemLine(3) + itemLine(4) + itemLine(5));
    CHECK(parsed.chunks[2].items == itemLine(6));
    CHECK(parsed.chunks[0].customIds.empty());
}

TEST_CASE("Every invalid line is reported with its number")
{
    const std::string otherModel = R"({"model":"other","prompt":"x"})";
    const std::string noModel = R"({"prompt":"x"})";
    const std::string body = itemLine(0) + "nonsense\n\n" + otherModel + '\n' + std::string(101, 'x') + '\n' + noModel;
    const Parsed parsed = parse({body}, smallBounds);
    CHECK(parsed.findings.find("2:1") != std::string::npos);
    CHECK(parsed.findings.find("4:1") != std::string::npos);
    CHECK(parsed.findings.find("5:1") != std::string::npos);
    CHECK(parsed.findings.find("6:1") != std::string::npos);
    CHECK(parsed.findings.find("3:1") == std::string::npos);
}

TEST_CASE("A job without items and one with too many are refused")
{
    CHECK(!parse({"\n\r\n"}, smallBounds).findings.empty());
    std::string body;
    for (int i = 0; i < 11; ++i) {
        body += itemLine(i);
    }
    CHECK(parse({body}, smallBounds).findings.find("more than 10 items") != std::string::npos);
}

TEST_CASE("Items with custom ids are unwrapped, and their ids are stored separately")
{
    const std::string unwrapped = R"({"model":"m","prompt":"x"})";
    const std::string wrapped = R"({"custom_id":"a","method":"POST","url":"/v1/completions","body":)" + unwrapped + "}\n";
    const Parsed parsed = parse({wrapped + itemLine(1)}, {10, 200, 3});
    CHECK(parsed.findings.empty());
    REQUIRE(parsed.chunks.size() == 1);
    CHECK(parsed.chunks[0].items == unwrapped + '\n' + itemLine(1));
    CHECK(parsed.chunks[0].customIds == R"(["a",null])");
    CHECK(!parse({R"({"custom_id":7,"body":{"model":"m","prompt":"x"}})"}, smallBounds).findings.empty());
    CHECK(!parse({R"({"custom_id":"a","body":[]})"}, smallBounds).findings.empty());
}

// A line without an end must not use unbounded memory, however much data arrives.
TEST_CASE("A line without an end is refused without being stored")
{
    JobParser parser(smallBounds);
    for (int i = 0; i < 1000; ++i) {
        parser.feed(std::string(1000, 'x'));
    }
    parser.end();
    CHECK(parser.findings().all().size() == 1);
    CHECK(parser.pendingChunks() == 0);
}

TEST_CASE("Large items are split into smaller chunks, the same in each submission")
{
    const JobBounds bounds{100, 2000000, 50};
    std::string body;
    for (int i = 0; i < 8; ++i) {
        body += R"({"model":"m","prompt":")" + std::string(1500000, 'x') + "\"}\n";
    }
    const Parsed first = parse({body}, bounds);
    const Parsed again = parse({body.substr(0, 2000001), body.substr(2000001)}, bounds);
    CHECK(first.perChunk == 3);
    CHECK(first.chunks.size() == 3);
    CHECK(again.perChunk == first.perChunk);
    CHECK(again.fingerprint == first.fingerprint);
}

TEST_CASE("Parsing does not crash, and does not depend on how the body is split into parts")
{
    CHECK(rc::check([] {
        const std::vector<std::string> known{itemLine(1),
                                             itemLine(2),
                                             "\r\n",
                                             "{}\n",
                                             "[1]\n",
                                             "\xff\n",
                                             R"({"custom_id":"\ud800","body":{"model":"m","prompt":1}})",
                                             R"({"body":{}})",
                                             R"({"model":"m","messages":[]})",
                                             "\n"};
        const auto lines = *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(known));
        std::string body;
        for (const std::string &line : lines) {
            body += line;
        }
        body += *rc::gen::string<std::string>();
        const std::size_t cut = body.empty() ? 0 : *rc::gen::inRange<std::size_t>(0, body.size());
        const Parsed whole = parse({body}, smallBounds);
        const Parsed parts = parse({body.substr(0, cut), body.substr(cut)}, smallBounds);
        RC_ASSERT(whole.findings == parts.findings);
        RC_ASSERT(whole.items == parts.items);
        RC_ASSERT(whole.fingerprint == parts.fingerprint);
        RC_ASSERT(whole.chunks.size() == parts.chunks.size());
        for (std::size_t i = 0; i < whole.chunks.size(); ++i) {
            RC_ASSERT(whole.chunks[i].items == parts.chunks[i].items);
            RC_ASSERT(whole.chunks[i].customIds == parts.chunks[i].customIds);
        }
    }));
}
