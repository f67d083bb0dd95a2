#include <LibHistory/HistoryChecker.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

HistoryCall call(CallKind kind, CallOutcome outcome, const std::string &text, std::chrono::microseconds at)
{
    return {kind, "id", outcome, text, at, at + 1us, 0};
}

std::vector<ViolationKind> kindsOf(const History &history)
{
    std::vector<ViolationKind> kinds;
    for (const Violation &violation : HistoryChecker(history).check()) {
        kinds.push_back(violation.kind);
    }
    return kinds;
}

using Kinds = std::vector<ViolationKind>;

} // namespace

TEST_CASE("resends, reads and hang-ups with one whole answer are no violation")
{
    History history;
    history.expected["id"] = "whole";
    history.calls = {call(CallKind::Completion, CallOutcome::Lost, "", 1us),
                     call(CallKind::ResultRead, CallOutcome::Absent, "", 5us),
                     call(CallKind::Completion, CallOutcome::Answered, "whole", 10us),
                     call(CallKind::ResultRead, CallOutcome::Answered, "whole", 20us)};
    CHECK(kindsOf(history).empty());
}

TEST_CASE("an answer that is not the whole answer to its own request is found")
{
    History history;
    history.expected["id"] = "whole";
    history.calls = {call(CallKind::Completion, CallOutcome::Answered, "who", 1us)};
    CHECK(kindsOf(history) == Kinds{ViolationKind::WrongAnswer});
}

TEST_CASE("two answers under one id are found")
{
    History history;
    history.calls = {call(CallKind::NonIdempotent, CallOutcome::Answered, "run 1", 1us),
                     call(CallKind::NonIdempotent, CallOutcome::Answered, "run 2", 5us)};
    CHECK(kindsOf(history) == Kinds{ViolationKind::TwoAnswers});
}

TEST_CASE("a non-idempotent id that ran twice is found, whatever its callers saw")
{
    History history;
    history.runs["id"] = 2;
    history.calls = {call(CallKind::NonIdempotent, CallOutcome::OutcomeUnknown, "", 1us)};
    CHECK(kindsOf(history) == Kinds{ViolationKind::RanTwice});
}

TEST_CASE("a durable answer that is denied later is found; one denied before is no violation")
{
    History history;
    history.calls = {call(CallKind::Completion, CallOutcome::Answered, "whole", 1us),
                     call(CallKind::ResultRead, CallOutcome::Absent, "", 10us)};
    CHECK(kindsOf(history) == Kinds{ViolationKind::UnstableRead});
    std::swap(history.calls[0].invoked, history.calls[1].invoked);
    std::swap(history.calls[0].ended, history.calls[1].ended);
    CHECK(kindsOf(history).empty());
}

TEST_CASE("a refusal as not run is false if the id ran and no later call carried it")
{
    History history;
    history.runs["id"] = 1;
    history.calls = {call(CallKind::NonIdempotent, CallOutcome::NotRun, "", 1us)};
    CHECK(kindsOf(history) == Kinds{ViolationKind::FalseNotRun});
    history.calls.push_back(call(CallKind::NonIdempotent, CallOutcome::Answered, "run 1", 10us));
    CHECK(kindsOf(history).empty());
}

TEST_CASE("an id that never got a final answer is lost work")
{
    History history;
    history.calls
        = {call(CallKind::Completion, CallOutcome::Lost, "", 1us), call(CallKind::Completion, CallOutcome::Refused, "", 5us)};
    CHECK(kindsOf(history) == Kinds{ViolationKind::LostWork});
}

TEST_CASE("an accepted job with an item that is missing, wrong or goes on after its cancellation is found")
{
    History history;
    history.calls = {call(CallKind::JobSubmission, CallOutcome::Answered, "", 1us)};
    history.jobs["id"] = {{"a", "b"}, {{{0, "a"}, {1, "b"}}}, 2, 2};
    CHECK(kindsOf(history).empty());
    SUBCASE("missing")
    {
        history.jobs["id"].readings[0].erase(1);
        CHECK(kindsOf(history) == Kinds{ViolationKind::LostWork});
    }
    SUBCASE("wrong")
    {
        history.jobs["id"].readings[0][1] = "a";
        CHECK(kindsOf(history) == Kinds{ViolationKind::WrongAnswer});
    }
    SUBCASE("goes on")
    {
        history.calls.push_back(call(CallKind::JobCancellation, CallOutcome::Answered, "", 5us));
        history.jobs["id"].doneFirst = 1;
        CHECK(kindsOf(history) == Kinds{ViolationKind::CancelIgnored});
    }
}

TEST_CASE("a refused submission requires no results")
{
    History history;
    history.calls = {call(CallKind::JobSubmission, CallOutcome::Refused, "", 1us)};
    history.jobs["id"] = {{"a"}, {{}}, 0, 0};
    CHECK(kindsOf(history).empty());
}
