#pragma once

#include <LibProxy/MessageReader.h>

#include <functional>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

class CallerConnection;

/** One request of a caller, and the way to answer it. After the caller has gone, answering does nothing. */
class CallerExchange
{
public:
    CallerExchange(CallerConnection &connection, MessageHead head, std::string body);
    CallerExchange(const CallerExchange &) = delete;
    CallerExchange &operator=(const CallerExchange &) = delete;

    const MessageHead &head() const;

    /** @return the whole body, without its framing. */
    const std::string &body() const;

    /** @return whether the caller closed its connection, or the answer is complete or broken off. */
    bool isOver() const;

    /** @return whether the answer's head has been sent. */
    bool isStarted() const;

    /** @param gone told once if the caller closes its connection before the answer is complete */
    void onDisconnect(std::function<void()> gone);

    /** Send a whole answer. */
    void send(int status, const HeaderList &headers, std::string_view body);

    /** Send the head of an answer whose body follows in parts of unknown number. */
    void begin(int status, const HeaderList &headers);

    /** Send the next part of the body. */
    void write(std::string_view data);

    /** Complete the body. */
    void end();

    /** Close the connection with the answer incomplete, so that the caller sees that it is. */
    void abort();

private:
    friend class CallerConnection;

    /** The connection is closed. */
    void disconnect();

    CallerConnection *connection;
    MessageHead requestHead;
    std::string requestBody;
    std::function<void()> gone;
    bool started = false;
};

} // namespace Dogwoodkeel
