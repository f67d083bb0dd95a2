#include <LibBase/ManualClock.h>
#include <LibWire/Codec.h>
#include <Services/Gateway/JobStore.h>
#include <Tests/Fakes/FakeRowStore.h>

#include <doctest/doctest.h>

#include <optional>

using namespace Dogwoodkeel;

namespace
{

/** @return a store clock that has received one answer of the store. */
StoreClock reportedClock(const Clock &clock)
{
    StoreClock reported(clock);
    reported.record(StoreTime(std::chrono::hours(1)));
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
    /** @param wait time that the test waits for the answer */
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
    /** Outcome of the last submission, if it was reported. */
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

TEST_CASE("a job accepted at one node can be read completely at every other")
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

TEST_CASE("content that is too large for rows is stored in an object")
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

TEST_CASE("a job that is submitted again is accepted again, and stored once")
{
    Bench bench;
    CHECK(bench.submit(bench.one, submissionOf("j", 3, bench.clock, 400)) == SubmitOutcome::Accepted);
    CHECK(bench.submit(bench.two, submissionOf("j", 3, bench.clock, 400)) == SubmitOutcome::Known);
    CHECK(bench.store.rowsOf("jobs").size() == 2);
}

// Two nodes accept jobs at the same moment, and the route has capacity for one of them. Without the row that orders acceptances,
// both would be accepted, and more tokens would wait than the operator allows.
TEST_CASE("two nodes can't both use the last capacity of a route")
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

// More jobs are open than fit into one answer of the store. Their tokens are within the limit, so a refusal would be wrong; and
// two nodes that read several pages must not both use the last capacity.
TEST_CASE("the capacity of a route is computed from all its open jobs")
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

// The answer to the write is lost, but the job is stored. A refusal would state that it never runs, which is false. If it were
// reported as known before, the node that its row names would not start it.
TEST_CASE("a job whose write took effect without an answer is found and accepted")
{
    Bench bench;
    bench.store.loseAnswers(1);
    CHECK(bench.submit(bench.one, submissionOf("j", 3, bench.clock)) == SubmitOutcome::Accepted);
    CHECK(bench.submit(bench.two, submissionOf("j", 3, bench.clock)) == SubmitOutcome::Known);
}

TEST_CASE("a job whose write took effect without an answer is accepted also on a route with limited capacity")
{
    Bench bench;
    bench.store.loseAnswers(1);
    CHECK(bench.submit(bench.one, submissionOf("j", 3, bench.clock, 1000)) == SubmitOutcome::Accepted);
    CHECK(bench.submit(bench.two, submissionOf("j", 3, bench.clock, 1000)) == SubmitOutcome::Known);
}

// The first node's write of a job is delayed and gets no answer, and the other node stores the same job: the other node runs it.
TEST_CASE("a job that another node has stored while a write got no answer is already known")
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

// The write takes effect seconds after the wait for its answer has ended. Until then the job can't be found, but an answer that
// it will never run would be false.
TEST_CASE("while a write may still take effect, the outcome is reported as unknown")
{
    Bench bench;
    bench.store.delayWrites(100, std::chrono::seconds(6));
    CHECK(bench.submit(bench.one, submissionOf("j", 3, bench.clock)) == SubmitOutcome::Unknown);
    bench.clock.advance(std::chrono::seconds(10));
    CHECK(bench.load(bench.two, "j").outcome == JobReadOutcome::Found);
    CHECK(bench.store.rowsOf("jobs").size() == 2);
}

TEST_CASE("a job that the store rejected is refused and not stored")
{
    Bench bench;
    bench.store.setDown(true);
    CHECK(bench.submit(bench.one, submissionOf("j", 3, bench.clock)) == SubmitOutcome::NotStored);
    bench.store.setDown(false);
    CHECK(bench.load(bench.two, "j").outcome == JobReadOutcome::Absent);
    CHECK(bench.results(bench.two, "j", 0).outcome == JobReadOutcome::Absent);
}

// The store is unreachable for longer than the caller waits. If the node retried until then, the caller would have no time left
// to retry when the store answers again.
TEST_CASE("a job that can't be stored is refused while its caller has time to retry")
{
    Bench bench;
    bench.store.setDown(true);
    const Submission submission = submissionOf("j", 3, bench.clock, 1000);
    CHECK(bench.submit(bench.one, submission, std::chrono::milliseconds(100)) == SubmitOutcome::NotStored);
}

// One call fails because the store has just closed the connection; the next one is answered.
TEST_CASE("a job is stored although one call to the store failed")
{
    Bench bench;
    bench.store.setDown(true);
    bench.submit(bench.one, submissionOf("j", 3, bench.clock, 1000), std::chrono::milliseconds(1));
    bench.store.setDown(false);
    bench.clock.advance(std::chrono::milliseconds(100));
    CHECK(bench.reported == SubmitOutcome::Accepted);
}

// Two nodes run the same job for a while, because each regards the other as failed. The first write of a position decides its
// result; the other node's write has no effect.
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

TEST_CASE("a job is ended once, and a runner that did not know of the end adds no results")
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
