#include <Tests/ServiceOwner/OwnerFixture.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

TEST_CASE("calls that wait at an owner are answered with NotOwner as soon as it is fenced")
{
    // A resend waits for the result of the first run, which is in flight to the journal when another node seals it. If the
    // resend kept waiting, its caller would get "still running" from a node that can decide nothing any more.
    OwnerFixture fixture;
    fixture.setMembers({OwnerFixture::first});
    REQUIRE((fixture.claim(fixture.a, fixture.a.claimOf("offer", 1)).decision == ClaimDecision::Run));
    fixture.a.platform.setDown(true);
    Answers<ClaimResponse> joined;
    fixture.a.service.claim(fixture.a.claimOf("offer", 2), joined.keep());
    Answers<CommitResponse> firstCommit;
    Answers<CommitResponse> secondCommit;
    fixture.a.service.commit(fixture.a.commitOf("offer", "one"), firstCommit.keep());
    fixture.a.service.commit(fixture.a.commitOf("offer", "two"), secondCommit.keep());
    fixture.b.service.setView(viewOf({OwnerFixture::first, OwnerFixture::second}));
    fixture.b.service.setView(viewOf({OwnerFixture::second}));
    fixture.clock.advance(300ms);
    fixture.a.platform.setDown(false);
    fixture.clock.advance(180ms);
    REQUIRE(joined.count() == 1);
    CHECK((joined.last().decision == ClaimDecision::NotOwner));
    REQUIRE(firstCommit.count() == 1);
    CHECK((firstCommit.last().decision == CommitDecision::NotOwner));
    REQUIRE(secondCommit.count() == 1);
    CHECK((secondCommit.last().decision == CommitDecision::NotOwner));
    CHECK(fixture.a.service.shardCount() == 0);
}

TEST_CASE("an owner that was paused during a takeover does not report a committed result as absent")
{
    // The result is committed at the new owner. The paused one resumes and gets a query before it has written anything. Its
    // memory does not contain the id, so "no such id" would be false.
    OwnerFixture fixture;
    fixture.setMembers({OwnerFixture::first});
    fixture.b.service.setView(viewOf({OwnerFixture::first, OwnerFixture::second}));
    fixture.b.service.setView(viewOf({OwnerFixture::second}));
    fixture.clock.advance(2s);
    REQUIRE((fixture.commit(fixture.b, "offer", "note") == CommitDecision::Committed));
    CHECK((fixture.result(fixture.a, "offer").state == RequestState::NotOwner));
    // A job that was accepted there is not reported as unknown either.
    Answers<JobStatusResponse> status;
    fixture.a.service.batches().status({JobId("lot"), WorkspaceName("retailer")}, status.keep());
    fixture.clock.advance(1s);
    CHECK((status.count() == 1 && status.last().progress.state == JobState::NotOwner));
}

TEST_CASE("a node that was paused while its shards were taken over detects that before it answers")
{
    // The VM is paused for longer than the suspicion. After it resumes, it gets a claim for a request that was answered
    // meanwhile and must not let it run again. Its journal is sealed, so it must be fenced at once and renew its session.
    OwnerFixture fixture;
    bool isFenced = false;
    ManualClock pausedClock;
    FaultyPlatform platform(fixture.store, pausedClock);
    OwnerService paused(pausedClock, pausedClock, platform, fixture.settings, SessionNumber(3), [&isFenced] {
        isFenced = true;
    });
    paused.start();
    paused.setView(viewOf({SessionNumber(3)}));
    pausedClock.advance(1s);
    REQUIRE(paused.shardCount() == 4);

    fixture.a.service.setView(viewOf({OwnerFixture::first, SessionNumber(3)}));
    fixture.setMembers({OwnerFixture::first}, 2s);
    REQUIRE((fixture.commit(fixture.a, "offer", "note") == CommitDecision::Committed));

    pausedClock.jump(3s);
    Answers<ClaimResponse> answers;
    paused.claim({RequestId("offer"), 1, false, SessionNumber(3), 1, 100ms}, answers.keep());
    CHECK((answers.count() == 1 && answers.last().decision == ClaimDecision::NotOwner));
    pausedClock.advance(200ms);
    CHECK(isFenced);
    CHECK(paused.shardCount() == 0);

    // As a new session, the same node acquires its shards again.
    OwnerNode renewed(fixture.store, fixture.clock, fixture.settings, SessionNumber(4));
    fixture.a.service.setView(viewOf({SessionNumber(4)}));
    renewed.service.setView(viewOf({SessionNumber(4)}));
    fixture.clock.advance(2s);
    CHECK(renewed.service.shardCount() == 4);
    CHECK(fixture.result(renewed, "offer").answer.body == "note");
}

