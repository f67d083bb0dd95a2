#pragma once

#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>

namespace Dogwoodkeel
{

/** Log and count an event whose handler ended by an exception. */
void noteGivenUpEvent(std::string_view place, std::string_view error) noexcept;

/** @return events of this process whose handlers ended by an exception. */
std::uint64_t eventsGivenUp() noexcept;

/**
 * Run the handler of one event, and give up that event alone if it throws.
 *
 * An exception that leaves a handler would pass through the event library's frames and end the process, and with it all that
 * the node serves; and what throws at one node most likely throws at the next, to which the callers go. Who owns what the event
 * belongs to (a connection, say) closes it, so that nothing goes on from a state that was half changed.
 * @param place names the handler in the log
 * @return whether it came to its end
 */
template <typename Handler>
bool runGuarded(std::string_view place, Handler &&handler) noexcept
{
    try {
        std::forward<Handler>(handler)();
        return true;
    } catch (const std::exception &error) {
        noteGivenUpEvent(place, error.what());
    } catch (...) {
        noteGivenUpEvent(place, "not a standard exception");
    }
    return false;
}

} // namespace Dogwoodkeel
