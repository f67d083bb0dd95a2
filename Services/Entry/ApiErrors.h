#pragma once

#include <LibHttp/HttpTypes.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** Whether a refused request was run by an endpoint. */
enum class RunState {
    /** Certain not to have run: it was never sent to an endpoint, or the endpoint refused it before running it. */
    NotRun,
    /** It may have run. */
    Unknown,
};

/** Why a request is refused. */
struct Refusal
{
    int status = 0;
    /** Reason from a fixed set of words, for programs and counters. */
    std::string_view reason;
    /** Human-readable explanation. */
    std::string message;
    RunState run = RunState::NotRun;
    /** Delay after which the caller may retry. */
    std::optional<std::chrono::seconds> retryAfter;
};

/** @return the error response for a refusal; its JSON states in "run" whether the request ran. */
HttpResponse refusalResponse(const Refusal &refusal);

/** @return the response to GET /readyz while the node is not ready. @param waitingFor what the node waits for */
HttpResponse notReadyResponse(const std::string &waitingFor);

/** @return a response with a JSON body. */
HttpResponse jsonResponse(int status, std::string body);

} // namespace Dogwoodkeel
