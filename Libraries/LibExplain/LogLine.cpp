#include <LibExplain/LogLine.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace Dogwoodkeel
{

namespace
{

using Json = nlohmann::ordered_json;

/** Parses a time in the format of the log: 2026-01-02T03:04:05.123456+00:00, always in UTC. */
std::optional<WallTime> parseTime(const std::string &text)
{
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    double second = 0;
    if (std::sscanf(text.c_str(), "%d-%u-%uT%d:%d:%lf", &year, &month, &day, &hour, &minute, &second) != 6) {
        return std::nullopt;
    }
    const std::chrono::year_month_day date{std::chrono::year(year), std::chrono::month(month), std::chrono::day(day)};
    if (!date.ok()) {
        return std::nullopt;
    }
    const auto sinceMidnight = std::chrono::hours(hour) + std::chrono::minutes(minute) + std::chrono::duration<double>(second);
    return WallTime(std::chrono::sys_days(date)) + std::chrono::round<WallTime::duration>(sinceMidnight);
}

std::string textOf(const Json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace

std::string_view LogLine::field(std::string_view name) const
{
    const auto found = std::ranges::find(this->fields, name, &std::pair<std::string, std::string>::first);
    return found != this->fields.end() ? std::string_view(found->second) : std::string_view();
}

bool LogLine::mentions(std::string_view value) const
{
    return std::ranges::find(this->fields, value, &std::pair<std::string, std::string>::second) != this->fields.end();
}

std::string LogLine::fieldsText() const
{
    std::string text;
    for (const auto &[name, value] : this->fields) {
        const bool hasSpaces = value.find(' ') != std::string::npos;
        text += text.empty() ? "" : " ";
        text += name + '=' + (hasSpaces ? '"' + value + '"' : value);
    }
    return text;
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
    const std::size_t start = text.find('{');
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const Json object = Json::parse(text.substr(start), nullptr, false);
    const bool isLine = object.is_object() && object.contains("time") && object.contains("vm") && object.contains("event");
    const std::optional<WallTime> time = isLine ? parseTime(textOf(object["time"])) : std::nullopt;
    if (!time) {
        return std::nullopt;
    }
    LogLine line;
    line.time = *time;
    line.vm = textOf(object["vm"]);
    line.event = textOf(object["event"]);
    for (const auto &[name, value] : object.items()) {
        if (name != "time" && name != "vm" && name != "event" && name != "level") {
            line.fields.emplace_back(name, textOf(value));
        }
    }
    return line;
}

std::string timeOfDay(WallTime time)
{
    const auto sinceMidnight = time - std::chrono::floor<std::chrono::days>(time);
    const std::chrono::hh_mm_ss parts(std::chrono::floor<std::chrono::milliseconds>(sinceMidnight));
    char text[32];
    std::snprintf(text,
                  sizeof(text),
                  "%02d:%02d:%02d.%03d",
                  static_cast<int>(parts.hours().count()),
                  static_cast<int>(parts.minutes().count()),
                  static_cast<int>(parts.seconds().count()),
                  static_cast<int>(parts.subseconds().count()));
    return text;
}

} // namespace Dogwoodkeel
