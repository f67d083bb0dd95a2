#include <LibBase/ManualClock.h>
#include <Services/Gateway/TableRelay.h>
#include <Tests/Fakes/FakeRowStore.h>

#include <doctest/doctest.h>

#include <optional>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

class Bench
{
public:
    Bench()
    {
        this->store.put({"t", "", "a"}, "1");
    }

    /** Follows the table through the relay. @return the result, once there is one */
    std::shared_ptr<std::optional<FollowResult>> follow(RowVersion since, std::chrono::milliseconds wait)
    {
        auto received = std::make_shared<std::optional<FollowResult>>();
        this->relay.follow("t", since, wait, [received](const FollowResult &result) {
            *received = result;
        });
        return received;
    }

    RowVersion version() const
    {
        return this->relay.read({"t", "", "", "", 0}).version;
    }

    ManualClock clock;
    FakeRowStore store{this->clock};
    TableRelay relay{this->clock, this->store, {{"t"}, 1000ms, 1}};
};

} // namespace

TEST_CASE("a node that is no relay, or has not read the table, does not serve it")
{
    Bench bench;
    CHECK_FALSE(bench.relay.isCurrent("t"));
    CHECK(bench.follow(1, 1s)->value().outcome == FollowOutcome::Failed);
    bench.relay.setActive(true);
    CHECK_FALSE(bench.relay.isCurrent("t"));
    bench.clock.advance(100ms);
    CHECK(bench.relay.isCurrent("t"));
    CHECK_FALSE(bench.relay.isCurrent("unknown"));
    CHECK(bench.relay.read({"t", "", "", "", 0}).rows.size() == 1);
}

TEST_CASE("a waiting follower receives a change at once, and an empty result when its wait is over")
{
    Bench bench;
    bench.relay.setActive(true);
    bench.clock.advance(100ms);
    const auto first = bench.follow(bench.version(), 5s);
    const auto second = bench.follow(bench.version(), 500ms);
    bench.clock.advance(600ms);
    CHECK_FALSE(first->has_value());
    REQUIRE(second->has_value());
    CHECK((*second)->outcome == FollowOutcome::Followed);
    CHECK((*second)->rows.empty());
    bench.store.put({"t", "", "b"}, "2");
    bench.clock.advance(50ms);
    REQUIRE(first->has_value());
    REQUIRE((*first)->rows.size() == 1);
    CHECK((*first)->rows.front().value == "2");
}

// Followers would take the absence of changes from a relay without the store for an unchanged table. They have to switch to
// another relay.
TEST_CASE("requests to a relay that loses the store fail, both waiting and later ones")
{
    Bench bench;
    bench.relay.setActive(true);
    bench.clock.advance(100ms);
    const RowVersion version = bench.version();
    const auto waiting = bench.follow(version, 10s);
    bench.store.setDown(true);
    bench.clock.advance(1500ms);
    REQUIRE(waiting->has_value());
    CHECK((*waiting)->outcome == FollowOutcome::Failed);
    CHECK(bench.follow(version, 10s)->value().outcome == FollowOutcome::Failed);
    bench.store.setDown(false);
    bench.clock.advance(1s);
    CHECK(bench.relay.isCurrent("t"));
}

TEST_CASE("only the relay reads the table again after the store dropped its history")
{
    Bench bench;
    bench.relay.setActive(true);
    bench.clock.advance(100ms);
    const auto waiting = bench.follow(bench.version(), 10s);
    const std::size_t reads = bench.store.reads();
    bench.store.dropHistory();
    bench.store.put({"t", "", "b"}, "2");
    bench.clock.advance(2s);
    CHECK(bench.store.reads() == reads + 1);
    REQUIRE(waiting->has_value());
    CHECK((*waiting)->outcome == FollowOutcome::Followed);
    CHECK((*waiting)->rows.size() == 1);
}

TEST_CASE("waiting requests fail when a node ceases to be a relay")
{
    Bench bench;
    bench.relay.setActive(true);
    bench.clock.advance(100ms);
    const auto waiting = bench.follow(bench.version(), 10s);
    bench.relay.setActive(false);
    REQUIRE(waiting->has_value());
    CHECK((*waiting)->outcome == FollowOutcome::Failed);
    CHECK_FALSE(bench.relay.isCurrent("t"));
}

TEST_CASE("a result of following a table is unchanged by encoding and decoding")
{
    const FollowResult result{FollowOutcome::Followed, {{{"t", "p", "k"}, "v", 3, false}, {{"t", "", "g"}, "", 4, true}}, 9};
    const FollowResult decoded = decodeFeed(encodeFeed(result), "t");
    CHECK(decoded.outcome == FollowOutcome::Followed);
    CHECK(decoded.version == 9);
    REQUIRE(decoded.rows.size() == 2);
    CHECK(decoded.rows[0].key == RowKey{"t", "p", "k"});
    CHECK(decoded.rows[1].isRemoved);
    CHECK(decodeFeed(encodeFeed({FollowOutcome::HistoryLost, {}, 9}), "t").outcome == FollowOutcome::HistoryLost);
    CHECK(decodeFeed(encodeFeed({}), "t").outcome == FollowOutcome::Failed);
}
