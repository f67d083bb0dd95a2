#include <Tests/ServiceOwner/OwnerFixture.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

constexpr SessionNumber third{3};

ReleaseRequest releaseOf(const ClaimRequest &claim)
{
    return {claim.requestId, claim.runner, claim.claim};
}

bool release(OwnerFixture &fixture, OwnerNode &node, const ClaimRequest &claim)
{
    Answers<ReleaseResponse> answers;
    node.service.release(releaseOf(claim), answers.keep());
    fixture.clock.advance(1s);
    return answers.count() == 1 && answers.last().isReleased;
}

} // namespace

TEST_CASE("an intent of a request that was provably not sent is withdrawn, and a resend runs")
{
    // No endpoint could be reached, and the caller got "not run" and sends again. The intent in the journal must not turn
    // the answer into "it may have run", neither at this owner nor at the next one.
    OwnerFixture fixture;
    fixture.setMembers({OwnerFixture::first});
    const ClaimRequest claim = fixture.a.claimOf("payout", 1, true);
    REQUIRE((fixture.claim(fixture.a, claim).decision == ClaimDecision::Run));
    REQUIRE(release(fixture, fixture.a, claim));
    fixture.b.service.setView(viewOf({OwnerFixture::first, OwnerFixture::second}));
    fixture.setMembers({OwnerFixture::second}, 3s);
    CHECK((fixture.claim(fixture.b, fixture.b.claimOf("payout", 2, true)).decision == ClaimDecision::Run));
}

TEST_CASE("an intent runs at most once across resends, a release of another claim and a takeover")
{
    OwnerFixture fixture;
    fixture.setMembers({OwnerFixture::first});
    const ClaimRequest claim = fixture.a.claimOf("payout", 1, true);
    REQUIRE((fixture.claim(fixture.a, claim).decision == ClaimDecision::Run));
    CHECK((fixture.claim(fixture.a, fixture.a.claimOf("payout", 2, true)).decision == ClaimDecision::StillRunning));
    CHECK_FALSE(release(fixture, fixture.a, fixture.a.claimOf("payout", 2, true)));
    fixture.a.platform.setDown(true);
    fixture.b.service.setView(viewOf({OwnerFixture::first, OwnerFixture::second}));
    fixture.setMembers({OwnerFixture::second}, 3s);
    CHECK((fixture.claim(fixture.b, fixture.b.claimOf("payout", 3, true)).decision == ClaimDecision::OutcomeUnknown));
}

TEST_CASE("an intent whose runner is lost ends as unknown while its owner is alive")
{
    // The entry node fails while it runs the call, and its caller sends again through another entry node. If the owner
    // ignored the loss of the runner, the answer would be "still running" forever.
    OwnerFixture fixture;
    fixture.setMembers({OwnerFixture::first, third});
    OwnerNode &owner = fixture.a;
    fixture.setMembers({OwnerFixture::first}, 5s);
    fixture.setMembers({OwnerFixture::first, third}, 10ms);
    ClaimRequest claim = owner.claimOf("payout", 1, true);
    claim.runner = third;
    Answers<ClaimResponse> answers;
    owner.service.claim(claim, answers.keep());
    fixture.clock.advance(50ms);
    REQUIRE((answers.count() == 1 && answers.last().decision == ClaimDecision::Run));
    fixture.setMembers({OwnerFixture::first}, 100ms);
    CHECK((fixture.claim(owner, owner.claimOf("payout", 2, true)).decision == ClaimDecision::OutcomeUnknown));
}

TEST_CASE("a planned handover does not turn a running intent into an unknown outcome")
{
    // The owner releases its shard while the entry node still runs the call. A resend must wait for that run.
    OwnerFixture fixture;
    fixture.setMembers({OwnerFixture::first});
    ClaimRequest claim = fixture.a.claimOf("payout", 1, true);
    claim.runner = OwnerFixture::second;
    fixture.a.service.setView(viewOf({OwnerFixture::first}));
    Answers<ClaimResponse> answers;
    fixture.a.service.claim(claim, answers.keep());
    fixture.clock.advance(50ms);
    REQUIRE((answers.count() == 1 && answers.last().decision == ClaimDecision::Run));
    fixture.setMembers({OwnerFixture::second}, 2s);
    CHECK((fixture.claim(fixture.b, fixture.b.claimOf("payout", 2, true)).decision == ClaimDecision::StillRunning));
    CHECK((fixture.commit(fixture.b, "payout", "paid") == CommitDecision::Committed));
    CHECK((fixture.claim(fixture.b, fixture.b.claimOf("payout", 3, true)).decision == ClaimDecision::Done));
}

