#include <Tests/ServiceOwner/OwnerFixture.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

TEST_CASE("those who wait at an owner that is fenced are told so at once")
{
    // A resend waits for the first run's result, which is on its way to the journal when another node seals it. Left
    // waiting, the resend's caller would hear "still running" from a node that decides nothing any more.
    OwnerFixture fixture;
    fixture.show({OwnerFixture::first});
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

TEST_CASE("an owner that was paused while another took over does not say that a kept result is unknown")
{
    // The result is committed at the new owner. The paused one wakes, is asked before it has written anything, and its
    // memory knows nothing of the id: "no such id" would be false.
    OwnerFixture fixture;
    fixture.show({OwnerFixture::first});
    fixture.b.service.setView(viewOf({OwnerFixture::first, OwnerFixture::second}));
    fixture.b.service.setView(viewOf({OwnerFixture::second}));
    fixture.clock.advance(2s);
    REQUIRE((fixture.commit(fixture.b, "offer", "note") == CommitDecision::Committed));
    CHECK((fixture.result(fixture.a, "offer").state == RequestState::NotOwner));
    // A job that was accepted there is not called unknown either.
    Answers<JobStatusResponse> status;
    fixture.a.service.batches().status({JobId("lot"), WorkspaceName("retailer")}, status.keep());
    fixture.clock.advance(1s);
    CHECK((status.count() == 1 && status.last().progress.state == JobState::NotOwner));
}

TEST_CASE("a node that was paused while its shards were taken finds out when it wakes, before it answers")
{
    // The VM is paused for longer than the suspicion. On waking it is asked for a request that was answered meanwhile: it
    // must not let that run again. Its journal is sealed, so it has to go on as another session, and is told so at once.
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
    fixture.show({OwnerFixture::first}, 2s);
    REQUIRE((fixture.commit(fixture.a, "offer", "note") == CommitDecision::Committed));

    pausedClock.jump(3s);
    Answers<ClaimResponse> answers;
    paused.claim({RequestId("offer"), 1, false, SessionNumber(3), 1, 100ms}, answers.keep());
    CHECK((answers.count() == 1 && answers.last().decision == ClaimDecision::NotOwner));
    pausedClock.advance(200ms);
    CHECK(isFenced);
    CHECK(paused.shardCount() == 0);

    // As a new session, the same node takes its share again.
    OwnerNode renewed(fixture.store, fixture.clock, fixture.settings, SessionNumber(4));
    fixture.a.service.setView(viewOf({SessionNumber(4)}));
    renewed.service.setView(viewOf({SessionNumber(4)}));
    fixture.clock.advance(2s);
    CHECK(renewed.service.shardCount() == 4);
    CHECK(fixture.result(renewed, "offer").answer.body == "note");
}

TEST_CASE("a resend that stopped waiting does not take the claim when the runner gives up")
{
    // A resend waits for the first run, is told "still running", and its caller goes away. Then the first runner gives the
    // claim back. Given to the resend that is not there, the request would stand still until the claim's lease ends; a
    // non-idempotent one would even get an intent that nobody runs, and end as "it may have run".
    OwnerFixture fixture;
    fixture.show({OwnerFixture::first});
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

TEST_CASE("while the platform is down results are held up to the bound, and nothing new runs beyond it")
{
    // Callers get their answers, marked as pending, until the node holds as many results as it may. From then on requests
    // are refused before they run. When the platform is back, all that was held is kept.
    OwnerFixture fixture;
    const auto settings = std::make_shared<Settings>(fixture.settings.current());
    settings->owner.heldResults = 3;
    fixture.settings.replace(settings);
    fixture.show({OwnerFixture::first});
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

TEST_CASE("a claim that nobody ever gave back does not stay in memory for ever")
{
    // The entry's release was lost, and the caller never asked again.
    OwnerFixture fixture;
    fixture.show({OwnerFixture::first});
    REQUIRE((fixture.claim(fixture.a, fixture.a.claimOf("label", 1)).decision == ClaimDecision::Run));
    CHECK(fixture.a.service.resultsInMemory() == 1);
    fixture.clock.advance(5min);
    CHECK(fixture.a.service.resultsInMemory() == 0);
}
