#pragma once

#include <chrono>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace Dogwoodkeel
{

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** One named value of a log line. */
struct LogField
{
    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> value;
};

/**
 * Starts writing log lines to standard output. Writing never blocks: lines over a limit per second, and those that do not
 * fit into a full pipe, are dropped, and the next line states how many.
 * @param vm name of this VM, written in every line
 * @param level lines below this level are dropped
 */
void startLog(std::string_view vm, LogLevel level);

/**
 * Writes one line as a JSON object: time, level, vm, event and the fields.
 * @param level severity
 * @param event what happened, as a constant text
 * @param fields details; never API keys or bodies
 */
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace Dogwoodkeel
