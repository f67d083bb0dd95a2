#pragma once

#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>

namespace Dogwoodkeel
{

/** Logs and counts an event whose handler threw an exception. */
void recordFailedEvent(std::string_view handlerName, std::string_view error) noexcept;

/** @return the number of events in this process whose handlers threw an exception. */
std::uint64_t failedEventCount() noexcept;

/**
 * Runs the handler of one event. If it throws, only that event is abandoned.
 *
 * An exception that leaves a handler would pass through the event library's stack frames and terminate the process with
 * all requests it serves; the same event would most likely terminate the next node, to which the callers fail over. The owner of
 * the object that the event belongs to (for example a connection) closes it, so that nothing continues from a partly changed
 * state.
 * @param handlerName identifies the handler in the log
 * @return whether the handler completed without an exception
 */
template <typename Handler>
bool runGuarded(std::string_view handlerName, Handler &&handler) noexcept
{
    try {
        std::forward<Handler>(handler)();
        return true;
    } catch (const std::exception &error) {
        recordFailedEvent(handlerName, error.what());
    } catch (...) {
        recordFailedEvent(handlerName, "not a standard exception");
    }
    return false;
}

} // namespace Dogwoodkeel
