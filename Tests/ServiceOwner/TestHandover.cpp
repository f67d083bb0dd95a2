#include <Tests/ServiceOwner/OwnerFixture.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

TEST_CASE("a shard is served by its former owner until every node knows the new one")
{
    // Guards against an early release: if the owner released shards as soon as it knows that a node has joined, the other
    // nodes would still call the former owner for most of a second, and every claim on those shards would wait that long.
    OwnerFixture fixture;
    fixture.setMembers({OwnerFixture::first});
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
