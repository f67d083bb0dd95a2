#include <Tests/ServiceOwner/OwnerFixture.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

SettingsPointer smallCheckpoints()
{
    auto settings = std::make_shared<Settings>();
    settings->owner.shards = 4;
    settings->owner.recentBytes = 4000;
    settings->owner.checkpointBytes = 4000;
    settings->owner.checkpointGroups = 40;
    settings->owner.resultRetention = 1h;
    return settings;
}

/** Two nodes that write checkpoints often. */
struct Checkpointed : OwnerFixture
{
    Checkpointed()
    {
        this->settings.replace(smallCheckpoints());
        this->owner.service.setView(viewOf({ownerSession}));
        this->clock.advance(1s);
    }

    static std::string idOf(int number)
    {
        return "offer-" + std::to_string(number);
    }

    /** Commit results one after the other. @return how many were committed */
    int commitMany(int from, int to)
    {
        int done = 0;
        for (int i = from; i < to; ++i) {
            Answers<CommitResponse> answers;
            this->owner.service.commit(this->owner.commitOf(idOf(i), "note " + std::to_string(i)), answers.keep());
            this->clock.advance(100ms);
            done += answers.count() == 1 && answers.last().decision == CommitDecision::Committed ? 1 : 0;
        }
        return done;
    }

    /** Let the owner die and another take over. */
    void loseOwner()
    {
        this->owner.platform.setDown(true);
        this->taker.service.setView(viewOf({ownerSession, takerSession}));
        this->taker.service.setView(viewOf({takerSession}));
        this->clock.advance(3s);
    }

    static constexpr SessionNumber ownerSession{11};
    static constexpr SessionNumber takerSession{12};

    SettingsHandle small{smallCheckpoints()};
    OwnerNode owner{this->store, this->clock, this->small, ownerSession};
    OwnerNode taker{this->store, this->clock, this->small, takerSession};
};

} // namespace

TEST_CASE("results written long ago stay readable while memory stays flat, also at the next owner")
{
    // A caller reads the offer note of last week. The owner keeps only the youngest results in memory; the rest stand in
    // runs, which are merged, and the next owner reads the checkpoint in place of the whole journal.
    Checkpointed fixture;
    REQUIRE(fixture.commitMany(0, 600) == 600);
    CHECK(fixture.owner.service.resultsInMemory() < 200);
    CHECK(fixture.result(fixture.owner, Checkpointed::idOf(0)).answer.body == "note 0");
    CHECK((fixture.claim(fixture.owner, fixture.owner.claimOf(Checkpointed::idOf(1), 7)).decision == ClaimDecision::Done));
    CHECK((fixture.commit(fixture.owner, Checkpointed::idOf(2), "another") == CommitDecision::Superseded));
    fixture.loseOwner();
    REQUIRE(fixture.taker.service.shardCount() == 4);
    CHECK(fixture.taker.service.resultsInMemory() < 200);
    int wrong = 0;
    for (int i = 0; i < 600; i += 7) {
        wrong += fixture.result(fixture.taker, Checkpointed::idOf(i)).answer.body == "note " + std::to_string(i) ? 0 : 1;
    }
    CHECK(wrong == 0);
    CHECK((fixture.result(fixture.taker, "never asked").state == RequestState::Absent));
}

TEST_CASE("a checkpoint that meets lost writes and lost answers at any step loses nothing")
{
    for (std::size_t step = 0; step < 12; ++step) {
        CAPTURE(step);
        Checkpointed fixture;
        REQUIRE(fixture.commitMany(0, 30) == 30);
        for (std::size_t i = 0; i < 10; ++i) {
            step % 2 == 0 ? fixture.owner.platform.loseAnswers(step / 2) : fixture.owner.platform.loseWrites(step / 2);
            fixture.clock.advance(300ms);
            fixture.commitMany(static_cast<int>(30 + i * 10), static_cast<int>(40 + i * 10));
        }
        fixture.clock.advance(20s);
        fixture.loseOwner();
        REQUIRE(fixture.taker.service.shardCount() == 4);
        int wrong = 0;
        for (int i = 0; i < 130; ++i) {
            wrong += fixture.result(fixture.taker, Checkpointed::idOf(i)).answer.body == "note " + std::to_string(i) ? 0 : 1;
        }
        CHECK(wrong == 0);
    }
}

TEST_CASE("an intent outlives the journal groups it was written in")
{
    // The payout's runner is lost long after its intent was written. The groups that held the intent are no longer read by
    // the next owner, so the checkpoint must hold it: the payout must not run again.
    Checkpointed fixture;
    REQUIRE((fixture.claim(fixture.owner, fixture.owner.claimOf("payout", 1, true)).decision == ClaimDecision::Run));
    REQUIRE(fixture.commitMany(0, 200) == 200);
    fixture.loseOwner();
    CHECK((fixture.claim(fixture.taker, fixture.taker.claimOf("payout", 2, true)).decision == ClaimDecision::OutcomeUnknown));
}

