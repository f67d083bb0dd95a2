#include <LibBase/ManualClock.h>
#include <LibControl/ConfigurationKeys.h>
#include <LibControl/ConfigurationParts.h>
#include <LibControl/ConfigurationWriter.h>
#include <Tests/Fakes/FaultyPlatform.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

struct Fixture
{
    ManualClock clock;
    FaultyPlatform platform{clock};
    ConfigurationStore store{platform};
    ConfigurationWriter writer{store, clock, clock, {}};
    std::vector<ApplyResult> results;

    void apply(std::uint64_t edited, const std::string &nonce, const std::string &base = {})
    {
        this->writer.apply({edited, nonce, "ana", "why", {base, {}}}, [this](const ApplyResult &result) {
            this->results.push_back(result);
        });
        this->clock.advance(1s);
    }

    std::size_t versions() const
    {
        return this->platform.store()->readRange("config/", ConfigurationKeys::versionsEnd(), 100).size();
    }
};

std::string manyTenants(std::size_t count)
{
    std::string text = "[[tenant]]\nname = \"operators\"\nkey_hashes = [\"00\"]\nis_operator = true\n";
    for (std::size_t i = 0; i < count; ++i) {
        text += "[[tenant]]\nname = \"workspace-" + std::to_string(i) + "\"\nconcurrency = " + std::to_string(i % 90 + 1) + "\n";
    }
    return text;
}

} // namespace

TEST_CASE("of two operators who edit the same version one succeeds, and the other gets the accepted version")
{
    // Both edit version 1. Row 2 is inserted only if it is absent, and the second operator gets the first one's row to
    // rebase on. Without the condition the second apply would silently undo the first.
    Fixture fixture;
    fixture.apply(0, "first");
    fixture.apply(1, "ana");
    fixture.apply(1, "bruno");

    REQUIRE(fixture.results.size() == 3);
    CHECK(fixture.results[1].outcome == ApplyOutcome::Accepted);
    CHECK(fixture.results[2].outcome == ApplyOutcome::Raced);
    CHECK(fixture.results[2].row.nonce == "ana");
    CHECK(fixture.versions() == 2);
}

TEST_CASE("of two concurrent applies on different nodes exactly one is accepted")
{
    Fixture fixture;
    FaultyPlatform second(fixture.platform.store(), fixture.clock);
    ConfigurationStore otherStore(second);
    ConfigurationWriter other(otherStore, fixture.clock, fixture.clock, {});
    std::vector<ApplyOutcome> outcomes;
    const auto applied = [&outcomes](const ApplyResult &result) {
        outcomes.push_back(result.outcome);
    };
    fixture.writer.apply({0, "ana", "ana", "", {}}, applied);
    other.apply({0, "bruno", "bruno", "", {}}, applied);
    fixture.clock.advance(1s);

    REQUIRE(outcomes.size() == 2);
    CHECK((outcomes[0] == ApplyOutcome::Accepted) != (outcomes[1] == ApplyOutcome::Accepted));
    CHECK(fixture.versions() == 1);
}

TEST_CASE("an apply whose response was lost is accepted once")
{
    // The platform stores the row but its response is lost. Only the nonce distinguishes the row from one that another
    // operator inserted.
    Fixture fixture;
    fixture.platform.loseAnswers(1);
    fixture.apply(0, "one");

    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].outcome == ApplyOutcome::Accepted);
    CHECK(fixture.versions() == 1);
}

TEST_CASE("an insert that did not reach the platform is retried")
{
    Fixture fixture;
    fixture.platform.loseWrites(1);
    fixture.apply(0, "one");

    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].outcome == ApplyOutcome::Accepted);
    CHECK(fixture.versions() == 1);
}

TEST_CASE("a resent apply returns the version it created, even if later versions exist")
{
    Fixture fixture;
    fixture.apply(0, "one");
    fixture.apply(1, "two");
    fixture.apply(2, "three");
    fixture.apply(1, "two");

    CHECK(fixture.results[3].outcome == ApplyOutcome::Accepted);
    CHECK(fixture.results[3].row.number == 2);
    CHECK(fixture.versions() == 3);
}

