#pragma once

#include <LibBase/Clock.h>
#include <LibProxy/CallerExchange.h>
#include <LibProxy/MessageReader.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct bufferevent;

namespace Dogwoodkeel
{

/** What callers may send, and how long they may take or stay idle. */
struct CallerLimits
{
    std::size_t headBytes = 16384;
    std::size_t bodyBytes = 4194304;
    /** From a request's first byte to its head's end, and between two parts of its body. */
    std::chrono::milliseconds headTimeout{3000};
    /** How long a connection is kept without a request. */
    std::chrono::milliseconds idleTimeout{15000};
    /** What may wait to be read by a caller before its connection is closed. */
    std::size_t unreadBytes = 4194304;
};

/** Serves the requests of one connection, one after the other. */
class CallerConnection
{
public:
    /** What the owner of the connections is asked and told. */
    struct Hooks
    {
        std::function<const CallerLimits &()> limits;
        std::function<bool()> isClosing;
        std::function<void(const std::shared_ptr<CallerExchange> &)> onRequest;
        /** The connection is closed; the owner frees it later, not from inside this call. */
        std::function<void()> onClosed;
    };

    /**
     * @param stream the accepted socket, taken over
     * @param hooks shared by all connections of a server; onClosed is this connection's own
     */
    CallerConnection(const Clock &clock, bufferevent *stream, Hooks hooks);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /** @return whether a request is being read or answered. */
    bool isBusy() const;

    /** Close the connection if it has been idle, or slow to send a request, for too long. */
    void checkTimeouts();

    /** Close the connection if no request is being read or answered. */
    void closeIfIdle();

private:
    friend class CallerExchange;

    enum class State {
        AwaitingHead,
        ReadingBody,
        Answering,
        /** The last answer is being sent; what the caller still sends is dropped. */
        Closing,
        Closed,
    };

    static void onReadable(bufferevent *stream, void *self);
    static void onWritten(bufferevent *stream, void *self);
    static void onEvent(bufferevent *stream, short what, void *self);

    void sendWhole(int status, const HeaderList &headers, std::string_view body);
    void sendHead(int status, const HeaderList &headers);
    void sendPart(std::string_view data);
    void sendEnd();
    void abort();

    void advance();
    bool step();
    bool readHead();
    bool readBody();
    void refuse(int status, std::string_view reason);
    void finishAnswer();
    void write(std::string_view text);
    void startClosing();
    void close();

    const Clock &clock;
    bufferevent *stream;
    Hooks hooks;
    MessageReader reader;
    State state = State::AwaitingHead;
    std::string body;
    std::shared_ptr<CallerExchange> exchange;
    SteadyTime lastProgress;
    bool isLast = false;
    bool isChunked = true;
    bool isAdvancing = false;
    bool isShutDown = false;
};

} // namespace Dogwoodkeel
