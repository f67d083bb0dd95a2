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
 * The response to one request. It may be sent long after the request arrived, or before its whole body has arrived, and is
 * discarded if the caller has disconnected. Used on the server's event loop only.
 */
class HttpReply
{
public:
    /** Settings of one reply, made by the server. */
    struct Options
    {
        /** Whether the connection is closed after this response. */
        bool isLast = false;
        /** Whether the request body has not arrived completely. */
        bool isBodyPending = false;
        /** Maximum size of response data that the caller has not read; 0 means no limit. */
        std::size_t unreadBytes = 0;
        /** Closes the connection after the current callback. */
        std::function<void()> close;
    };

    /**
     * @param request the request of libevhtp
     * @param open number of requests without a complete response; shared by all replies of a server
     */
    HttpReply(evhtp_request *request, std::shared_ptr<std::size_t> open, Options options);
    ~HttpReply();
    HttpReply(const HttpReply &) = delete;
    HttpReply &operator=(const HttpReply &) = delete;

    /** Sends a complete response. */
    void send(const HttpResponse &response);

    /** Starts a response whose body follows in chunks (RFC 9112, section 7.1). */
    void start(int status, const HttpHeaders &headers);

    /**
     * Sends the next chunk of the body. A caller that leaves too much unread is disconnected. The response is still
     * produced, so that the caller can read it after it reconnects.
     */
    void write(std::string_view data);

    /** Ends the body. */
    void finish();

    /** Pauses reading of the request body, because its consumer is slow. */
    void pauseBody();

    /** Resumes reading of the request body. */
    void resumeBody();

    /** @return whether no disconnect of the caller has been detected. */
    bool isConnected() const;

    /** @return whether send() or start() was called. */
    bool isStarted() const;

    /** Detaches the reply from its closed connection; further output is discarded. Called by the server. */
    void disconnect();

    /** Records that the whole request body has arrived. Called by the server. */
    void endBody();

private:
    void addHeaders(const HttpHeaders &headers);
    void sendEarly(const HttpResponse &response);
    void complete();

    evhtp_request *request;
    std::shared_ptr<std::size_t> open;
    Options options;
    bool hasStarted = false;
    bool isCompleted = false;
    bool isPaused = false;
};

} // namespace Dogwoodkeel
