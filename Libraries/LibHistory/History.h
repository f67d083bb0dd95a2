#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** What a caller asked for. */
enum class CallKind {
    /** A completion under an id; may be repeated. */
    Completion,
    /** A call of a plain service under an id that must not run twice. */
    NonIdempotent,
    /** The stored result of an id. */
    ResultRead,
    /** Submission of a job. */
    JobSubmission,
    /** Cancellation of a job. */
    JobCancellation,
};

/** How a call ended for its caller. */
enum class CallOutcome {
    /** The answer, told to be durable. */
    Answered,
    /** The answer, told to be held until the platform is back. */
    Pending,
    /** Refused, with the word that it did not run. */
    NotRun,
    /** Refused without that word. */
    Refused,
    /** Refused because it may have run once and will not run again. */
    OutcomeUnknown,
    /** Told that nothing is known of the id. */
    Absent,
    /** No whole answer: hung up, broken or timed out. */
    Lost,
};

/** One call as its caller saw it. Times count from the start of the run. */
struct HistoryCall
{
    CallKind kind = CallKind::Completion;
    std::string id;
    CallOutcome outcome = CallOutcome::Lost;
    /** The answer's text. */
    std::string text;
    std::chrono::microseconds invoked{0};
    std::chrono::microseconds ended{0};
    /** Which node was called, for the report. */
    std::size_t node = 0;
};

/** What a job held when all faults were over. */
struct JobEnd
{
    /** The expected text of each item. */
    std::vector<std::string> expected;
    /** The text of each item that has a result; every reading of the results, at whatever node. */
    std::vector<std::map<std::uint32_t, std::string>> readings;
    /** Items with a result at two moments after all faults were over. */
    std::uint32_t doneFirst = 0;
    std::uint32_t doneLater = 0;
};

/** All that was seen in one run. */
struct History
{
    std::vector<HistoryCall> calls;
    /** The whole answer that each completion must get. */
    std::map<std::string, std::string> expected;
    /** How often each non-idempotent id ran, as the endpoints counted. */
    std::map<std::string, std::uint64_t> runs;
    std::map<std::string, JobEnd> jobs;
};

} // namespace Dogwoodkeel
