#include <LibBase/Log.h>

#include <LibBase/LogRateLimiter.h>
#include <LibBase/SystemClock.h>

#include <nlohmann/json.hpp>
#include <poll.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <mutex>

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
        auto created = spdlog::stdout_logger_mt("dogwoodkeel");
        created->set_level(spdlog::level::off);
        created->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%f%z","level":"%l",%v})");
        return created;
    }();
    return *instance;
}

/** A pipe that is reported as writable accepts PIPE_BUF bytes (on Linux) without blocking; the limit leaves capacity for what
 * the pattern adds. */
constexpr std::size_t maxLineSize = 3900;

/** Rate limiter of the process and its mutex; tasks log concurrently. */
struct SharedRateLimiter
{
    std::mutex mutex;
    SystemClock clock;
    LogRateLimiter limiter{this->clock, {}};
};

SharedRateLimiter &sharedRateLimiter()
{
    static SharedRateLimiter instance;
    return instance;
}

/** @return whether standard output accepts a line without blocking: a reader that stops reading must not block the node. */
bool isWritable()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

/** @return whether a line may be written; sets the number of lines dropped before it and resets the count. */
bool admit(LogLevel level, std::uint64_t &dropped)
{
    SharedRateLimiter &shared = sharedRateLimiter();
    const std::scoped_lock lock(shared.mutex);
    const bool isUrgent = level == LogLevel::Warning || level == LogLevel::Error;
    if (!shared.limiter.admit(isUrgent ? LogRateLimiter::Priority::Urgent : LogRateLimiter::Priority::Ordinary)) {
        return false;
    }
    if (!isWritable()) {
        shared.limiter.recordBlocked();
        return false;
    }
    dropped = shared.limiter.takeDropped();
    return true;
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
    std::uint64_t dropped = 0;
    if (!admit(level, dropped)) {
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
    if (dropped > 0) {
        line["lines_left_out_before"] = dropped;
    }
    // NOTE: The pattern opens the object with time and level, so the object's own opening brace is omitted,
    // as is its closing one, which the pattern writes.
    std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > maxLineSize) {
        text = nlohmann::ordered_json{{"vm", vmOfProcess()}, {"event", event}, {"too_long", text.size()}}.dump();
    }
    logger().log(levelOf(level), "{}", std::string_view(text).substr(1, text.size() - 2));
}

} // namespace Dogwoodkeel
