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

    /** Commits results one after the other. @return the number of committed results */
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

    /** Fails the owner and lets the successor take over. */
    void failOwner()
    {
        this->owner.platform.setDown(true);
        this->successor.service.setView(viewOf({ownerSession, successorSession}));
        this->successor.service.setView(viewOf({successorSession}));
        this->clock.advance(3s);
    }

    static constexpr SessionNumber ownerSession{11};
    static constexpr SessionNumber successorSession{12};

    SettingsHandle small{smallCheckpoints()};
    OwnerNode owner{this->store, this->clock, this->small, ownerSession};
    OwnerNode successor{this->store, this->clock, this->small, successorSession};
};

} // namespace

TEST_CASE("old results stay readable with bounded memory, also at the next owner")
{
    // The owner keeps only the newest results in memory. The remaining ones are in runs, which are merged, and the next owner
    // reads the checkpoint instead of the whole journal.
    Checkpointed fixture;
    REQUIRE(fixture.commitMany(0, 600) == 600);
    CHECK(fixture.owner.service.resultsInMemory() < 200);
    CHECK(fixture.result(fixture.owner, Checkpointed::idOf(0)).answer.body == "note 0");
    CHECK((fixture.claim(fixture.owner, fixture.owner.claimOf(Checkpointed::idOf(1), 7)).decision == ClaimDecision::Done));
    CHECK((fixture.commit(fixture.owner, Checkpointed::idOf(2), "another") == CommitDecision::Superseded));
    fixture.failOwner();
    REQUIRE(fixture.successor.service.shardCount() == 4);
    CHECK(fixture.successor.service.resultsInMemory() < 200);
    int wrong = 0;
    for (int i = 0; i < 600; i += 7) {
        wrong += fixture.result(fixture.successor, Checkpointed::idOf(i)).answer.body == "note " + std::to_string(i) ? 0 : 1;
    }
    CHECK(wrong == 0);
    CHECK((fixture.result(fixture.successor, "never sent").state == RequestState::Absent));
}

TEST_CASE("a checkpoint with lost writes or lost responses at any step loses no result")
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
        fixture.failOwner();
        REQUIRE(fixture.successor.service.shardCount() == 4);
        int wrong = 0;
        for (int i = 0; i < 130; ++i) {
            wrong += fixture.result(fixture.successor, Checkpointed::idOf(i)).answer.body == "note " + std::to_string(i) ? 0 : 1;
        }
        CHECK(wrong == 0);
    }
}

TEST_CASE("an intent is kept when the journal groups with it are deleted")
{
    // The runner of the payout is lost long after the intent was written. The next owner no longer reads the groups with the
    // intent, so the checkpoint must contain it. Otherwise the payout would run again.
    Checkpointed fixture;
    REQUIRE((fixture.claim(fixture.owner, fixture.owner.claimOf("payout", 1, true)).decision == ClaimDecision::Run));
    REQUIRE(fixture.commitMany(0, 200) == 200);
    fixture.failOwner();
    CHECK((fixture.claim(fixture.successor, fixture.successor.claimOf("payout", 2, true)).decision
           == ClaimDecision::OutcomeUnknown));
}

TEST_CASE("a request whose result may be in an unreadable object is not run again")
{
    Checkpointed fixture;
    REQUIRE(fixture.commitMany(0, 300) == 300);
    fixture.owner.platform.setDown(true);
    CHECK((fixture.claim(fixture.owner, fixture.owner.claimOf(Checkpointed::idOf(0), 7)).decision == ClaimDecision::Unavailable));
    CHECK((fixture.claim(fixture.owner, fixture.owner.claimOf("new", 8)).decision == ClaimDecision::Run));
}

TEST_CASE("a recovery from a row that is older than the last checkpoint reports itself incomplete")
{
    // After the successor has read the rows, the owner writes a checkpoint and deletes the former one. The successor must
    // neither treat the missing object as an empty state nor wait for it forever.
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
        = std::make_shared<ShardRecovery>(fixture.successor.platform, fixture.clock, Checkpointed::successorSession, rows);
    std::vector<bool> reported;
    recovery->start([&reported](bool isComplete) {
        reported.push_back(isComplete);
    });
    fixture.clock.advance(1s);
    CHECK(reported == std::vector<bool>{false});
}

TEST_CASE("results are removed after their retention")
{
    Checkpointed fixture;
    REQUIRE(fixture.commitMany(0, 200) == 200);
    fixture.clock.advance(2h);
    REQUIRE(fixture.commitMany(200, 600) == 400);
    CHECK((fixture.result(fixture.owner, Checkpointed::idOf(0)).state == RequestState::Absent));
    CHECK(fixture.result(fixture.owner, Checkpointed::idOf(300)).answer.body == "note 300");
}

TEST_CASE("journal groups that no shard needs are deleted, but the seal is kept")
{
    Checkpointed fixture;
    REQUIRE(fixture.commitMany(0, 400) == 400);
    fixture.clock.advance(31s);
    const auto groups = [&fixture] {
        const SessionNumber session = Checkpointed::ownerSession;
        return fixture.store->readRange(JournalKeys::group(session, GroupNumber(0)), JournalKeys::groupsEnd(session), 10'000);
    };
    CHECK(groups().size() < 150);
    // After the owner is lost, the successor writes its own checkpoints, and only the seal remains. Without the seal, a
    // paused owner that resumes would write to its key and acknowledge records that are never replayed.
    fixture.failOwner();
    fixture.clock.advance(330s);
    REQUIRE(groups().size() == 1);
    CHECK((decode<JournalGroup>(groups().front().value)->sealedBy == Checkpointed::successorSession));
    int wrong = 0;
    for (int i = 0; i < 400; i += 7) {
        wrong += fixture.result(fixture.successor, Checkpointed::idOf(i)).answer.body == "note " + std::to_string(i) ? 0 : 1;
    }
    CHECK(wrong == 0);
    fixture.owner.platform.setDown(false);
    CHECK(fixture.commitMany(400, 401) == 0);
}

TEST_CASE("a planned stop writes a checkpoint first, and the next owner has no spans to replay")
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
    fixture.successor.service.setView(viewOf({Checkpointed::successorSession}));
    fixture.clock.advance(1s);
    CHECK(fixture.result(fixture.successor, Checkpointed::idOf(0)).answer.body == "note 0");
}

TEST_CASE("unreferenced objects of a lost owner are deleted, and no needed ones")
{
    // The owner fails after it wrote objects of a checkpoint and before it wrote the row that names them.
    Checkpointed fixture;
    REQUIRE(fixture.commitMany(0, 300) == 300);
    const std::string left = JournalKeys::block(ShardNumber(0), "1-halfwritten", 0);
    const std::string later = JournalKeys::block(ShardNumber(0), "99-another", 0);
    fixture.store->putIfAbsent(left, "left");
    fixture.store->putIfAbsent(later, "of a later owner");
    fixture.failOwner();
    fixture.clock.advance(5s);
    CHECK_FALSE(fixture.store->get(left));
    CHECK(fixture.store->get(later));
    int wrong = 0;
    for (int i = 0; i < 300; i += 7) {
        wrong += fixture.result(fixture.successor, Checkpointed::idOf(i)).answer.body == "note " + std::to_string(i) ? 0 : 1;
    }
    CHECK(wrong == 0);
}
