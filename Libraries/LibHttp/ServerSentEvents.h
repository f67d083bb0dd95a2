#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** Splits a stream of server-sent events (HTML Living Standard, section 9.2) into the data of each event. */
class ServerSentEvents
{
public:
    /** @param limit maximum size of an event in bytes; a larger one makes the stream invalid */
    explicit ServerSentEvents(std::size_t limit);

    /**
     * @param bytes the next part of the stream
     * @return the data of the events that are now complete
     */
    std::vector<std::string> feed(std::string_view bytes);

    /** @return whether an event exceeded the limit. */
    bool isBroken() const;

    /** @return an event that carries the data. */
    static std::string format(std::string_view data);

private:
    std::size_t limit;
    std::string buffer;
    bool broken = false;
};

} // namespace Dogwoodkeel
