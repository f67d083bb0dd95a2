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

/** A call by three ways that the test answers. */
class ThreeWays
{
public:
    explicit ThreeWays(std::optional<std::chrono::milliseconds> hedgeDelay)
    {
        const Call::Way way = [this](Call::Done done) {
            this->begun.push_back(std::move(done));
        };
        Call::Policy policy{
            .hedgeDelay = hedgeDelay,
            .meaning =
                [](const Answer &answer) {
                    return answer == Answer::Good  ? Call::Meaning::Final
                        : answer == Answer::Failed ? Call::Meaning::Failed
                                                   : Call::Meaning::Open;
                },
            .merge =
                [](const std::vector<Answer> &answers) {
                    return std::ranges::find(answers, Answer::Unknown) != answers.end() ? Answer::Unknown : Answer::Failed;
                },
        };
        std::make_shared<Call>(this->clock, std::vector{way, way, way}, std::move(policy), [this](Answer answer) {
            this->answers.push_back(answer);
        })->start();
    }

    ManualClock clock;
    std::vector<Call::Done> begun;
    std::vector<Answer> answers;
};

} // namespace

TEST_CASE("a way that answers is the only one")
{
    ThreeWays ways(150ms);
    ways.begun[0](Answer::Good);
    ways.clock.advance(1s);
    CHECK(ways.begun.size() == 1);
    CHECK(ways.answers == std::vector{Answer::Good});
}

// Guards against a job that a node cut off from the store accepts only when its own call has timed out.
TEST_CASE("beside a way that is silent the next is tried, and the first good answer counts")
{
    ThreeWays ways(150ms);
    ways.clock.advance(149ms);
    CHECK(ways.begun.size() == 1);
    ways.clock.advance(1ms);
    REQUIRE(ways.begun.size() == 2);
    ways.begun[1](Answer::Good);
    CHECK(ways.answers == std::vector{Answer::Good});
    ways.begun[0](Answer::Unknown);
    ways.clock.advance(1s);
    CHECK(ways.answers.size() == 1);
    CHECK(ways.begun.size() == 2);
}

TEST_CASE("a way that fails is followed by the next at once")
{
    ThreeWays ways(150ms);
    ways.begun[0](Answer::Failed);
    REQUIRE(ways.begun.size() == 2);
    ways.begun[1](Answer::Failed);
    REQUIRE(ways.begun.size() == 3);
    CHECK(ways.answers.empty());
    ways.begun[2](Answer::Failed);
    CHECK(ways.answers == std::vector{Answer::Failed});
}

// Guards against "surely not stored" for a write that a way without an answer may have done.
TEST_CASE("what one way leaves open is not settled by another's failure")
{
    ThreeWays ways(150ms);
    ways.clock.advance(150ms);
    REQUIRE(ways.begun.size() == 2);
    ways.begun[1](Answer::Failed);
    CHECK(ways.answers.empty());
    ways.begun[0](Answer::Unknown);
    ways.clock.advance(1s);
    CHECK(ways.answers == std::vector{Answer::Unknown});
    CHECK(ways.begun.size() == 2);
}

TEST_CASE("without a delay a way is tried only when the one before has failed")
{
    ThreeWays ways(std::nullopt);
    ways.clock.advance(10s);
    CHECK(ways.begun.size() == 1);
    ways.begun[0](Answer::Failed);
    CHECK(ways.begun.size() == 2);
    ways.begun[1](Answer::Unknown);
    CHECK(ways.answers == std::vector{Answer::Unknown});
}
