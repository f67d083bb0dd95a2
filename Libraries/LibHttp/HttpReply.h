#pragma once

#include <LibHttp/HttpTypes.h>

#include <cstddef>
#include <memory>
#include <string_view>

struct evhtp_request;

namespace Dogwoodkeel
{

/**
 * The answer to one request. It may be given long after the request came, and is dropped if the caller has hung up
 * by then. Used on the server's loop only.
 */
class HttpReply
{
public:
    /**
     * @param request libevhtp's request, paused
     * @param open counts the requests that are not yet answered
     * @param isLast whether the connection is closed after this answer
     */
    HttpReply(evhtp_request *request, std::shared_ptr<std::size_t> open, bool isLast);
    ~HttpReply();
    HttpReply(const HttpReply &) = delete;
    HttpReply &operator=(const HttpReply &) = delete;

    /** Send a whole response. */
    void send(const HttpResponse &response);

    /** Start a response whose body comes in parts (chunked, RFC 9112 section 7.1). */
    void start(int status, const HttpHeaders &headers);

    /** @param data the next part of the body */
    void write(std::string_view data);

    /** End the body. */
    void finish();

    /** @return whether the caller is still connected, as far as is known. */
    bool isConnected() const;

    /** @return whether send() or start() was called. */
    bool isStarted() const;

    /** The connection is gone: what is sent from now on is dropped. */
    void disconnect();

private:
    void addHeaders(const HttpHeaders &headers);
    void complete();

    evhtp_request *request;
    std::shared_ptr<std::size_t> open;
    bool isLast;
    bool started = false;
    bool completed = false;
};

} // namespace Dogwoodkeel
