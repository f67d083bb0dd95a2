#include <LibBase/ManualClock.h>
#include <LibWorkspace/QuotaClient.h>

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

using std::chrono::milliseconds;
using Counter = QuotaClient::Counter;

/** A quota client whose queries are recorded and answered by the test. */
class Bench
{
public:
    void query()
    {
        this->last = this->client.query(WorkspaceName("w"), {10, 10}, 1, [this](const QuotaDecision &decision) {
            this->decision = decision;
        });
    }

    /** Advances the clock in the tick interval of a node. */
    void pass(milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += milliseconds(20)) {
            this->clock.advance(milliseconds(20));
            this->client.tick();
        }
    }

    ManualClock clock;
    bool hasCoordinator = true;
    bool hasSuccessor = true;
    std::vector<Counter> queried;
    int suspicions = 0;
    std::optional<QuotaDecision> decision;
    QuotaClient::Ticket last = 0;
    QuotaClient client{this->clock,
                       {std::chrono::seconds(5), 0.1, 20},
                       {.sendQuery =
                            [this](const CounterQuery &, Counter counter) {
                                const bool isThere = counter == Counter::Coordinator ? this->hasCoordinator : this->hasSuccessor;
                                if (isThere) {
                                    this->queried.push_back(counter);
                                }
                                return isThere;
                            },
                        .suspectCoordinator =
                            [this](std::size_t) {
                                ++this->suspicions;
                            }}};
};

} // namespace

TEST_CASE("a query is sent again, then goes to the successor, then is decided locally")
{
    Bench bench;
    bench.query();
    bench.pass(milliseconds(40));
    CHECK(bench.queried == std::vector{Counter::Coordinator, Counter::Coordinator, Counter::Coordinator});
    bench.pass(milliseconds(20));
    CHECK(bench.queried.back() == Counter::Successor);
    CHECK(bench.suspicions == 1);
    CHECK_FALSE(bench.decision);
    bench.pass(milliseconds(80));
    REQUIRE(bench.decision);
    // The client never received an answer from a counter, so the node has no share of its own.
    CHECK(bench.decision->kind == QuotaDecision::Kind::Unknown);
    CHECK(bench.decision->retryAfter > milliseconds(0));
}

TEST_CASE("a coordinator that did not answer is skipped for a while, and queried again afterwards")
{
    Bench bench;
    bench.query();
    bench.pass(milliseconds(60));
    bench.client.handleAnswer(bench.last, {});
    CHECK(bench.decision->kind == QuotaDecision::Kind::Granted);
    bench.queried.clear();
    bench.query();
    CHECK(bench.queried == std::vector{Counter::Successor});
    bench.client.handleAnswer(bench.last, {});
    bench.clock.advance(milliseconds(500));
    bench.query();
    CHECK(bench.queried.back() == Counter::Coordinator);
}

// Guards against refusing callers on a node that has just started and has not discovered the other nodes yet.
TEST_CASE("a node without a counter to query waits a moment for other nodes")
{
    Bench bench;
    bench.hasCoordinator = false;
    bench.hasSuccessor = false;
    bench.query();
    bench.pass(milliseconds(60));
    CHECK_FALSE(bench.decision);
    bench.hasCoordinator = true;
    bench.pass(milliseconds(20));
    CHECK(bench.queried == std::vector{Counter::Coordinator});
    bench.client.handleAnswer(bench.last, {});
    CHECK(bench.decision->kind == QuotaDecision::Kind::Granted);

    bench.hasCoordinator = false;
    bench.decision.reset();
    bench.query();
    bench.pass(milliseconds(120));
    REQUIRE(bench.decision);
    CHECK(bench.decision->kind == QuotaDecision::Kind::Unknown);
}

TEST_CASE("an answer to a cancelled query is ignored")
{
    Bench bench;
    bench.query();
    bench.client.cancel(bench.last);
    bench.client.handleAnswer(bench.last, {});
    CHECK_FALSE(bench.decision);
    bench.pass(milliseconds(200));
    CHECK(bench.queried.size() == 1);
}
