#include <LibBase/ManualClock.h>
#include <LibGateway/OpenConfirmation.h>

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <utility>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

constexpr std::chrono::milliseconds validity{1500};

/** A clock with an adjustable time for which the machine was suspended. */
class SuspendableClock final : public Clock
{
public:
    explicit SuspendableClock(const ManualClock &running) : running(running)
    {
    }

    SteadyTime now() const override
    {
        return this->running.now();
    }

    WallTime wallNow() const override
    {
        return this->running.wallNow();
    }

    std::chrono::nanoseconds suspended() const override
    {
        return this->pause;
    }

    std::chrono::nanoseconds pause{0};

private:
    const ManualClock &running;
};

/** An OpenConfirmation whose queries the test answers in place of the store. */
class Bench
{
public:
    void answer(OpenConfirmation::Reply reply)
    {
        const auto answers = std::exchange(this->queries, {});
        for (const auto &answer : answers) {
            answer(reply);
        }
    }

    void request()
    {
        this->confirmation.request([this](std::optional<std::chrono::milliseconds> age) {
            this->ages.push_back(age);
        });
    }

    ManualClock time;
    SuspendableClock clock{this->time};
    std::vector<std::function<void(OpenConfirmation::Reply)>> queries;
    std::vector<std::optional<std::chrono::milliseconds>> ages;
    int closed = 0;
    OpenConfirmation confirmation{this->time,
                                  this->clock,
                                  validity,
                                  {.query =
                                       [this](std::function<void(OpenConfirmation::Reply)> answer) {
                                           this->queries.push_back(std::move(answer));
                                       },
                                   .closed =
                                       [this] {
                                           ++this->closed;
                                           this->confirmation.cancel();
                                       }}};
};

using Reply = OpenConfirmation::Reply;

} // namespace

TEST_CASE("a recent reply confirms immediately, after an older one the store is queried again")
{
    Bench bench;
    bench.confirmation.recordOpen(bench.confirmation.queryTime());
    bench.time.advance(validity);
    bench.request();
    CHECK(bench.queries.empty());
    REQUIRE(bench.ages.size() == 1);
    CHECK(bench.ages[0] == validity);
    bench.time.advance(std::chrono::milliseconds(1));
    bench.request();
    bench.request();
    CHECK(bench.ages.size() == 1);
    CHECK(bench.queries.size() == 1);
    bench.answer(Reply::Open);
    REQUIRE(bench.ages.size() == 3);
    CHECK(bench.ages[2] == std::chrono::milliseconds(0));
}

TEST_CASE("callbacks are not called for a closed job")
{
    Bench bench;
    bench.request();
    bench.answer(Reply::Closed);
    CHECK(bench.ages.empty());
    CHECK(bench.closed == 1);
}

// While the store is unreachable, items release their slots, and the store must not be queried immediately for each of them.
TEST_CASE("while the store does not reply, requests fail and the store is queried periodically")
{
    Bench bench;
    bench.request();
    bench.answer(Reply::Unknown);
    REQUIRE(bench.ages.size() == 1);
    CHECK_FALSE(bench.ages[0]);
    bench.request();
    bench.request();
    CHECK(bench.queries.empty());
    bench.time.advance(std::chrono::milliseconds(1000));
    CHECK(bench.queries.size() == 1);
    bench.answer(Reply::Open);
    CHECK(bench.ages.size() == 3);
}

// A reply shows the state at the time of the query; the job may have ended while the reply was in transit.
TEST_CASE("a reply that took longer than its validity confirms nothing")
{
    Bench bench;
    bench.request();
    bench.time.advance(validity + std::chrono::milliseconds(1));
    bench.answer(Reply::Open);
    REQUIRE(bench.ages.size() == 1);
    CHECK_FALSE(bench.ages[0]);
}

TEST_CASE("the time for which the machine was suspended counts towards the age")
{
    Bench bench;
    bench.confirmation.recordOpen(bench.confirmation.queryTime());
    bench.clock.pause = std::chrono::seconds(5);
    bench.request();
    CHECK(bench.ages.empty());
    CHECK(bench.queries.size() == 1);
}

TEST_CASE("a sign that the job is closed invalidates a recent confirmation and earlier queries")
{
    Bench bench;
    bench.confirmation.recordOpen(bench.confirmation.queryTime());
    bench.confirmation.requery();
    bench.request();
    CHECK(bench.ages.empty());
    bench.confirmation.requery();
    REQUIRE(bench.queries.size() == 2);
    bench.queries[0](Reply::Open);
    CHECK(bench.ages.empty());
    bench.queries[1](Reply::Closed);
    CHECK(bench.closed == 1);
}

TEST_CASE("after a sign that the job is closed the store is queried until it replies")
{
    Bench bench;
    bench.confirmation.requery();
    bench.answer(Reply::Unknown);
    bench.time.advance(std::chrono::milliseconds(1000));
    CHECK(bench.queries.size() == 1);
    bench.answer(Reply::Open);
    bench.time.advance(std::chrono::seconds(10));
    CHECK(bench.queries.empty());
}
