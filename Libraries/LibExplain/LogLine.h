#pragma once

#include <LibBase/Clock.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/** A log line of a node. */
struct LogLine
{
    WallTime time{};
    std::string vm;
    std::string event;
    /** Names and values of the other fields, in the line's order. */
    std::vector<std::pair<std::string, std::string>> fields;

    /** @return the value of a field; empty if there is none. */
    std::string_view field(std::string_view name) const;

    /** @return whether any field has this value. */
    bool mentions(std::string_view value) const;

    /** @return the fields as name=value, separated by spaces. */
    std::string fieldsText() const;
};

/**
 * Parses a log line. A prefix that a log collector puts before the JSON object is skipped.
 * @return nothing if the line is not a log line of a node
 */
std::optional<LogLine> parseLogLine(std::string_view text);

/** @return the time of day in UTC with milliseconds. */
std::string timeOfDay(WallTime time);

} // namespace Dogwoodkeel
