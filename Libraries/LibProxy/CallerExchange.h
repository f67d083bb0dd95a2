#pragma once

#include <LibProxy/MessageReader.h>

#include <functional>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

class CallerConnection;

/** One request of a caller and its response. Once the caller has disconnected, sending has no effect. */
class CallerExchange
{
public:
    CallerExchange(CallerConnection &connection, MessageHead head, std::string body);
    CallerExchange(const CallerExchange &) = delete;
    CallerExchange &operator=(const CallerExchange &) = delete;

    const MessageHead &head() const;

    /** @return the complete request body, without its framing. */
    const std::string &body() const;

    /** @return whether the caller has disconnected, or the response is complete or aborted. */
    bool isOver() const;

    /** @return whether the response head has been sent. */
    bool isStarted() const;

    /** @param handler called once if the caller disconnects before the response is complete */
    void onDisconnect(std::function<void()> handler);

    /**
     * @param handler called with true when the caller has too much unread data, so that no more is to be written, and with
     *        false when it has read enough. Both may be called several times before the response is complete
     */
    void onPause(std::function<void(bool)> handler);

    /** @return whether the caller has too much unread data at present. */
    bool isPaused() const;

    /** Sends a complete response. */
    void send(int status, const HeaderList &headers, std::string_view body);

    /** Sends the head of a response whose body follows in chunks. */
    void begin(int status, const HeaderList &headers);

    /** Sends the next chunk of the body. */
    void write(std::string_view data);

    /** Ends the body. */
    void end();

    /** Closes the connection without ending the body, so that the caller detects an incomplete response. */
    void abort();

private:
    friend class CallerConnection;

    /** Detaches the exchange from its closed connection and calls the disconnect handler. */
    void disconnect();

    void notifyPause(bool isPaused);
    void clearHandlers();

    CallerConnection *connection;
    MessageHead requestHead;
    std::string requestBody;
    std::function<void()> disconnectHandler;
    std::function<void(bool)> pauseHandler;
    bool hasStarted = false;
};

} // namespace Dogwoodkeel
