#include <LibBase/ManualClock.h>
#include <LibWire/Codec.h>
#include <Services/Gateway/JobStore.h>
#include <Tests/Fakes/FakeRowStore.h>

#include <doctest/doctest.h>

#include <optional>

using namespace Dogwoodkeel;

namespace
{

/** @return the store's time as a node knows it after an answer. */
StoreClock reportedClock(const Clock &clock)
{
    StoreClock reported(clock);
    reported.note(StoreTime(std::chrono::hours(1)));
    return reported;
}

constexpr std::size_t rowBytes = 65536;

Submission submissionOf(const std::string &job, std::size_t items, const ManualClock &clock, std::uint64_t limit = 0)
{
    Submission submission;
    submission.id = JobId(job);
    submission.route = "batch";
    submission.host = "h";
    submission.waitingTokensLimit = limit;
    submission.completionTarget = std::chrono::seconds(18);
    submission.deadline = clock.now() + std::chrono::seconds(4);
    for (std::size_t i = 0; i < items; ++i) {
        submission.items.push_back({ItemId(job + std::to_string(i)), "/p/" + std::to_string(i), {}, "body", 100});
    }
    return submission;
}

/** Two nodes that share a stand-in store. */
class Bench
{
public:
    /** @param wait how long the answer is waited for */
    std::optional<SubmitOutcome>
    submit(JobStore &node, const Submission &submission, std::chrono::milliseconds wait = std::chrono::seconds(5))
    {
        this->reported.reset();
        node.submit(submission, [this](SubmitOutcome outcome) {
            this->reported = outcome;
        });
        this->clock.advance(wait);
        return this->reported;
    }

    LoadedJob load(JobStore &node, const std::string &job)
    {
        LoadedJob reported;
        node.load(JobId(job), [&reported](const LoadedJob &loaded) {
            reported = loaded;
        });
        this->clock.advance(std::chrono::milliseconds(100));
        return reported;
    }

    JobResults results(JobStore &node, const std::string &job, std::uint64_t from)
    {
        JobResults reported;
        node.readResults(JobId(job), from, [&reported](JobResults read) {
            reported = std::move(read);
        });
        this->clock.advance(std::chrono::milliseconds(100));
        return reported;
    }

    WriteOutcome add(JobStore &node, const LoadedJob &loaded, std::uint32_t item, const std::string &output)
    {
        JobHead head = loaded.head;
        head.finishedItems.push_back(item);
        WriteOutcome reported = WriteOutcome::Unknown;
        const ItemResult result{loaded.items[item].id, ItemOutcome::Completed, output};
        node.update(JobId("j"), loaded.version, head, {result}, OpenJob{}, [&reported](WriteOutcome outcome, RowVersion) {
            reported = outcome;
        });
        this->clock.advance(std::chrono::milliseconds(300));
        return reported;
    }

    ManualClock clock;
    /** What became of the last submission. */
    std::optional<SubmitOutcome> reported;
    FakeRowStore store{this->clock};
    StoreClock storeClock = reportedClock(this->clock);
    JobStore one{this->clock,
                 this->clock,
                 this->store,
                 this->storeClock,
                 [] {
                     return SessionNumber(1);
                 },
                 rowBytes,
                 1};
    JobStore two{this->clock,
                 this->clock,
                 this->store,
                 this->storeClock,
                 [] {
                     return SessionNumber(2);
                 },
                 rowBytes,
                 2};
};

} // namespace

TEST_CASE("a job that was accepted at one node is whole at every other")
{
    Bench bench;
    CHECK(bench.submit(bench.one, submissionOf("j", 3, bench.clock)) == SubmitOutcome::Accepted);
    const LoadedJob loaded = bench.load(bench.two, "j");
    REQUIRE(loaded.outcome == JobReadOutcome::Found);
    CHECK(loaded.items.size() == 3);
    CHECK(loaded.items[2].body == "body");
    CHECK(bench.results(bench.two, "j", 0).total == 3);
    CHECK(bench.results(bench.two, "unknown", 0).outcome == JobReadOutcome::Absent);
}

