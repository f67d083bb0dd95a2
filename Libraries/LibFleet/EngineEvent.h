#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** Content of the first choice of a streamed event, or of a complete response, of an inference engine. */
struct EngineEvent
{
    /** Value of "text", or of "content" in "delta" or "message". */
    std::string text;
    /** Empty in all events but the last. */
    std::string finishReason;

    /**
     * Parses an event without building a JSON document in memory, because it runs for every token.
     * @param data the event's JSON
     * @return the content, or nothing if the data is not a JSON object with a choice
     */
    static std::optional<EngineEvent> parse(std::string_view data);
};

} // namespace Dogwoodkeel
