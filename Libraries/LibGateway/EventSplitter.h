#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** Events of replicas hold a few tokens; one of so many bytes is no event, and must not fill the node's memory. */
inline constexpr std::size_t largestStreamEvent = 1'048'576;

/** One whole event of a stream (HTML Living Standard, section 9.2). */
struct StreamEvent
{
    /** The event as it came, with the empty line that ends it. */
    std::string text;
    /** Its id, if it has one that is a number. */
    std::optional<std::uint64_t> id;
    /** Its data lines, joined by line feeds. */
    std::string data;
};

/** Splits a stream of server-sent events into whole events, which can then be passed on or dropped as a whole. */
class EventSplitter
{
public:
    /** @param largestEvent in bytes; a longer one makes the stream broken */
    explicit EventSplitter(std::size_t largestEvent);

    /** @return the events that are whole with these bytes. */
    std::vector<StreamEvent> feed(std::string_view bytes);

    /** @return whether bytes of an event that is not whole are held. */
    bool hasRest() const;

    bool isBroken() const;

private:
    std::size_t largestEvent;
    std::string rest;
    bool broken = false;
};

} // namespace Dogwoodkeel
