#pragma once

#include <LibBatch/Lane.h>

#include <optional>
#include <string>

namespace Dogwoodkeel
{

/** What the holder of a lane reads from the load report of its engine. */
struct EngineReport
{
    EngineLoad load;
    /** Whether the engine is about to leave. */
    bool isLeaving = false;
};

/** @return the report in the body of an answer to GET /load, or nothing if the body is no JSON object. */
std::optional<EngineReport> parseEngineReport(const std::string &body);

} // namespace Dogwoodkeel