TEST_CASE("a content that is too large for rows lies in an object")
{
    Bench bench;
    Submission submission = submissionOf("j", 20, bench.clock);
    for (JobItem &item : submission.items) {
        item.body = std::string(100'000, 'x');
    }
    CHECK(bench.submit(bench.one, submission) == SubmitOutcome::Accepted);
    const LoadedJob loaded = bench.load(bench.two, "j");
    REQUIRE(loaded.items.size() == 20);
    CHECK(loaded.items[19].body == submission.items[19].body);
}

TEST_CASE("a job that is sent again is accepted again, and kept once")
{
    Bench bench;
    CHECK(bench.submit(bench.one, submissionOf("j", 3, bench.clock, 400)) == SubmitOutcome::Accepted);
    CHECK(bench.submit(bench.two, submissionOf("j", 3, bench.clock, 400)) == SubmitOutcome::Known);
    CHECK(bench.store.rowsOf("jobs").size() == 2);
}

// Two nodes take jobs at the same moment, and only one of them fits. Each sees room; without the row that orders them, both
// would be accepted, and more tokens wait than the operator allows.
TEST_CASE("two nodes can't both fill the last room of a route")
{
    Bench bench;
    std::vector<SubmitOutcome> reported;
    const auto done = [&reported](SubmitOutcome outcome) {
        reported.push_back(outcome);
    };
    bench.one.submit(submissionOf("a", 3, bench.clock, 500), done);
    bench.two.submit(submissionOf("b", 3, bench.clock, 500), done);
    bench.clock.advance(std::chrono::seconds(5));
    std::ranges::sort(reported);
    CHECK(reported == std::vector{SubmitOutcome::Accepted, SubmitOutcome::Full});
}

// More jobs are open than one answer of the store holds. Their tokens fit, so a refusal would be wrong; and two nodes that
// read page after page must still not both fill the last room.
TEST_CASE("the room of a route is told from all its open jobs")
{
    Bench bench;
    bench.store.setPageSize(2);
    for (const char *job : {"c", "d", "e", "f", "g"}) {
        CHECK(bench.submit(bench.one, submissionOf(job, 1, bench.clock, 1000)) == SubmitOutcome::Accepted);
    }
    std::vector<SubmitOutcome> reported;
    const auto done = [&reported](SubmitOutcome outcome) {
        reported.push_back(outcome);
    };
    bench.one.submit(submissionOf("a", 3, bench.clock, 1000), done);
    bench.two.submit(submissionOf("z", 3, bench.clock, 1000), done);
    bench.clock.advance(std::chrono::seconds(5));
    std::ranges::sort(reported);
    CHECK(reported == std::vector{SubmitOutcome::Accepted, SubmitOutcome::Full});
}

// The answer to the write is lost, but the job is kept. A refusal would say that it never runs; it will. Taken for a job that was
// known before, it would not be begun by the node that its row names.
TEST_CASE("a job whose write was done without an answer is found, and accepted")
{
    Bench bench;
    bench.store.loseAnswers(1);
    CHECK(bench.submit(bench.one, submissionOf("j", 3, bench.clock)) == SubmitOutcome::Accepted);
    CHECK(bench.submit(bench.two, submissionOf("j", 3, bench.clock)) == SubmitOutcome::Known);
}

TEST_CASE("a job whose write was done without an answer is accepted also where its route's room is counted")
{
    Bench bench;
    bench.store.loseAnswers(1);
    CHECK(bench.submit(bench.one, submissionOf("j", 3, bench.clock, 1000)) == SubmitOutcome::Accepted);
    CHECK(bench.submit(bench.two, submissionOf("j", 3, bench.clock, 1000)) == SubmitOutcome::Known);
}

// The first of two submissions of one job is stored late, the second by the other node: that one runs it.
TEST_CASE("a job that another node has stored while a write got no answer is known already")
{
    Bench bench;
    bench.store.delayWrites(1, std::chrono::seconds(2));
    std::optional<SubmitOutcome> first;
    bench.one.submit(submissionOf("j", 3, bench.clock), [&first](SubmitOutcome outcome) {
        first = outcome;
    });
    CHECK(bench.submit(bench.two, submissionOf("j", 3, bench.clock)) == SubmitOutcome::Accepted);
    CHECK(first == SubmitOutcome::Known);
}

// The write is done seconds after its answer is given up. Until then the job can't be found; whatever says now that it will
// never run would be false.
TEST_CASE("while a write may still take effect, nothing is promised")
{
    Bench bench;
    bench.store.delayWrites(100, std::chrono::seconds(6));
    CHECK(bench.submit(bench.one, submissionOf("j", 3, bench.clock)) == SubmitOutcome::Unknown);
    bench.clock.advance(std::chrono::seconds(10));
    CHECK(bench.load(bench.two, "j").outcome == JobReadOutcome::Found);
    CHECK(bench.store.rowsOf("jobs").size() == 2);
}

TEST_CASE("a job that the store turned away is refused, truly")
{
    Bench bench;
    bench.store.setDown(true);
    CHECK(bench.submit(bench.one, submissionOf("j", 3, bench.clock)) == SubmitOutcome::NotStored);
    bench.store.setDown(false);
    CHECK(bench.load(bench.two, "j").outcome == JobReadOutcome::Absent);
    CHECK(bench.results(bench.two, "j", 0).outcome == JobReadOutcome::Absent);
}

// The store is away for longer than the caller waits. Kept on trying until then, the node would answer when the caller has no
// time left to come back to a store that answers again.
TEST_CASE("a job that can't be stored is refused while its caller has time to come back")
{
    Bench bench;
    bench.store.setDown(true);
    const Submission submission = submissionOf("j", 3, bench.clock, 1000);
    CHECK(bench.submit(bench.one, submission, std::chrono::milliseconds(100)) == SubmitOutcome::NotStored);
}

// One call fails, because the store had closed the connection just then; the next one is answered.
TEST_CASE("a job is stored though one call to the store failed")
{
    Bench bench;
    bench.store.setDown(true);
    bench.submit(bench.one, submissionOf("j", 3, bench.clock, 1000), std::chrono::milliseconds(1));
    bench.store.setDown(false);
    bench.clock.advance(std::chrono::milliseconds(100));
    CHECK(bench.reported == SubmitOutcome::Accepted);
}

// Two nodes run the same job for a while, because each believes the other gone. The one that lists an item first decides
// what stands at the position; the other's write has no effect.
TEST_CASE("a result's position and content never change")
{
    Bench bench;
    bench.submit(bench.one, submissionOf("j", 2, bench.clock));
    const LoadedJob first = bench.load(bench.one, "j");
    const LoadedJob second = bench.load(bench.two, "j");
    CHECK(bench.add(bench.one, first, 0, "first") == WriteOutcome::Done);
    CHECK(bench.add(bench.two, second, 0, "second") == WriteOutcome::Refused);
    CHECK(bench.add(bench.two, bench.load(bench.two, "j"), 1, "other") == WriteOutcome::Done);
    const JobResults read = bench.results(bench.two, "j", 0);
    REQUIRE(read.results.size() == 2);
    CHECK(read.results[0].output == "first");
    CHECK(read.results[1].output == "other");
    CHECK(bench.results(bench.one, "j", 1).results.size() == 1);
}

TEST_CASE("a job is ended once, and a runner that did not know lists nothing more")
{
    Bench bench;
    bench.submit(bench.one, submissionOf("j", 2, bench.clock));
    const LoadedJob before = bench.load(bench.one, "j");
    std::vector<JobReadOutcome> reported;
    for (int i = 0; i < 2; ++i) {
        bench.two.end(JobId("j"), bench.clock.now() + std::chrono::seconds(2), [&reported](JobReadOutcome outcome) {
            reported.push_back(outcome);
        });
        bench.clock.advance(std::chrono::seconds(1));
    }
    CHECK(reported == std::vector{JobReadOutcome::Found, JobReadOutcome::Found});
    CHECK(bench.add(bench.one, before, 0, "late") == WriteOutcome::Refused);
    CHECK(bench.submit(bench.one, submissionOf("j", 2, bench.clock)) == SubmitOutcome::Known);
    CHECK(bench.load(bench.two, "j").head.isEnded);
}
