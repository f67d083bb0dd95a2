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
    /** @param limit largest event taken, in bytes: a longer one makes the stream broken */
    explicit ServerSentEvents(std::size_t limit);

    /**
     * @param bytes what arrived next
     * @return the data of the events that are now whole
     */
    std::vector<std::string> feed(std::string_view bytes);

    bool isBroken() const;

    /** @return an event that carries the data. */
    static std::string format(std::string_view data);

private:
    std::size_t limit;
    std::string buffer;
    bool broken = false;
};

} // namespace Dogwoodkeel
