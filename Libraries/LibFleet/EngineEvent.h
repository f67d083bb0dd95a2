#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** What one event of an engine's stream, or a whole answer of it, says in its first choice. */
struct EngineEvent
{
    /** Of "text", or of "content" in "delta" or "message". */
    std::string text;
    /** Empty but in the last event. */
    std::string finishReason;

    /**
     * Read an event without building its JSON in memory: this is done for every token.
     * @param data the event's JSON
     * @return what it says, or nothing if it is no JSON object with a choice
     */
    static std::optional<EngineEvent> parse(std::string_view data);
};

} // namespace Dogwoodkeel
