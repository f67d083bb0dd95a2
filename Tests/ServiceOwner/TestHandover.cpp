#include <Tests/ServiceOwner/OwnerFixture.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

TEST_CASE("a shard is served by its former owner until every node has heard of the new one")
{
    // A node joins. Its shards' owner hears of it first and gives them up; for most of a second the other nodes go on asking
    // the former owner, and every claim on those shards waits that long.
    OwnerFixture fixture;
    fixture.show({OwnerFixture::first});
    REQUIRE(fixture.a.service.shardCount() == 4);
    const std::vector<Member> members = viewOf({OwnerFixture::first, OwnerFixture::second})->members();
    const auto view = std::make_shared<MemberView>(members, false, 1000ms);
    fixture.a.service.setView(view);
    fixture.b.service.setView(view);
    fixture.clock.advance(900ms);
    CHECK(fixture.a.service.shardCount() == 4);
    CHECK(fixture.b.service.shardCount() == 0);
    fixture.clock.advance(1500ms);
    CHECK(fixture.a.service.shardCount() + fixture.b.service.shardCount() == 4);
    CHECK(fixture.b.service.shardCount() > 0);
    CHECK(fixture.a.service.shardCount() < 4);
}
