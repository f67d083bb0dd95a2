#pragma once

#include <LibBase/Address.h>
#include <LibHttp/HttpTypes.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

struct evhtp;

namespace Dogwoodkeel
{

class EventLoop;
class HttpReply;

/** Serves HTTP/1.1 on one event loop, by libevhtp. */
class HttpServer
{
public:
    /** Gets each whole request, and the handle to answer it by, now or later. */
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

    /** What a request may be at most. */
    struct Limits
    {
        std::uint64_t bodyBytes = 0;
    };

    /**
     * @param address where to listen; port 0 takes a free one
     * @throws std::runtime_error if it cannot listen there
     */
    HttpServer(EventLoop &loop, const Address &address, Limits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** @return where it listens. */
    const Address &address() const;

    /**
     * Close each connection after its next answer, and say so in it (Connection: close, RFC 9112 section 9.6). New
     * connections are taken as before.
     */
    void closeAfterAnswers();

    /** Take no new connections, and close each open one after its next answer. */
    void drain();

    /** @return requests that were taken and not yet fully answered. */
    std::size_t openRequests() const;

    /** What libevhtp calls back; not for use elsewhere. */
    struct Callbacks;

private:
    EventLoop &loop;
    Limits limits;
    Handler handler;
    evhtp *server = nullptr;
    Address listenAddress;
    bool draining = false;
    bool closing = false;
    std::shared_ptr<std::size_t> open = std::make_shared<std::size_t>(0);
};

} // namespace Dogwoodkeel
