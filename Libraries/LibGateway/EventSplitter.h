#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** Maximum size of an event in bytes. Events of replicas hold a few tokens; a larger one is invalid and would exhaust memory. */
inline constexpr std::size_t maxStreamEventBytes = 1'048'576;

/** One complete server-sent event (HTML Living Standard, section 9.2). */
struct StreamEvent
{
    /** The event as received, including the empty line that ends it. */
    std::string text;
    /** The id of the event, if it is a number. */
    std::optional<std::uint64_t> id;
    /** The data lines of the event, joined by line feeds. */
    std::string data;
};

/** Splits a stream of server-sent events into complete events, so that each is forwarded or dropped as a whole. */
class EventSplitter
{
public:
    /** @param maxEventBytes a longer event makes the stream invalid */
    explicit EventSplitter(std::size_t maxEventBytes);

    /** @return the events that these bytes complete. */
    std::vector<StreamEvent> feed(std::string_view bytes);

    /** @return whether the buffer holds bytes of an incomplete event. */
    bool hasRemainder() const;

    /** @return the memory of the buffer in bytes. */
    std::size_t memory() const;

    /** @return whether an incomplete event exceeded the maximum size. */
    bool isBroken() const;

private:
    std::size_t maxEventBytes;
    std::string remainder;
    bool broken = false;
};

} // namespace Dogwoodkeel
