#pragma once

#include <LibHttp/HttpTypes.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** Whether a refused request ran. */
enum class RunState {
    /** Proved: it was never sent to an endpoint, or the endpoint refused it before running. */
    NotRun,
    /** It may have run. */
    Unknown,
};

/** Why a caller is refused. */
struct Refusal
{
    int status = 0;
    /** A fixed word, for programs and counters. */
    std::string_view reason;
    /** For people. */
    std::string message;
    RunState run = RunState::NotRun;
    /** When to come back. */
    std::optional<std::chrono::seconds> retryAfter;
};

/** @return the response that tells a caller of a refusal, with its run member. */
HttpResponse refusalResponse(const Refusal &refusal);

/** @return the answer of GET /readyz while the node is not ready. @param waitingFor what it waits for */
HttpResponse notReadyResponse(const std::string &waitingFor);

/** @return a response with a JSON body. */
HttpResponse jsonResponse(int status, std::string body);

} // namespace Dogwoodkeel
