#include <LibBase/ManualClock.h>
#include <LibPlatform/HedgedCall.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

enum class Answer {
    Good,
    Failed,
    Unknown,
};

using Call = HedgedCall<Answer>;

/** A call over three routes that the test answers. */
class ThreeRoutes
{
public:
    explicit ThreeRoutes(std::optional<std::chrono::milliseconds> hedgeDelay)
    {
        const Call::Route route = [this](Call::Done done) {
            this->started.push_back(std::move(done));
        };
        Call::Policy policy{
            .hedgeDelay = hedgeDelay,
            .meaning =
                [](const Answer &answer) {
                    return answer == Answer::Good  ? Call::Meaning::Final
                        : answer == Answer::Failed ? Call::Meaning::Failed
                                                   : Call::Meaning::Unknown;
                },
            .merge =
                [](const std::vector<Answer> &answers) {
                    return std::ranges::find(answers, Answer::Unknown) != answers.end() ? Answer::Unknown : Answer::Failed;
                },
        };
        std::make_shared<Call>(this->clock, std::vector{route, route, route}, std::move(policy), [this](Answer answer) {
            this->answers.push_back(answer);
        })->start();
    }

    ManualClock clock;
    std::vector<Call::Done> started;
    std::vector<Answer> answers;
};

} // namespace

TEST_CASE("no other route is started if the first answers in time")
{
    ThreeRoutes routes(150ms);
    routes.started[0](Answer::Good);
    routes.clock.advance(1s);
    CHECK(routes.started.size() == 1);
    CHECK(routes.answers == std::vector{Answer::Good});
}

// Guards against a node without a connection to the store that accepts a job only after its own call has timed out.
TEST_CASE("an unresponsive route is hedged by the next one, and the first good answer is the result")
{
    ThreeRoutes routes(150ms);
    routes.clock.advance(149ms);
    CHECK(routes.started.size() == 1);
    routes.clock.advance(1ms);
    REQUIRE(routes.started.size() == 2);
    routes.started[1](Answer::Good);
    CHECK(routes.answers == std::vector{Answer::Good});
    routes.started[0](Answer::Unknown);
    routes.clock.advance(1s);
    CHECK(routes.answers.size() == 1);
    CHECK(routes.started.size() == 2);
}

TEST_CASE("a failed route is followed by the next one immediately")
{
    ThreeRoutes routes(150ms);
    routes.started[0](Answer::Failed);
    REQUIRE(routes.started.size() == 2);
    routes.started[1](Answer::Failed);
    REQUIRE(routes.started.size() == 3);
    CHECK(routes.answers.empty());
    routes.started[2](Answer::Failed);
    CHECK(routes.answers == std::vector{Answer::Failed});
}

// Guards against reporting a write as not applied although an unanswered route may have applied it.
TEST_CASE("an unknown outcome on one route is not overridden by a failure on another")
{
    ThreeRoutes routes(150ms);
    routes.clock.advance(150ms);
    REQUIRE(routes.started.size() == 2);
    routes.started[1](Answer::Failed);
    CHECK(routes.answers.empty());
    routes.started[0](Answer::Unknown);
    routes.clock.advance(1s);
    CHECK(routes.answers == std::vector{Answer::Unknown});
    CHECK(routes.started.size() == 2);
}

TEST_CASE("without a hedge delay a route is started only when the previous one has failed")
{
    ThreeRoutes routes(std::nullopt);
    routes.clock.advance(10s);
    CHECK(routes.started.size() == 1);
    routes.started[0](Answer::Failed);
    CHECK(routes.started.size() == 2);
    routes.started[1](Answer::Unknown);
    CHECK(routes.answers == std::vector{Answer::Unknown});
}
