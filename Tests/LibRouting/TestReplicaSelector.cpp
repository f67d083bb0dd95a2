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

/** A pool of replicas in three failure domains, and the selector of one node. */
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
        this->selector.emplace(this->clock, this->handle, *this->table, this->random);
    }

    Replica &replica(std::size_t index)
    {
        return *this->table->find(EndpointName("r" + std::to_string(index)));
    }

    Replica *select(const SelectionQuery &query = {})
    {
        return this->selector->select("m", query);
    }

    /** @return how often each replica was selected; all requests stay in flight */
    std::map<std::string, int> fill(int requests, const SelectionQuery &query = {})
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < requests; ++i) {
            Replica *const selected = this->select(query);
            this->state->begin(*selected);
            ++counts[selected->name.value()];
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
    std::optional<ReplicaSelector> selector;
};

} // namespace

TEST_CASE("a leaving replica is excluded from the next selection on")
{
    Fixture fixture(2);
    fixture.select();
    fixture.state->markLeaving(fixture.replica(0));
    for (int i = 0; i < 100; ++i) {
        CHECK(fixture.select() == &fixture.replica(1));
    }
    fixture.state->markLeaving(fixture.replica(1));
    CHECK(fixture.select() == nullptr);
}

TEST_CASE("after a failure other failure domains are preferred, and the failed one serves only as a fallback")
{
    Fixture fixture(9);
    SelectionQuery query;
    query.avoid = {EndpointName("r0")};
    query.avoidDomain = FailureDomain("d0");
    for (int i = 0; i < 100; ++i) {
        CHECK(fixture.select(query)->failureDomain != query.avoidDomain);
    }
    for (const std::size_t index : {1U, 2U, 4U, 5U, 7U, 8U}) {
        fixture.state->markLeaving(fixture.replica(index));
    }
    Replica *const selected = fixture.select(query);
    REQUIRE(selected != nullptr);
    CHECK(selected->failureDomain == query.avoidDomain);
    CHECK(selected->name != EndpointName("r0"));
}

TEST_CASE("an accelerator that takes twice as long gets about half as many requests")
{
    Fixture fixture(6);
    for (std::size_t i = 0; i < 6; ++i) {
        fixture.serve(i, i < 3 ? 20000us : 40000us);
    }
    fixture.clock.advance(100ms);
    std::map<std::string, int> counts = fixture.fill(90);
    const int fastTotal = counts["r0"] + counts["r1"] + counts["r2"];
    CHECK(fastTotal >= 54);
    CHECK(fastTotal <= 66);
}

TEST_CASE("requests with the same prefix go to the same replica until its load bound is reached")
{
    // Every request suddenly uses the same prompt template. Sending all of them to the replica that caches its prefix
    // would queue them there while the other replicas idle.
    Fixture fixture(9);
    SelectionQuery query;
    query.prefix = 42;
    Replica *const preferred = fixture.select(query);
    fixture.state->begin(*preferred);
    fixture.state->end(*preferred, {AttemptOutcome::Succeeded, {}});
    CHECK(fixture.select(query) == preferred);
    const std::map<std::string, int> counts = fixture.fill(45, query);
    int maxCount = 0;
    for (const auto &[name, count] : counts) {
        maxCount = std::max(maxCount, count);
    }
    CHECK(counts.size() >= 6);
    CHECK(maxCount <= 8);
}

TEST_CASE("the loss of a replica reassigns only its own prefixes, distributed over the others")
{
    Fixture fixture(9);
    std::map<std::uint64_t, Replica *> assigned;
    for (std::uint64_t i = 1; i <= 400; ++i) {
        SelectionQuery query;
        query.prefix = stableHash(std::to_string(i));
        assigned[query.prefix] = fixture.select(query);
    }
    fixture.state->markLeaving(fixture.replica(4));
    std::set<Replica *> newReplicas;
    for (const auto &[prefix, preferred] : assigned) {
        SelectionQuery query;
        query.prefix = prefix;
        Replica *const now = fixture.select(query);
        if (preferred == &fixture.replica(4)) {
            newReplicas.insert(now);
        } else {
            CHECK(now == preferred);
        }
    }
    CHECK(newReplicas.size() >= 4);
}

