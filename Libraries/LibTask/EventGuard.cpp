#include <LibTask/EventGuard.h>

#include <LibBase/Log.h>

#include <atomic>
#include <string>

namespace Dogwoodkeel
{

namespace
{

std::atomic<std::uint64_t> givenUp{0};

} // namespace

void noteGivenUpEvent(std::string_view handlerName, std::string_view error) noexcept
{
    ++givenUp;
    try {
        log(LogLevel::Error, "event given up", {{"place", std::string(handlerName)}, {"error", std::string(error)}});
    } catch (const std::exception &) {
        // Out of memory for the log line; the event is still counted.
    }
}

std::uint64_t eventsGivenUp() noexcept
{
    return givenUp;
}

} // namespace Dogwoodkeel
