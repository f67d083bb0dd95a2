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
constexpr SessionNumber takerSession{2};

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
            this->platform, this->clock, takerSession, ownerSession, GroupNumber(1), GroupNumber(0));
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

TEST_CASE("an append whose answer was lost is read back, not written twice and not lost")
{
    // The caller sees its answer confirmed once. The platform takes the group and loses the answer; the writer cannot
    // know. Writing the records again in a new group would double them, giving up would lose them: the row's nonce
    // tells that they are there.
    Fixture fixture;
    fixture.platform.loseAnswers(1);
    fixture.append("offer note");
    fixture.clock.advance(1s);
    CHECK(fixture.written == Payloads{"offer note"});
    CHECK(fixture.recover() == Payloads{"offer note"});
}

TEST_CASE("an append that did not reach the platform is written when it is back")
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

TEST_CASE("an owner that was paused while its journal was sealed can add nothing")
{
    // The owner is paused, another node takes over, and the owner wakes and goes on as if nothing had been. Its callers
    // must not be told that a result is kept which the new owner does not have.
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

TEST_CASE("a burst of appends takes two platform writes: the first alone, the rest together")
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

TEST_CASE("a seal behind a group that is still on its way is not taken for the journal's end")
{
    // Two nodes take over different shards of one owner. The first reads from behind the group that the owner has in
    // flight, and seals there. The second reads from the start, finds the seal with the gap before it, and must not
    // stop there: the group could still arrive, be acknowledged, and be missing at the new owner.
    Fixture fixture;
    fixture.append("in group 1");
    fixture.clock.advance(100ms);
    const auto behind = std::make_shared<JournalRecovery>(
        fixture.platform, fixture.clock, SessionNumber(3), ownerSession, GroupNumber(3), GroupNumber(0));
    bool isSealedBehind = false;
    behind->start([&isSealedBehind](const RecoveredJournal &) {
        isSealedBehind = true;
    });
    fixture.clock.advance(1s);
    REQUIRE(isSealedBehind);
    const Payloads recovered = fixture.recover();
    fixture.append("in group 2");
    fixture.clock.advance(1s);
    CHECK(recovered == Payloads{"in group 1"});
    CHECK(fixture.written == Payloads{"in group 1"});
    CHECK(fixture.fenced == Payloads{"in group 2"});
}

TEST_CASE("a recovery tells where the journal ends")
{
    // The taker closes the span in the shard's row with it. Closed too early, the span would drop out of the row, and the
    // owner after the taker would not know of the results in it.
    Fixture fixture;
    fixture.append("group 1");
    fixture.clock.advance(100ms);
    fixture.append("group 2");
    fixture.clock.advance(100ms);
    GroupNumber last;
    const auto recovery = std::make_shared<JournalRecovery>(
        fixture.platform, fixture.clock, takerSession, ownerSession, GroupNumber(2), GroupNumber(0));
    recovery->start([&last](const RecoveredJournal &journal) {
        last = journal.last;
    });
    fixture.clock.advance(1s);
    CHECK((last == GroupNumber(2)));
}
