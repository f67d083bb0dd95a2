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
 * Start writing log lines to standard output. Writing never waits: lines over a bound a second, and those that a full pipe
 * would not take, are left out, and the next line tells how many.
 * @param vm name of this VM, part of every line
 * @param level lines below it are left out
 */
void startLog(std::string_view vm, LogLevel level);

/**
 * Write one line as a JSON object: time, level, vm, event and the fields.
 * @param level how grave it is
 * @param event what happened, in words that stay the same from line to line
 * @param fields the particulars; never keys or bodies
 */
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace Dogwoodkeel
