#include <LibBase/ManualClock.h>
#include <LibWorkspace/QuotaClient.h>

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

using std::chrono::milliseconds;
using Counter = QuotaAsker::Counter;

/** An asker whose questions are kept, and answered by the test. */
class Bench
{
public:
    void ask()
    {
        this->last = this->asker.ask(WorkspaceName("w"), {10, 10}, 1, [this](const QuotaDecision &decision) {
            this->decision = decision;
        });
    }

    /** Let time pass as a node does, tick by tick. */
    void pass(milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += milliseconds(20)) {
            this->clock.advance(milliseconds(20));
            this->asker.tick();
        }
    }

    ManualClock clock;
    bool hasHolder = true;
    bool hasSuccessor = true;
    std::vector<Counter> asked;
    int suspicions = 0;
    std::optional<QuotaDecision> decision;
    QuotaAsker::Ticket last = 0;
    QuotaAsker asker{this->clock,
                     {std::chrono::seconds(5), 0.1, 20},
                     {.ask =
                          [this](const QuotaQuestion &, Counter counter) {
                              const bool isThere = counter == Counter::Holder ? this->hasHolder : this->hasSuccessor;
                              if (isThere) {
                                  this->asked.push_back(counter);
                              }
                              return isThere;
                          },
                      .suspectHolder =
                          [this](std::size_t) {
                              ++this->suspicions;
                          }}};
};

} // namespace

TEST_CASE("a question is repeated, then goes to the successor, then is decided alone")
{
    Bench bench;
    bench.ask();
    bench.pass(milliseconds(40));
    CHECK(bench.asked == std::vector{Counter::Holder, Counter::Holder, Counter::Holder});
    bench.pass(milliseconds(20));
    CHECK(bench.asked.back() == Counter::Successor);
    CHECK(bench.suspicions == 1);
    CHECK_FALSE(bench.decision);
    bench.pass(milliseconds(80));
    REQUIRE(bench.decision);
    // It has never been in touch with a counter, so no part is its own.
    CHECK(bench.decision->kind == QuotaDecision::Kind::Unknown);
    CHECK(bench.decision->retryAfter > milliseconds(0));
}

TEST_CASE("a holder that did not answer is passed by for a while, and one that answers again is asked again")
{
    Bench bench;
    bench.ask();
    bench.pass(milliseconds(60));
    bench.asker.take(bench.last, {});
    CHECK(bench.decision->kind == QuotaDecision::Kind::Granted);
    bench.asked.clear();
    bench.ask();
    CHECK(bench.asked == std::vector{Counter::Successor});
    bench.asker.take(bench.last, {});
    bench.clock.advance(milliseconds(500));
    bench.ask();
    CHECK(bench.asked.back() == Counter::Holder);
}

// Guards against callers that a node refuses because it has not met anybody yet, though it will in a moment.
TEST_CASE("a node that has nobody to ask waits to meet somebody for a moment")
{
    Bench bench;
    bench.hasHolder = false;
    bench.hasSuccessor = false;
    bench.ask();
    bench.pass(milliseconds(60));
    CHECK_FALSE(bench.decision);
    bench.hasHolder = true;
    bench.pass(milliseconds(20));
    CHECK(bench.asked == std::vector{Counter::Holder});
    bench.asker.take(bench.last, {});
    CHECK(bench.decision->kind == QuotaDecision::Kind::Granted);

    bench.hasHolder = false;
    bench.decision.reset();
    bench.ask();
    bench.pass(milliseconds(120));
    REQUIRE(bench.decision);
    CHECK(bench.decision->kind == QuotaDecision::Kind::Unknown);
}

TEST_CASE("an answer that comes after the question was given up is nobody's")
{
    Bench bench;
    bench.ask();
    bench.asker.cancel(bench.last);
    bench.asker.take(bench.last, {});
    CHECK_FALSE(bench.decision);
    bench.pass(milliseconds(200));
    CHECK(bench.asked.size() == 1);
}