TEST_CASE("if the platform goes down after a lost response, the outcome is reported as unknown")
{
    // Reporting "not applied" would make the operator apply the change a second time under another nonce.
    Fixture fixture;
    fixture.platform.loseAnswers(1);
    fixture.writer.apply({0, "one", "ana", "", {}}, [&fixture](const ApplyResult &result) {
        fixture.results.push_back(result);
    });
    fixture.clock.advance(50ms);
    fixture.platform.setDown(true);
    fixture.clock.advance(20s);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].outcome == ApplyOutcome::Unknown);

    fixture.platform.setDown(false);
    fixture.apply(0, "one");
    CHECK(fixture.results[1].outcome == ApplyOutcome::Accepted);
    CHECK(fixture.versions() == 1);
}

TEST_CASE("if the platform is down from the start, the proposal is reported as not applied")
{
    Fixture fixture;
    fixture.platform.setDown(true);
    fixture.apply(0, "one");
    fixture.clock.advance(20s);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].outcome == ApplyOutcome::NotApplied);
}

TEST_CASE("a version cannot be based on one that does not exist")
{
    // If only version 1 exists, a proposal that claims to have edited version 7 would leave a gap: row 8 would be the
    // newest, and operators who edit version 1 could still insert 2, 3, ... unnoticed.
    Fixture fixture;
    fixture.apply(0, "one");
    fixture.apply(7, "eight");
    CHECK(fixture.results[1].outcome == ApplyOutcome::Invalid);
    CHECK(fixture.versions() == 1);
}

TEST_CASE("all errors of all sites are reported together with their locations, and nothing is written")
{
    Fixture fixture;
    const ConfigurationContent content{
        "[entry]\nentry_ttl = 5\n",
        {{"kyushu", "[batch]\nitems = 0\n"}, {"montevideo", "\n[node]\nvm = \"x\"\n[batch]\nitems = 0\n"}}};
    fixture.writer.apply({0, "one", "ana", "", content}, [&fixture](const ApplyResult &result) {
        fixture.results.push_back(result);
    });
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].outcome == ApplyOutcome::Invalid);
    const std::string reported = fixture.results[0].findings.toString();
    CHECK(reported.find("base.toml:2:13: entry_ttl") != std::string::npos);
    CHECK(reported.find("entry_ttl", reported.find("entry_ttl") + 1) == std::string::npos);
    CHECK(reported.find("sites/kyushu.toml:2:9: items") != std::string::npos);
    CHECK(reported.find("sites/montevideo.toml:2:1: [node]") != std::string::npos);
    CHECK(reported.find("sites/montevideo.toml:5:9: items") != std::string::npos);
    CHECK(fixture.versions() == 0);
}

TEST_CASE("a version can neither open the system to everyone nor lock out all operators")
{
    // Without tenants every caller is accepted as an operator, which is intended for trials. A first version that omits the
    // tenants of the VMs' own files would open a running system; one without an operator could never be reverted.
    Fixture fixture;
    const auto applied = [&fixture](const ApplyResult &result) {
        fixture.results.push_back(result);
    };
    fixture.writer.apply({0, "one", "ana", "", {}, Access::NeedsKeys}, applied);
    fixture.writer.apply({0, "two", "ana", "", {"[[tenant]]\nname = \"shop\"\nkey_hashes = [\"ab\"]\n", {}}}, applied);
    REQUIRE(fixture.results.size() == 2);
    CHECK(fixture.results[0].outcome == ApplyOutcome::Invalid);
    CHECK(fixture.results[1].outcome == ApplyOutcome::Invalid);
}

TEST_CASE("a large version is stored in parts, and a small change of it changes few of them")
{
    Fixture fixture;
    const std::string before = manyTenants(10000);
    std::string after = before;
    after.replace(after.find("workspace-5000"), 14, "workspace-five");
    fixture.apply(0, "one", before);
    fixture.apply(1, "two", after);
    REQUIRE(fixture.results.size() == 2);
    REQUIRE(fixture.results[1].outcome == ApplyOutcome::Accepted);

    const ConfigurationRow &first = fixture.results[0].row;
    const ConfigurationRow &second = fixture.results[1].row;
    CHECK(first.content.empty());
    CHECK(first.parts.size() > 10);
    std::size_t changed = 0;
    for (const std::string &key : second.parts) {
        changed += std::ranges::count(first.parts, key) == 0 ? 1 : 0;
    }
    // The first part contains the text's length; the changed line is in one part, or moves the boundary between two.
    CHECK(changed <= 3);
    std::string read;
    fixture.store.readContent(second, [&read](const std::optional<ConfigurationContent> &content) {
        read = content->base;
    });
    fixture.clock.advance(1s);
    CHECK(read == after);
}
