#include <LibBase/Log.h>

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace Dogwoodkeel
{

namespace
{

std::string &vmOfProcess()
{
    static std::string vm;
    return vm;
}

spdlog::level::level_enum levelOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::err;
}

spdlog::logger &logger()
{
    static const std::shared_ptr<spdlog::logger> instance = [] {
        auto created = spdlog::stderr_logger_mt("dogwoodkeel");
        created->set_level(spdlog::level::off);
        created->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%f%z","level":"%l",%v})");
        return created;
    }();
    return *instance;
}

} // namespace

void startLog(std::string_view vm, LogLevel level)
{
    vmOfProcess() = vm;
    logger().set_level(levelOf(level));
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!logger().should_log(levelOf(level))) {
        return;
    }
    nlohmann::ordered_json line;
    line["vm"] = vmOfProcess();
    line["event"] = event;
    for (const LogField &field : fields) {
        std::visit(
            [&](const auto &value) {
                line[std::string(field.name)] = value;
            },
            field.value);
    }
    // NOTE: The pattern opens the object with time and level, so the object's own opening brace is left off,
    // as is its closing one, which the pattern writes.
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    logger().log(levelOf(level), "{}", std::string_view(text).substr(1, text.size() - 2));
}

} // namespace Dogwoodkeel
