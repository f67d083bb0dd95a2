#pragma once

#include <LibBase/Clock.h>
#include <LibProxy/CallerExchange.h>
#include <LibProxy/MessageReader.h>
#include <LibProxy/UnreadDataBudget.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace Dogwoodkeel
{

/** Size and time limits for the connections of callers. */
struct CallerLimits
{
    /** Maximum size of a request's start line and headers. */
    std::size_t headBytes = 16384;
    /** Maximum size of a request body. */
    std::size_t bodyBytes = 4194304;
    /** Maximum time from the first byte of a request to the end of its head, and between two parts of its body. */
    std::chrono::milliseconds headTimeout{3000};
    /** How long a connection without a request stays open. */
    std::chrono::milliseconds idleTimeout{15000};
    /** Maximum size of unsent response data; a caller that reads too slowly and exceeds it is disconnected. */
    std::size_t unreadBytes = 4194304;
    /** From when on a caller counts as too slow. */
    UnreadDataLimits unread;
};

/** Serves the requests of one connection, one at a time. */
class CallerConnection
{
public:
    /** Callbacks to the server that owns the connection. */
    struct Hooks
    {
        std::function<const CallerLimits &()> limits;
        std::function<bool()> isClosing;
        std::function<void(const std::shared_ptr<CallerExchange> &)> onRequest;
        /** Called when the size of the unread response data has changed; see UnreadDataBudget::record(). */
        std::function<void(std::size_t bytes, bool isStreaming)> onUnread;
        /** Called when the connection is closed. The owner must not destroy it within this call. */
        std::function<void()> onClosed;
    };

    /**
     * @param stream the accepted socket; the connection takes ownership
     * @param hooks shared by all connections of a server, except onClosed, which belongs to this connection
     */
    CallerConnection(const Clock &clock, bufferevent *stream, Hooks hooks);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /** @return whether a request is being read or answered, or an answer is not yet sent whole. */
    bool isBusy() const;

    /** Closes the connection if it has exceeded one of the time limits. */
    void checkTimeouts();

    /**
     * Pauses or resumes the production of response data: notifies the current exchange, and reads no further request during
     * a pause.
     */
    void setPaused(bool isPaused);

    /** @return whether the production of response data is paused. */
    bool isPaused() const;

    /** Answers the current request if its answer has not begun. */
    void answerOpenRequest(int status);

    /** Closes the connection and discards unread data. */
    void close();

    /** Closes the connection unless it is busy. */
    void closeIfIdle();

private:
    friend class CallerExchange;

    enum class State {
        AwaitingHead,
        ReadingBody,
        Answering,
        /** The last response is being sent; further input is discarded. */
        Closing,
        Closed,
    };

    static void onReadable(bufferevent *stream, void *self);
    static void onWritten(bufferevent *stream, void *self);
    static void onEvent(bufferevent *stream, short what, void *self);
    static void onOutput(evbuffer *output, const evbuffer_cb_info *change, void *self);

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
    void reportUnread();
    bool hasInput() const;
    bool hasOutput() const;
    /** @return whether no further request is to be read, because the caller has too much unread data. */
    bool isHeldBack() const;

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
    bool hasPause = false;
};

} // namespace Dogwoodkeel