TEST_CASE("a resend that stopped waiting does not get the claim that the runner releases")
{
    // A resend waits for the first run, is answered with "still running", and its caller leaves. Then the first runner
    // releases the claim. If the departed resend got it, the request would be blocked until the lease of the claim ends. A
    // non-idempotent request would even get an intent that is never run, and end as "it may have run".
    OwnerFixture fixture;
    fixture.setMembers({OwnerFixture::first});
    for (const bool isNonIdempotent : {false, true}) {
        CAPTURE(isNonIdempotent);
        const std::string id = isNonIdempotent ? "payout" : "label";
        const ClaimRequest running = fixture.a.claimOf(id, 1, isNonIdempotent);
        REQUIRE((fixture.claim(fixture.a, running).decision == ClaimDecision::Run));
        REQUIRE((fixture.claim(fixture.a, fixture.a.claimOf(id, 2, isNonIdempotent)).decision == ClaimDecision::StillRunning));
        Answers<ReleaseResponse> released;
        fixture.a.service.release({running.requestId, running.runner, running.claim}, released.keep());
        fixture.clock.advance(1s);
        CHECK((fixture.claim(fixture.a, fixture.a.claimOf(id, 3, isNonIdempotent)).decision == ClaimDecision::Run));
    }
}

TEST_CASE("while the platform is down, results are held up to the limit, and no new request runs beyond it")
{
    // Callers get their answers, marked as pending, until the node holds the max number of results. From then on requests
    // are refused before they run. When the platform is available again, all held results are committed.
    OwnerFixture fixture;
    const auto settings = std::make_shared<Settings>(fixture.settings.current());
    settings->owner.heldResults = 3;
    fixture.settings.replace(settings);
    fixture.setMembers({OwnerFixture::first});
    fixture.a.platform.setDown(true);
    for (const char *const id : {"one", "two", "three"}) {
        REQUIRE((fixture.claim(fixture.a, fixture.a.claimOf(id, 1)).decision == ClaimDecision::Run));
        CHECK((fixture.commit(fixture.a, id, "note") == CommitDecision::Held));
    }
    CHECK((fixture.claim(fixture.a, fixture.a.claimOf("four", 1)).decision == ClaimDecision::Full));
    CHECK((fixture.result(fixture.a, "one").state == RequestState::NotOwner));
    fixture.a.platform.setDown(false);
    fixture.clock.advance(3s);
    CHECK((fixture.claim(fixture.a, fixture.a.claimOf("four", 1)).decision == ClaimDecision::Run));
    for (const char *const id : {"one", "two", "three"}) {
        CHECK(fixture.result(fixture.a, id).answer.body == "note");
    }
}

TEST_CASE("a claim that is never released does not stay in memory forever")
{
    // The release from the entry node was lost, and the caller never sent the request again.
    OwnerFixture fixture;
    fixture.setMembers({OwnerFixture::first});
    REQUIRE((fixture.claim(fixture.a, fixture.a.claimOf("label", 1)).decision == ClaimDecision::Run));
    CHECK(fixture.a.service.resultsInMemory() == 1);
    fixture.clock.advance(5min);
    CHECK(fixture.a.service.resultsInMemory() == 0);
}
