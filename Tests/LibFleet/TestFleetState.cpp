#include <LibBase/ManualClock.h>
#include <LibFleet/FleetState.h>
#include <LibFleet/PrefixKey.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

struct Fixture
{
    Fixture()
    {
        EndpointSettings endpoint;
        endpoint.name = "a";
        endpoint.model = "m";
        endpoint.capacity = 8;
        endpoint.vm = "vm-a";
        this->endpoints = {endpoint};
        this->table.emplace(this->endpoints);
        this->state.emplace(this->clock, this->handle, *this->table);
    }

    Replica &replica()
    {
        return *this->table->find(EndpointName("a"));
    }

    ReplicaReport report(std::uint32_t inFlight, std::chrono::milliseconds age, const std::string &instance = "first")
    {
        ReplicaReport report;
        report.endpoint = EndpointName("a");
        report.inFlight = inFlight;
        report.ageMilliseconds = static_cast<std::uint32_t>(age.count());
        report.instance = instance;
        return report;
    }

    double estimate(double poolMean)
    {
        return estimatedInFlight(this->replica(), this->clock.now(), {poolMean, 200ms, this->settings.loadHalfLife});
    }

    ManualClock clock;
    SettingsHandle handle{std::make_shared<Settings>()};
    const FleetSettings &settings = this->handle->fleet;
    std::vector<EndpointSettings> endpoints;
    std::optional<ReplicaTable> table;
    std::optional<FleetState> state;
};

} // namespace

TEST_CASE("a delayed load report is compared with this node's count at that time, not with its later burst")
{
    // The report states 5 requests a second ago, when this node had 2 there. It has since sent 4 more. Subtracting its
    // current 6 from the 5 would estimate zero requests of the other nodes, and further requests would be sent to a
    // replica that has 9.
    Fixture fixture;
    fixture.state->begin(fixture.replica());
    fixture.state->begin(fixture.replica());
    fixture.clock.advance(1000ms);
    for (int i = 0; i < 4; ++i) {
        fixture.state->begin(fixture.replica());
    }
    fixture.state->observe(fixture.report(5, 900ms));
    CHECK(fixture.replica().otherNodes.inFlight == doctest::Approx(3));
    CHECK(fixture.estimate(3) == doctest::Approx(9));
}

TEST_CASE("the estimate moves from the last load report to the average of reports and then to the pool's mean")
{
    Fixture fixture;
    for (int i = 0; i < 200; ++i) {
        fixture.clock.advance(100ms);
        fixture.state->observe(fixture.report(4, 0ms));
    }
    fixture.clock.advance(100ms);
    fixture.state->observe(fixture.report(8, 0ms));
    CHECK(fixture.estimate(0) == doctest::Approx(8));
    fixture.clock.advance(100ms);
    CHECK(fixture.estimate(0) == doctest::Approx(6).epsilon(0.1));
    fixture.clock.advance(500ms);
    CHECK(fixture.estimate(0) < 4.2);
    CHECK(fixture.estimate(0) > 2.8);
    fixture.clock.advance(fixture.settings.loadHalfLife * 20);
    CHECK(fixture.estimate(2) == doctest::Approx(2).epsilon(0.01));
}

TEST_CASE("the mean request lifetime is derived from the requests in flight and the requests that end")
{
    Fixture fixture;
    for (int i = 0; i < 50; ++i) {
        fixture.state->begin(fixture.replica());
        fixture.state->begin(fixture.replica());
        fixture.clock.advance(300ms);
        fixture.state->end(fixture.replica(), {});
        fixture.state->end(fixture.replica(), {});
    }
    CHECK(fixture.replica().lifetime.valueOr(0) == doctest::Approx(0.3).epsilon(0.05));
}

TEST_CASE("a load report that arrives late does not replace a newer one")
{
    Fixture fixture;
    fixture.state->observe(fixture.report(8, 100ms));
    fixture.state->observe(fixture.report(1, 300ms));
    CHECK(fixture.replica().otherNodes.inFlight == doctest::Approx(8));
}

