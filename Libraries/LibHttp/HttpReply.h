#pragma once

#include <LibHttp/HttpTypes.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

struct evhtp_request;

namespace Dogwoodkeel
{

/**
 * The answer to one request. It may be given long after the request came, or before its whole body has come, and is
 * dropped if the caller has hung up by then. Used on the server's loop only.
 */
class HttpReply
{
public:
    /** What the server sets for one reply. */
    struct Options
    {
        /** Whether the connection is closed after this answer. */
        bool isLast = false;
        /** Whether the request's body is still to come. */
        bool isBodyPending = false;
        /** What may wait to be read by the caller. */
        std::size_t unreadBytes = 0;
        /** Closes the connection, after the current callback. */
        std::function<void()> close;
    };

    /**
     * @param request libevhtp's request
     * @param open counts the requests that are not yet answered
     */
    HttpReply(evhtp_request *request, std::shared_ptr<std::size_t> open, Options options);
    ~HttpReply();
    HttpReply(const HttpReply &) = delete;
    HttpReply &operator=(const HttpReply &) = delete;

    /** Send a whole response. */
    void send(const HttpResponse &response);

    /** Start a response whose body comes in parts (chunked, RFC 9112 section 7.1). */
    void start(int status, const HttpHeaders &headers);

    /**
     * Send the next part of the body. A caller that leaves too much unread loses its connection: the answer goes on
     * without it, and is there to be read when it comes back.
     */
    void write(std::string_view data);

    /** End the body. */
    void finish();

    /** Read no more of the request's body for now: what takes it is slow. */
    void pauseBody();

    /** Go on reading the body. */
    void resumeBody();

    /** @return whether the caller is still connected, as far as is known. */
    bool isConnected() const;

    /** @return whether send() or start() was called. */
    bool isStarted() const;

    /** The connection is gone: what is sent from now on is dropped. Called by the server. */
    void disconnect();

    /** The whole body has come. Called by the server. */
    void endBody();

private:
    void addHeaders(const HttpHeaders &headers);
    void sendEarly(const HttpResponse &response);
    void complete();

    evhtp_request *request;
    std::shared_ptr<std::size_t> open;
    Options options;
    bool started = false;
    bool completed = false;
    bool paused = false;
};

} // namespace Dogwoodkeel