TEST_CASE("a request whose result may stand in an object that cannot be read is not run again")
{
    Checkpointed fixture;
    REQUIRE(fixture.commitMany(0, 300) == 300);
    fixture.owner.platform.setDown(true);
    CHECK((fixture.claim(fixture.owner, fixture.owner.claimOf(Checkpointed::idOf(0), 7)).decision == ClaimDecision::Unavailable));
    CHECK((fixture.claim(fixture.owner, fixture.owner.claimOf("new", 8)).decision == ClaimDecision::Run));
}

TEST_CASE("a taker that read a row before a checkpoint finds out that it is old")
{
    // The taker reads the rows and is slow. Meanwhile the owner writes a checkpoint and deletes the former one. The taker
    // must not take the missing object for an empty state, nor wait for it for ever.
    Checkpointed fixture;
    REQUIRE(fixture.commitMany(0, 200) == 200);
    std::vector<ReadShard> rows;
    for (std::uint32_t shard = 0; shard < 4; ++shard) {
        const auto row = fixture.store->read(JournalKeys::shard(ShardNumber(shard)));
        REQUIRE(row);
        rows.push_back({ShardNumber(shard), *decode<ShardRow>(row->value), row->version});
    }
    REQUIRE(fixture.commitMany(200, 400) == 200);
    const auto recovery
        = std::make_shared<ShardRecovery>(fixture.taker.platform, fixture.clock, Checkpointed::takerSession, rows);
    std::vector<bool> reported;
    recovery->start([&reported](bool isComplete) {
        reported.push_back(isComplete);
    });
    fixture.clock.advance(1s);
    CHECK(reported == std::vector<bool>{false});
}

TEST_CASE("results are forgotten after their retention")
{
    Checkpointed fixture;
    REQUIRE(fixture.commitMany(0, 200) == 200);
    fixture.clock.advance(2h);
    REQUIRE(fixture.commitMany(200, 600) == 400);
    CHECK((fixture.result(fixture.owner, Checkpointed::idOf(0)).state == RequestState::Absent));
    CHECK(fixture.result(fixture.owner, Checkpointed::idOf(300)).answer.body == "note 300");
}

TEST_CASE("groups that no shard needs are deleted, the seal is not")
{
    Checkpointed fixture;
    REQUIRE(fixture.commitMany(0, 400) == 400);
    fixture.clock.advance(31s);
    const auto groups = [&fixture] {
        const SessionNumber session = Checkpointed::ownerSession;
        return fixture.store->readRange(JournalKeys::group(session, GroupNumber(0)), JournalKeys::groupsEnd(session), 10'000);
    };
    CHECK(groups().size() < 150);
    // The owner is lost: the taker writes checkpoints of its own, and only the seal is left. A paused owner that wakes
    // would otherwise write at that place, and acknowledge what nobody replays.
    fixture.loseOwner();
    fixture.clock.advance(330s);
    REQUIRE(groups().size() == 1);
    CHECK((decode<JournalGroup>(groups().front().value)->sealedBy == Checkpointed::takerSession));
    int wrong = 0;
    for (int i = 0; i < 400; i += 7) {
        wrong += fixture.result(fixture.taker, Checkpointed::idOf(i)).answer.body == "note " + std::to_string(i) ? 0 : 1;
    }
    CHECK(wrong == 0);
    fixture.owner.platform.setDown(false);
    CHECK(fixture.commitMany(400, 401) == 0);
}

TEST_CASE("a planned stop writes a checkpoint first, and the next owner has little to replay")
{
    Checkpointed fixture;
    REQUIRE(fixture.commitMany(0, 35) == 35);
    bool isStopped = false;
    fixture.owner.service.stop([&isStopped] {
        isStopped = true;
    });
    fixture.clock.advance(2s);
    REQUIRE(isStopped);
    for (std::uint32_t shard = 0; shard < 4; ++shard) {
        const auto row = decode<ShardRow>(fixture.store->read(JournalKeys::shard(ShardNumber(shard)))->value);
        CHECK((row->owner == SessionNumber(0)));
        CHECK_FALSE(row->checkpoint.empty());
        CHECK(row->spans.empty());
    }
    fixture.taker.service.setView(viewOf({Checkpointed::takerSession}));
    fixture.clock.advance(1s);
    CHECK(fixture.result(fixture.taker, Checkpointed::idOf(0)).answer.body == "note 0");
}

TEST_CASE("what a lost owner left half-written is swept, and nothing that is needed")
{
    // The owner dies between the objects of a checkpoint and the row that would have named them.
    Checkpointed fixture;
    REQUIRE(fixture.commitMany(0, 300) == 300);
    const std::string left = JournalKeys::block(ShardNumber(0), "1-halfwritten", 0);
    const std::string later = JournalKeys::block(ShardNumber(0), "99-another", 0);
    fixture.store->putIfAbsent(left, "left");
    fixture.store->putIfAbsent(later, "of a later owner");
    fixture.loseOwner();
    fixture.clock.advance(5s);
    CHECK_FALSE(fixture.store->get(left));
    CHECK(fixture.store->get(later));
    int wrong = 0;
    for (int i = 0; i < 300; i += 7) {
        wrong += fixture.result(fixture.taker, Checkpointed::idOf(i)).answer.body == "note " + std::to_string(i) ? 0 : 1;
    }
    CHECK(wrong == 0);
}