TEST_CASE("a repeatedly failing replica is ejected for increasing times and readmitted with a slow start")
{
    Fixture fixture(3);
    fixture.select();
    fixture.fail(0, 3);
    for (int i = 0; i < 100; ++i) {
        CHECK(fixture.select() != &fixture.replica(0));
    }
    fixture.clock.advance(fixture.settings.ejectTime);
    std::map<std::string, int> counts = fixture.fill(60);
    CHECK(counts["r0"] > 0);
    CHECK(counts["r0"] < counts["r1"]);

    // During the slow start one failure is enough, and the ejection lasts twice as long.
    fixture.fail(0, 1);
    fixture.select();
    CHECK(fixture.replica(0).ejection.isEjected);
    fixture.clock.advance(fixture.settings.ejectTime);
    fixture.select();
    CHECK(fixture.replica(0).ejection.isEjected);
    fixture.clock.advance(fixture.settings.ejectTime);
    fixture.select();
    CHECK_FALSE(fixture.replica(0).ejection.isEjected);
}

TEST_CASE("when all replicas fail, no more than the configured share is ejected")
{
    // A faulty prompt template or a network failure makes every attempt fail. Ejecting all replicas but one would
    // direct the whole load to the last one and overload it.
    Fixture fixture(9);
    fixture.select();
    for (std::size_t i = 0; i < 9; ++i) {
        fixture.fail(i, 5);
        fixture.select();
    }
    int ejected = 0;
    for (const Replica &replica : fixture.table->all()) {
        ejected += replica.ejection.isEjected ? 1 : 0;
    }
    CHECK(ejected == 4);
    CHECK(fixture.select() != nullptr);
}

TEST_CASE("the load of a lost failure domain is distributed over all others")
{
    Fixture fixture(9);
    fixture.select();
    for (const std::size_t index : {0U, 3U, 6U}) {
        fixture.fail(index, 3);
    }
    fixture.select();
    std::map<std::string, int> counts = fixture.fill(36);
    CHECK(counts.size() == 6);
    for (const auto &[name, count] : counts) {
        CHECK(count >= 4);
        CHECK(count <= 8);
    }
}

TEST_CASE("versions get their rollout weights, and a requested version or adapter is respected")
{
    Fixture fixture(9);
    for (std::size_t i = 0; i < 9; ++i) {
        fixture.replica(i).version = i < 3 ? "2" : "1";
    }
    fixture.replica(8).adapters = {"notes"};
    fixture.clock.advance(100ms);
    fixture.selector->setRollout("m", {{"1", 90}, {"2", 10}});
    int second = 0;
    for (int i = 0; i < 1000; ++i) {
        second += fixture.select()->version == "2" ? 1 : 0;
    }
    CHECK(second > 60);
    CHECK(second < 150);

    SelectionQuery query;
    query.version = "2";
    CHECK(fixture.select(query)->version == "2");
    query.version = "3";
    CHECK(fixture.select(query) == nullptr);
    query = {};
    query.adapter = "notes";
    CHECK(fixture.select(query) == &fixture.replica(8));
    query.adapter = "other";
    CHECK(fixture.select(query) == nullptr);
}

TEST_CASE("a replica removed by a new configuration is not selected, and an added one is")
{
    Fixture fixture(3);
    SelectionQuery query;
    query.prefix = 5;
    fixture.select(query);
    fixture.endpoints.erase(fixture.endpoints.begin(), fixture.endpoints.begin() + 2);
    fixture.endpoints.push_back(fixture.endpoints.front());
    fixture.endpoints.back().name = "new";
    fixture.table->update(fixture.endpoints);
    const std::map<std::string, int> counts = fixture.fill(20);
    CHECK(counts.size() == 2);
    CHECK(counts.contains("new"));
    CHECK(fixture.select(query) != nullptr);
}
