#include <LibSettings/SettingsLoader.h>

#include <doctest/doctest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <vector>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

constexpr const char *node = "[node]\nvm = \"entry-1\"\nfailure_domain = \"mvd-centro\"\n";

}

TEST_CASE("an overlay states only what differs")
{
    Findings findings;
    const auto settings = loadSettings({{"base", std::string(node) + R"(
[entry]
entry_ttl = "10s"
drain = "30s"
[[endpoint]]
name = "a"
address = "127.0.0.1:1"
failure_domain = "mvd-centro"
model = "appraisal"
capacity = 4
)"},
                                        {"site", R"(
[entry]
entry_ttl = "2s"
[[endpoint]]
name = "a"
capacity = 16
)"}},
                                       findings);
    REQUIRE_MESSAGE(settings.has_value(), findings.toString());
    CHECK(settings->entry.entryTtl == 2s);
    CHECK(settings->entry.drain == 30s);
    REQUIRE(settings->endpoints.size() == 1);
    CHECK(settings->endpoints[0].capacity == 16);
    CHECK(settings->endpoints[0].model == "appraisal");
}

TEST_CASE("every error is reported with its position, and nothing is loaded")
{
    Findings findings;
    const auto settings = loadSettings({{"base", R"([node]
vm = 7
failure_domain = "mvd-centro"
[entry]
entry_ttl = "10 seconds"
drian = "30s"
[owner]
shards = 0
[[endpoint]]
name = "a"
address = "somewhere:1"
failure_domain = "mvd-centro"
)"}},
                                       findings);
    CHECK_FALSE(settings.has_value());
    const std::string report = findings.toString();
    CHECK(report.find("base:2:6: vm must be a string") != std::string::npos);
    CHECK(report.find("base:5:13: entry_ttl must be a duration") != std::string::npos);
    CHECK(report.find("base:6:9: unknown key drian") != std::string::npos);
    CHECK(report.find("base:8:10: shards must be a whole number from 1 to 65536") != std::string::npos);
    CHECK(report.find("base:11:11: address must be an IPv4 address") != std::string::npos);
    CHECK(report.find("must name either a model or a service") != std::string::npos);
}

TEST_CASE("text that is not valid TOML is a finding with its position")
{
    Findings findings;
    CHECK_FALSE(loadSettings({{"base", "[node\nvm = 1"}}, findings).has_value());
    REQUIRE(findings.all().size() == 1);
    CHECK(findings.all()[0].place.line == 1);
}

TEST_CASE("an empty file is an overlay that changes nothing; a missing one is a finding")
{
    const std::string path = (std::filesystem::temp_directory_path() / "dogwoodkeel-empty-overlay.toml").string();
    std::ofstream(path).close();
    Findings findings;
    std::vector<SettingsSource> sources;
    readSettingsFiles({path}, sources, findings);
    std::filesystem::remove(path);
    CHECK(findings.isEmpty());
    REQUIRE(sources.size() == 1);
    CHECK(sources[0].text.empty());
    readSettingsFiles({path}, sources, findings);
    REQUIRE(findings.all().size() == 1);
    CHECK(findings.all()[0].message == "cannot be read");
}

// Malformed input that fails an assertion of the TOML library must not abort the programs that read it, such as nodes that
// apply a configuration. Found by fuzzing.
TEST_CASE("Input that fails an assertion of the TOML library is a finding")
{
    for (const char *const text : {"[$[", "[$", "a = [$", "[\x01"}) {
        Findings findings;
        CHECK(!loadSettings({{"file", text}}, findings).has_value());
        CHECK(!findings.isEmpty());
    }
}
