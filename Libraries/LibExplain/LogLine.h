#pragma once

#include <LibBase/Clock.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/** A line that a node has logged. */
struct LogLine
{
    WallTime time{};
    std::string vm;
    std::string event;
    /** Names and values of the particulars, in the line's order. */
    std::vector<std::pair<std::string, std::string>> fields;

    /** @return the value of a field; empty if there is none. */
    std::string_view field(std::string_view name) const;

    /** @return whether any field has this value. */
    bool mentions(std::string_view value) const;

    /** @return the particulars as name=value, separated by spaces. */
    std::string fieldsText() const;
};

/**
 * Read a line of a log. What a collector puts before the JSON object is skipped.
 * @return nothing for a line that no node has logged
 */
std::optional<LogLine> parseLogLine(std::string_view text);

/** @return the time of day in UTC with milliseconds. */
std::string timeOfDay(WallTime time);

} // namespace Dogwoodkeel
