#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** What a caller requested. */
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
    /** An answer that was reported as durable. */
    Answered,
    /** An answer that was reported as held until the platform is available again. */
    Pending,
    /** Refused, with the statement that it did not run. */
    NotRun,
    /** Refused without that statement. */
    Refused,
    /** Refused because it may have run once and will not run again. */
    OutcomeUnknown,
    /** The id was reported as unknown. */
    Absent,
    /** No complete answer: the caller hung up, the connection was lost, or the call timed out. */
    Lost,
};

/** One call as observed by its caller. Times are relative to the start of the run. */
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

/** State of a job after all faults had ended. */
struct FinalJobState
{
    /** The expected text of each item. */
    std::vector<std::string> expected;
    /** The text of each item that has a result; one entry for each reading of the results, at any node. */
    std::vector<std::map<std::uint32_t, std::string>> readings;
    /** Number of items with a result at two moments after all faults had ended. */
    std::uint32_t doneFirst = 0;
    std::uint32_t doneLater = 0;
};

/** Everything observed in one run. */
struct History
{
    std::vector<HistoryCall> calls;
    /** The complete answer that each completion must receive. */
    std::map<std::string, std::string> expected;
    /** How often each non-idempotent id ran, as counted by the endpoints. */
    std::map<std::string, std::uint64_t> runs;
    std::map<std::string, FinalJobState> jobs;
};

} // namespace Dogwoodkeel
