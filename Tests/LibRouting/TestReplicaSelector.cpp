#include <LibBase/Hash.h>
#include <LibBase/ManualClock.h>
#include <LibFleet/FleetState.h>
#include <LibRouting/ReplicaSelector.h>

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

/** A pool in three failure domains, and a node that chooses from it. */
struct Fixture
{
    explicit Fixture(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            EndpointSettings endpoint;
            endpoint.name = "r" + std::to_string(i);
            endpoint.model = "m";
            endpoint.capacity = 8;
            endpoint.failureDomain = "d" + std::to_string(i % 3);
            this->endpoints.push_back(endpoint);
        }
        this->table.emplace(this->endpoints);
        this->state.emplace(this->clock, this->handle, *this->table);
        this->chooser.emplace(this->clock, this->handle, *this->table, this->random);
    }

    Replica &replica(std::size_t index)
    {
        return *this->table->find(EndpointName("r" + std::to_string(index)));
    }

    Replica *choose(const SelectionQuery &query = {})
    {
        return this->chooser->select("m", query);
    }

    /** @return how often each replica was chosen, each choice staying in flight. */
    std::map<std::string, int> fill(int requests, const SelectionQuery &query = {})
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < requests; ++i) {
            Replica *const chosen = this->choose(query);
            this->state->begin(*chosen);
            ++counts[chosen->name.value()];
        }
        return counts;
    }

    void fail(std::size_t index, int times)
    {
        for (int i = 0; i < times; ++i) {
            this->state->begin(this->replica(index));
            this->state->end(this->replica(index), {AttemptOutcome::Failed, {}});
        }
        this->clock.advance(100ms);
    }

    void serve(std::size_t index, std::chrono::microseconds time)
    {
        this->state->begin(this->replica(index));
        this->state->end(this->replica(index), {AttemptOutcome::Succeeded, time});
    }

    ManualClock clock;
    SettingsHandle handle{std::make_shared<Settings>()};
    const FleetSettings &settings = this->handle->fleet;
    std::vector<EndpointSettings> endpoints;
    std::mt19937_64 random{7};
    std::optional<ReplicaTable> table;
    std::optional<FleetState> state;
    std::optional<ReplicaSelector> chooser;
};

} // namespace

TEST_CASE("a leaving replica is not chosen, from the very next choice on")
{
    Fixture fixture(2);
    fixture.choose();
    fixture.state->markLeaving(fixture.replica(0));
    for (int i = 0; i < 100; ++i) {
        CHECK(fixture.choose() == &fixture.replica(1));
    }
    fixture.state->markLeaving(fixture.replica(1));
    CHECK(fixture.choose() == nullptr);
}

TEST_CASE("after a failure the other failure domains come first, and the failed one still serves if it is all there is")
{
    Fixture fixture(9);
    SelectionQuery query;
    query.avoid = {EndpointName("r0")};
    query.avoidDomain = FailureDomain("d0");
    for (int i = 0; i < 100; ++i) {
        CHECK(fixture.choose(query)->failureDomain != query.avoidDomain);
    }
    for (const std::size_t index : {1U, 2U, 4U, 5U, 7U, 8U}) {
        fixture.state->markLeaving(fixture.replica(index));
    }
    Replica *const chosen = fixture.choose(query);
    REQUIRE(chosen != nullptr);
    CHECK(chosen->failureDomain == query.avoidDomain);
    CHECK(chosen->name != EndpointName("r0"));
}

TEST_CASE("an old accelerator that takes twice as long gets about half as many requests")
{
    Fixture fixture(6);
    for (std::size_t i = 0; i < 6; ++i) {
        fixture.serve(i, i < 3 ? 20000us : 40000us);
    }
    fixture.clock.advance(100ms);
    std::map<std::string, int> counts = fixture.fill(90);
    const int young = counts["r0"] + counts["r1"] + counts["r2"];
    CHECK(young >= 54);
    CHECK(young <= 66);
}

TEST_CASE("requests that share a prefix share a replica until it is too full")
{
    // One prompt template is suddenly behind every request. Sending all of them where its prefix is cached would queue
    // them on one replica while the others idle.
    Fixture fixture(9);
    SelectionQuery query;
    query.prefix = 42;
    Replica *const home = fixture.choose(query);
    fixture.state->begin(*home);
    fixture.state->end(*home, {AttemptOutcome::Succeeded, {}});
    CHECK(fixture.choose(query) == home);
    const std::map<std::string, int> counts = fixture.fill(45, query);
    int most = 0;
    for (const auto &[name, count] : counts) {
        most = std::max(most, count);
    }
    CHECK(counts.size() >= 6);
    CHECK(most <= 8);
}

