#include <Tests/ServiceOwner/OwnerFixture.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

TEST_CASE("a shard that is reassigned to its owner before its release was written keeps acknowledged results")
{
    // Guards against a 404 for an acknowledged result. The owner has to release its shards, but its writes to the platform
    // are lost, so the release is pending. The node is then assigned the shards again and finds rows that still name it. It
    // must not acquire them as if its own journal had no records of them.
    OwnerFixture fixture;
    fixture.setMembers({OwnerFixture::first});
    REQUIRE((fixture.commit(fixture.a, "offer", "note") == CommitDecision::Committed));
    fixture.a.platform.loseWrites(4);
    fixture.a.service.setView(viewOf({OwnerFixture::second}));
    fixture.clock.advance(100ms);
    REQUIRE(fixture.a.service.shardCount() == 0);
    fixture.a.service.setView(viewOf({OwnerFixture::first}));
    fixture.clock.advance(3s);
    CHECK(fixture.a.service.shardCount() == 4);
    CHECK(fixture.result(fixture.a, "offer").answer.body == "note");
}

TEST_CASE("a release whose response was lost takes effect once")
{
    OwnerFixture fixture;
    fixture.setMembers({OwnerFixture::first});
    REQUIRE((fixture.commit(fixture.a, "offer", "note") == CommitDecision::Committed));
    fixture.a.platform.loseAnswers(4);
    fixture.setMembers({OwnerFixture::second}, 3s);
    CHECK(fixture.a.service.shardCount() == 0);
    CHECK(fixture.b.service.shardCount() == 4);
    CHECK(fixture.result(fixture.b, "offer").answer.body == "note");
}

TEST_CASE("a planned stop during a takeover also releases the shards of the takeover")
{
    // A node is stopped while it acquires shards. The stop must not end before these shards are released. Otherwise their
    // rows would name a departed session, and they would have no owner until it is suspected.
    OwnerFixture fixture;
    fixture.a.service.setView(viewOf({OwnerFixture::first}));
    fixture.clock.advance(100ms);
    bool isStopped = false;
    fixture.a.service.setView(viewOf({OwnerFixture::first}));
    fixture.a.platform.loseAnswers(4);
    fixture.clock.advance(1ms);
    fixture.a.service.stop([&isStopped] {
        isStopped = true;
    });
    fixture.clock.advance(5s);
    CHECK(isStopped);
    for (std::uint32_t shard = 0; shard < 4; ++shard) {
        const auto row = fixture.store->read(JournalKeys::shard(ShardNumber(shard)));
        if (row) {
            CHECK(decode<ShardRow>(row->value)->owner == SessionNumber(0));
        }
    }
}

TEST_CASE("a claim whose response was lost is read back, and two nodes never both own a shard")
{
    OwnerFixture fixture;
    fixture.a.platform.loseAnswers(2);
    fixture.b.platform.loseAnswers(1);
    fixture.a.service.setView(viewOf({OwnerFixture::first}));
    fixture.b.service.setView(viewOf({OwnerFixture::second}));
    fixture.clock.advance(2s);
    CHECK(fixture.a.service.shardCount() + fixture.b.service.shardCount() == 4);
}

TEST_CASE("acknowledged results survive the loss of two owners one after the other")
{
    // The owner fails, and its successor fails too before it wrote any record of that shard. The third owner has to replay
    // the journal of the first one, which only the row still names. The first owner released the shards once and acquired
    // them again, so that its span does not start at the first group of its journal.
    OwnerFixture fixture;
    fixture.setMembers({OwnerFixture::first});
    REQUIRE((fixture.commit(fixture.a, "earlier", "note") == CommitDecision::Committed));
    fixture.setMembers({OwnerFixture::second});
    fixture.setMembers({OwnerFixture::first});
    REQUIRE((fixture.commit(fixture.a, "offer", "note") == CommitDecision::Committed));
    fixture.a.platform.setDown(true);
    fixture.b.service.setView(viewOf({OwnerFixture::first, OwnerFixture::second}));
    fixture.setMembers({OwnerFixture::second}, 2s);
    REQUIRE(fixture.result(fixture.b, "offer").answer.body == "note");
    fixture.b.platform.setDown(true);
    OwnerNode third(fixture.store, fixture.clock, fixture.settings, SessionNumber(3));
    third.service.setView(viewOf({OwnerFixture::second, SessionNumber(3)}));
    third.service.setView(viewOf({SessionNumber(3)}));
    fixture.clock.advance(3s);
    CHECK(third.service.shardCount() == 4);
    CHECK(fixture.result(third, "offer").answer.body == "note");
}

TEST_CASE("a new owner that is lost between its claim and its first response loses no result")
{
    // The claims of the new owner reach the platform, but the responses are lost, and it fails before it reads them back.
    OwnerFixture fixture;
    fixture.setMembers({OwnerFixture::first});
    REQUIRE((fixture.commit(fixture.a, "offer", "note") == CommitDecision::Committed));
    fixture.a.platform.setDown(true);
    fixture.b.service.setView(viewOf({OwnerFixture::first, OwnerFixture::second}));
    fixture.b.service.setView(viewOf({OwnerFixture::second}));
    fixture.b.platform.loseAnswers(8);
    fixture.clock.advance(480ms);
    fixture.b.platform.setDown(true);
    REQUIRE(fixture.b.service.shardCount() == 0);
    OwnerNode third(fixture.store, fixture.clock, fixture.settings, SessionNumber(3));
    third.service.setView(viewOf({OwnerFixture::first, OwnerFixture::second, SessionNumber(3)}));
    third.service.setView(viewOf({SessionNumber(3)}));
    fixture.clock.advance(3s);
    CHECK(third.service.shardCount() == 4);
    CHECK(fixture.result(third, "offer").answer.body == "note");
}