TEST_CASE("a lagging VM list or a delayed report does not clear the leaving state")
{
    // The endpoint reports that it is leaving. The platform's list still shows it as live, and so does a delayed
    // report. Accepting either would send it requests that are cut off when it stops.
    Fixture fixture;
    ReplicaReport leavingReport = fixture.report(0, 0ms);
    leavingReport.isLeaving = true;
    CHECK(fixture.state->observe(leavingReport));
    CHECK_FALSE(fixture.state->observe(leavingReport));
    fixture.state->observe({{VmName("vm-a"), false}});
    fixture.clock.advance(1000ms);
    fixture.state->observe(fixture.report(0, 0ms));
    CHECK(fixture.replica().isLeaving);

    fixture.clock.advance(1000ms);
    fixture.state->observe(fixture.report(0, 0ms, "second"));
    CHECK_FALSE(fixture.replica().isLeaving);
    CHECK(fixture.replica().rampStart == fixture.clock.now());
}

TEST_CASE("a delayed leaving notice of an earlier instance does not affect the next instance")
{
    Fixture fixture;
    fixture.state->observe(fixture.report(0, 0ms));
    CHECK(fixture.state->markLeaving(fixture.replica(), "first"));
    fixture.clock.advance(1000ms);
    fixture.state->observe(fixture.report(0, 0ms, "second"));
    CHECK_FALSE(fixture.state->markLeaving(fixture.replica(), "first"));
    CHECK_FALSE(fixture.replica().isLeaving);
}

TEST_CASE("an endpoint without an instance id returns when its VM is removed from the list and listed again")
{
    Fixture fixture;
    CHECK(fixture.state->observe({{VmName("vm-a"), true}}).size() == 1);
    CHECK(fixture.state->observe({{VmName("vm-a"), true}}).empty());
    fixture.state->observe({{VmName("vm-a"), false}});
    CHECK(fixture.replica().isLeaving);
    fixture.state->observe({{VmName("other"), false}});
    fixture.state->observe({{VmName("vm-a"), false}});
    CHECK_FALSE(fixture.replica().isLeaving);
}

TEST_CASE("a gap in the cache events lowers the trust in hints, and events without gaps restore it")
{
    // The lost events may have been evictions. Full trust in the hints would send requests to replicas that no longer
    // cache their prefix; dropping all hints would lose the benefit of the cache because of one lost event.
    const std::string block(prefixBlockBytes, 'x');
    const std::string other(prefixBlockBytes, 'y');
    PrefixHints hints;
    hints.observe({{1, true, 101, 0, block}, {2, true, 102, 101, other}});
    CHECK(hints.confidence(prefixKey(block, 1000)) == doctest::Approx(1));
    CHECK(hints.confidence(prefixKey(block + other, 1000)) == doctest::Approx(1));
    CHECK(hints.confidence(prefixKey(other, 1000)) == 0);

    hints.observe({{9, true, 109, 108, other}});
    const double afterGap = hints.confidence(prefixKey(block, 1000));
    CHECK(afterGap < 0.6);
    hints.observe({{9, true, 109, 108, other}, {10, false, 102, 101, other}});
    CHECK(hints.confidence(prefixKey(block, 1000)) > afterGap);
    CHECK(hints.confidence(prefixKey(block + other, 1000)) == 0);
}

TEST_CASE("a new instance of an endpoint starts with an empty cache")
{
    Fixture fixture;
    const std::string block(prefixBlockBytes, 'x');
    fixture.state->observe(fixture.report(0, 0ms));
    FleetState::observe(fixture.replica(), {{1, true, 101, 0, block}});
    fixture.clock.advance(1000ms);
    fixture.state->observe(fixture.report(0, 0ms, "second"));
    CHECK(fixture.replica().prefixes.confidence(prefixKey(block, 1000)) == 0);
    CHECK(fixture.replica().prefixes.lastEventNumber() == 0);
}
