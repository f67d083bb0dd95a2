#include <Tests/ServiceOwner/OwnerFixture.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

TEST_CASE("a shard that is wanted back before its release was written keeps what was acknowledged")
{
    // The caller reads a result that it was told is kept, and gets 404. The owner is told to give its shards up while
    // its write to the platform is lost, so the release waits. Before it is written the node is wanted again, finds the
    // rows still naming itself, and takes the shards as if its own journal held nothing of them.
    OwnerFixture fixture;
    fixture.show({OwnerFixture::first});
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

TEST_CASE("a release whose answer was lost is one release")
{
    OwnerFixture fixture;
    fixture.show({OwnerFixture::first});
    REQUIRE((fixture.commit(fixture.a, "offer", "note") == CommitDecision::Committed));
    fixture.a.platform.loseAnswers(4);
    fixture.show({OwnerFixture::second}, 3s);
    CHECK(fixture.a.service.shardCount() == 0);
    CHECK(fixture.b.service.shardCount() == 4);
    CHECK(fixture.result(fixture.b, "offer").answer.body == "note");
}

TEST_CASE("a planned stop during a takeover gives up what the takeover brings")
{
    // A node that is taking shards is told to stop. It must not be done before the shards it then gets are released:
    // they would stand on the name of a session that is gone, and wait for its suspicion.
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

TEST_CASE("a claim whose answer was lost is read back, and two takers of one store never both own a shard")
{
    OwnerFixture fixture;
    fixture.a.platform.loseAnswers(2);
    fixture.b.platform.loseAnswers(1);
    fixture.a.service.setView(viewOf({OwnerFixture::first}));
    fixture.b.service.setView(viewOf({OwnerFixture::second}));
    fixture.clock.advance(2s);
    CHECK(fixture.a.service.shardCount() + fixture.b.service.shardCount() == 4);
}

TEST_CASE("what was acknowledged outlives two owners that were lost one after the other")
{
    // The owner dies, the taker serves for a while and dies too, before it wrote anything of that shard. The third owner
    // has to replay the first one's journal, which only the row still names. The first owner had the shards before, gave
    // them up and got them back, so that its span does not start at its journal's first group.
    OwnerFixture fixture;
    fixture.show({OwnerFixture::first});
    REQUIRE((fixture.commit(fixture.a, "earlier", "note") == CommitDecision::Committed));
    fixture.show({OwnerFixture::second});
    fixture.show({OwnerFixture::first});
    REQUIRE((fixture.commit(fixture.a, "offer", "note") == CommitDecision::Committed));
    fixture.a.platform.setDown(true);
    fixture.b.service.setView(viewOf({OwnerFixture::first, OwnerFixture::second}));
    fixture.show({OwnerFixture::second}, 2s);
    REQUIRE(fixture.result(fixture.b, "offer").answer.body == "note");
    fixture.b.platform.setDown(true);
    OwnerNode third(fixture.store, fixture.clock, fixture.settings, SessionNumber(3));
    third.service.setView(viewOf({OwnerFixture::second, SessionNumber(3)}));
    third.service.setView(viewOf({SessionNumber(3)}));
    fixture.clock.advance(3s);
    CHECK(third.service.shardCount() == 4);
    CHECK(fixture.result(third, "offer").answer.body == "note");
}

TEST_CASE("a taker that is lost between its claim and its first answer loses nothing")
{
    // The taker's claims reach the platform, their answers do not, and it dies before it has read them back.
    OwnerFixture fixture;
    fixture.show({OwnerFixture::first});
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