TEST_CASE("losing a replica moves only the prefixes it had, and spreads them")
{
    Fixture fixture(9);
    std::map<std::uint64_t, Replica *> homes;
    for (std::uint64_t i = 1; i <= 400; ++i) {
        SelectionQuery query;
        query.prefix = stableHash(std::to_string(i));
        homes[query.prefix] = fixture.choose(query);
    }
    fixture.state->markLeaving(fixture.replica(4));
    std::set<Replica *> heirs;
    for (const auto &[prefix, home] : homes) {
        SelectionQuery query;
        query.prefix = prefix;
        Replica *const now = fixture.choose(query);
        if (home == &fixture.replica(4)) {
            heirs.insert(now);
        } else {
            CHECK(now == home);
        }
    }
    CHECK(heirs.size() >= 4);
}

TEST_CASE("a replica that keeps failing is ejected, for longer each time, and comes back slowly")
{
    Fixture fixture(3);
    fixture.choose();
    fixture.fail(0, 3);
    for (int i = 0; i < 100; ++i) {
        CHECK(fixture.choose() != &fixture.replica(0));
    }
    fixture.clock.advance(fixture.settings.ejectTime);
    std::map<std::string, int> counts = fixture.fill(60);
    CHECK(counts["r0"] > 0);
    CHECK(counts["r0"] < counts["r1"]);

    // On probation one failure is enough, and lasts twice as long.
    fixture.fail(0, 1);
    fixture.choose();
    CHECK(fixture.replica(0).ejection.isEjected);
    fixture.clock.advance(fixture.settings.ejectTime);
    fixture.choose();
    CHECK(fixture.replica(0).ejection.isEjected);
    fixture.clock.advance(fixture.settings.ejectTime);
    fixture.choose();
    CHECK_FALSE(fixture.replica(0).ejection.isEjected);
}

TEST_CASE("when all replicas fail, no more than the set share is ejected")
{
    // A bad prompt template or a cut link makes every attempt fail. Ejecting one after the other would leave the last
    // replica with the whole load, which then fails for that reason.
    Fixture fixture(9);
    fixture.choose();
    for (std::size_t i = 0; i < 9; ++i) {
        fixture.fail(i, 5);
        fixture.choose();
    }
    int ejected = 0;
    for (const Replica &replica : fixture.table->all()) {
        ejected += replica.ejection.isEjected ? 1 : 0;
    }
    CHECK(ejected == 4);
    CHECK(fixture.choose() != nullptr);
}

TEST_CASE("the loss of a whole failure domain spreads its load over all the others")
{
    Fixture fixture(9);
    fixture.choose();
    for (const std::size_t index : {0U, 3U, 6U}) {
        fixture.fail(index, 3);
    }
    fixture.choose();
    std::map<std::string, int> counts = fixture.fill(36);
    CHECK(counts.size() == 6);
    for (const auto &[name, count] : counts) {
        CHECK(count >= 4);
        CHECK(count <= 8);
    }
}

TEST_CASE("versions get their parts of a rollout, and a wish for one or for an adapter is kept")
{
    Fixture fixture(9);
    for (std::size_t i = 0; i < 9; ++i) {
        fixture.replica(i).version = i < 3 ? "2" : "1";
    }
    fixture.replica(8).adapters = {"notes"};
    fixture.clock.advance(100ms);
    fixture.chooser->setRollout("m", {{"1", 90}, {"2", 10}});
    int second = 0;
    for (int i = 0; i < 1000; ++i) {
        second += fixture.choose()->version == "2" ? 1 : 0;
    }
    CHECK(second > 60);
    CHECK(second < 150);

    SelectionQuery query;
    query.version = "2";
    CHECK(fixture.choose(query)->version == "2");
    query.version = "3";
    CHECK(fixture.choose(query) == nullptr);
    query = {};
    query.adapter = "notes";
    CHECK(fixture.choose(query) == &fixture.replica(8));
    query.adapter = "other";
    CHECK(fixture.choose(query) == nullptr);
}

TEST_CASE("a replica that a new configuration takes out is not chosen, and one that it adds is")
{
    Fixture fixture(3);
    SelectionQuery query;
    query.prefix = 5;
    fixture.choose(query);
    fixture.endpoints.erase(fixture.endpoints.begin(), fixture.endpoints.begin() + 2);
    fixture.endpoints.push_back(fixture.endpoints.front());
    fixture.endpoints.back().name = "new";
    fixture.table->update(fixture.endpoints);
    const std::map<std::string, int> counts = fixture.fill(20);
    CHECK(counts.size() == 2);
    CHECK(counts.contains("new"));
    CHECK(fixture.choose(query) != nullptr);
}
