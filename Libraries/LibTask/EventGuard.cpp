#include <LibTask/EventGuard.h>

#include <LibBase/Log.h>

#include <atomic>
#include <string>

namespace Dogwoodkeel
{

namespace
{

std::atomic<std::uint64_t> failedEvents{0};

} // namespace

void recordFailedEvent(std::string_view handlerName, std::string_view error) noexcept
{
    ++failedEvents;
    try {
        log(LogLevel::Error, "event given up", {{"place", std::string(handlerName)}, {"error", std::string(error)}});
    } catch (const std::exception &) {
        // Out of memory for the log line; the event is still counted.
    }
}

std::uint64_t failedEventCount() noexcept
{
    return failedEvents;
}

} // namespace Dogwoodkeel