TEST_CASE("a non-idempotent claim is refused while the platform accepts no writes, and runs when it is available again")
{
    // The intent is in flight when the platform becomes unavailable. The caller gets "not run" after a second. The intent
    // that becomes durable later is withdrawn, so that a resend is not answered with "it may have run".
    OwnerFixture fixture;
    fixture.setMembers({OwnerFixture::first});
    fixture.a.platform.setDown(true);
    Answers<ClaimResponse> answers;
    fixture.a.service.claim(fixture.a.claimOf("payout", 1, true), answers.keep());
    fixture.clock.advance(1001ms);
    REQUIRE((answers.count() == 1 && answers.last().decision == ClaimDecision::Unavailable));
    Answers<ClaimResponse> other;
    fixture.a.service.claim(fixture.a.claimOf("another payout", 2, true), other.keep());
    CHECK((other.count() == 1 && other.last().decision == ClaimDecision::Unavailable));
    fixture.a.platform.setDown(false);
    fixture.clock.advance(3s);
    CHECK(answers.count() == 1);
    CHECK((fixture.claim(fixture.a, fixture.a.claimOf("payout", 3, true)).decision == ClaimDecision::Run));
}

TEST_CASE("a release is confirmed only when the withdrawal of its intent is durable")
{
    // The platform is down, the entry node releases its claim, and the owner is lost before it could write the withdrawal.
    // If the release were confirmed before that, the entry node would not repeat it. The next owner would find an intent
    // whose runner is alive, and resends would wait until the lease ends for a run that never took place.
    OwnerFixture fixture;
    fixture.setMembers({OwnerFixture::first});
    const ClaimRequest claim = fixture.a.claimOf("payout", 1, true);
    REQUIRE((fixture.claim(fixture.a, claim).decision == ClaimDecision::Run));
    fixture.a.platform.setDown(true);
    Answers<ReleaseResponse> first;
    fixture.a.service.release(releaseOf(claim), first.keep());
    Answers<ReleaseResponse> again;
    fixture.a.service.release(releaseOf(claim), again.keep());
    fixture.clock.advance(1s);
    CHECK(first.count() == 0);
    CHECK(again.count() == 0);

    SUBCASE("the owner writes the withdrawal")
    {
        fixture.a.platform.setDown(false);
        fixture.clock.advance(3s);
        CHECK((first.count() == 1 && first.last().isOwner));
        CHECK((again.count() == 1 && again.last().isOwner));
        CHECK((fixture.claim(fixture.a, fixture.a.claimOf("payout", 2, true)).decision == ClaimDecision::Run));
    }
    SUBCASE("another node takes over first")
    {
        fixture.b.service.setView(viewOf({OwnerFixture::first, OwnerFixture::second}));
        fixture.b.service.setView(viewOf({OwnerFixture::second}));
        fixture.clock.advance(3s);
        fixture.a.platform.setDown(false);
        fixture.clock.advance(3s);
        CHECK((first.count() == 1 && !first.last().isOwner));
        CHECK((again.count() == 1 && !again.last().isOwner));
    }
}

TEST_CASE("an idempotent claim of a lost runner is free at once")
{
    OwnerFixture fixture;
    fixture.setMembers({OwnerFixture::first});
    fixture.a.service.setView(viewOf({OwnerFixture::first, third}));
    ClaimRequest claim = fixture.a.claimOf("label", 1);
    claim.runner = third;
    Answers<ClaimResponse> answers;
    fixture.a.service.claim(claim, answers.keep());
    REQUIRE((answers.count() == 1 && answers.last().decision == ClaimDecision::Run));
    fixture.setMembers({OwnerFixture::first}, 10ms);
    CHECK((fixture.claim(fixture.a, fixture.a.claimOf("label", 2)).decision == ClaimDecision::Run));
}
