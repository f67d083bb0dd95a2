#include <LibBase/ManualClock.h>
#include <LibJournal/JournalRecovery.h>
#include <LibJournal/JournalWriter.h>
#include <Tests/Fakes/FaultyPlatform.h>

#include <doctest/doctest.h>

#include <memory>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

constexpr SessionNumber ownerSession{1};
constexpr SessionNumber successorSession{2};

struct Fixture
{
    ManualClock clock;
    FaultyPlatform platform{clock};
    JournalWriter writer{platform, clock, clock, ownerSession, {}};
    std::vector<std::string> written;
    std::vector<std::string> fenced;

    void append(const std::string &payload)
    {
        this->writer.append({ShardNumber(0), RecordKind::Result, payload}, [this, payload](AppendOutcome outcome) {
            (outcome == AppendOutcome::Written ? this->written : this->fenced).push_back(payload);
        });
    }

    std::vector<std::string> recover()
    {
        std::vector<std::string> payloads;
        const auto recovery = std::make_shared<JournalRecovery>(
            this->platform, this->clock, successorSession, ownerSession, GroupNumber(1), GroupNumber(0));
        recovery->start([&payloads](const RecoveredJournal &journal) {
            for (const RecoveredGroup &group : journal.groups) {
                for (const JournalRecord &record : group.group.records) {
                    payloads.push_back(record.payload);
                }
            }
        });
        this->clock.advance(5s);
        return payloads;
    }
};

using Payloads = std::vector<std::string>;

} // namespace

TEST_CASE("an append whose response was lost is read back, neither duplicated nor lost")
{
    // The platform stores the group but its response is lost, so the writer does not know the outcome. Writing the
    // records in a new group would duplicate them, and giving up would lose them. The nonce in the row identifies the group.
    Fixture fixture;
    fixture.platform.loseAnswers(1);
    fixture.append("offer note");
    fixture.clock.advance(1s);
    CHECK(fixture.written == Payloads{"offer note"});
    CHECK(fixture.recover() == Payloads{"offer note"});
}

TEST_CASE("an append that did not reach the platform is written when the platform is available again")
{
    Fixture fixture;
    fixture.platform.setDown(true);
    fixture.append("offer note");
    fixture.clock.advance(10s);
    CHECK(fixture.written.empty());
    CHECK(fixture.writer.isStalled());
    fixture.platform.setDown(false);
    fixture.clock.advance(2s);
    CHECK(fixture.written == Payloads{"offer note"});
    CHECK_FALSE(fixture.writer.isStalled());
}

TEST_CASE("an owner that was paused while its journal was sealed cannot append")
{
    // Another node takes over while the owner is paused, and the owner then resumes. It must not acknowledge a result that
    // the new owner does not have.
    Fixture fixture;
    fixture.append("before the pause");
    fixture.clock.advance(100ms);
    REQUIRE(fixture.written == Payloads{"before the pause"});
    REQUIRE(fixture.recover() == Payloads{"before the pause"});
    fixture.append("after the pause");
    fixture.clock.advance(1s);
    CHECK(fixture.fenced == Payloads{"after the pause"});
    CHECK(fixture.writer.isFenced());
    CHECK(fixture.recover() == Payloads{"before the pause"});
}

TEST_CASE("a group larger than a row is read back from its object")
{
    Fixture fixture;
    const std::string large(100'000, 'x');
    fixture.append(large);
    fixture.clock.advance(1s);
    CHECK(fixture.written.size() == 1);
    CHECK(fixture.recover() == Payloads{large});
}

TEST_CASE("a burst of appends needs two platform writes: one for the first record, one for the remaining records")
{
    Fixture fixture;
    fixture.append("first");
    fixture.clock.advance(0ms);
    for (int i = 0; i < 500; ++i) {
        fixture.append("more");
    }
    fixture.clock.advance(100ms);
    CHECK(fixture.written.size() == 501);
    CHECK(fixture.platform.rowWrites() == 2);
}

TEST_CASE("a seal after a group that is still in flight does not count as the journal's end")
{
    // Two nodes take over different shards of one owner. The first reads from after the group that the owner has in
    // flight, and seals there. The second reads from the start and finds a gap before that seal. It must seal at the gap:
    // otherwise the group could still be written and acknowledged, and be missing at the new owner.
    Fixture fixture;
    fixture.append("in group 1");
    fixture.clock.advance(100ms);
    const auto laterRecovery = std::make_shared<JournalRecovery>(
        fixture.platform, fixture.clock, SessionNumber(3), ownerSession, GroupNumber(3), GroupNumber(0));
    bool isSealedLater = false;
    laterRecovery->start([&isSealedLater](const RecoveredJournal &) {
        isSealedLater = true;
    });
    fixture.clock.advance(1s);
    REQUIRE(isSealedLater);
    const Payloads recovered = fixture.recover();
    fixture.append("in group 2");
    fixture.clock.advance(1s);
    CHECK(recovered == Payloads{"in group 1"});
    CHECK(fixture.written == Payloads{"in group 1"});
    CHECK(fixture.fenced == Payloads{"in group 2"});
}

TEST_CASE("a recovery returns the last group of the journal")
{
    // The session that takes over closes the span in the shard's row with this number. If it were too low, the span would
    // be dropped from the row, and the next owner would not find the results in it.
    Fixture fixture;
    fixture.append("group 1");
    fixture.clock.advance(100ms);
    fixture.append("group 2");
    fixture.clock.advance(100ms);
    GroupNumber last;
    const auto recovery = std::make_shared<JournalRecovery>(
        fixture.platform, fixture.clock, successorSession, ownerSession, GroupNumber(2), GroupNumber(0));
    recovery->start([&last](const RecoveredJournal &journal) {
        last = journal.last;
    });
    fixture.clock.advance(1s);
    CHECK((last == GroupNumber(2)));
}
