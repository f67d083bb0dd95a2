#pragma once

#include <LibBase/Address.h>
#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpTypes.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

struct evhtp;
struct evhtp_connection;
struct evhtp_request;

namespace Dogwoodkeel
{

class EventLoop;

/** Limits that bound the memory and time that a caller can use. */
struct HttpLimits
{
    /** Maximum size of a request body, unless the admission of the request sets another. */
    std::uint64_t bodyBytes = 0;
    /** Maximum total size of the headers of a request. */
    std::size_t headerBytes = 65536;
    std::size_t headerCount = 100;
    /** Maximum size of response data that a caller has not read; beyond it the connection is closed. */
    std::size_t unreadBytes = 4194304;
    /** Maximum time from the first byte of a request to the end of its headers; enforced with a delay of up to as long again. */
    std::chrono::milliseconds headerTimeout{10000};
    /** Maximum time of a connection without a request, of a body without progress, and of a response that stays unread. */
    std::chrono::milliseconds idleTimeout{120000};
};

/** Callbacks for a body that is streamed. None is called after onEnd or onAborted. */
struct BodyHooks
{
    std::function<void(std::string_view data)> onData;
    /** The whole body has arrived. */
    std::function<void()> onEnd;
    /** The caller disconnected, or the body exceeded its limit and the caller received an error response. */
    std::function<void()> onAborted;
};

/** How the body of one request is received. */
struct BodyAdmission
{
    /** Maximum size of the body. */
    std::uint64_t bodyBytes = 0;
    /** If set, the body is not buffered but passed to the hooks that this function returns. */
    std::function<BodyHooks(HttpRequest head, std::shared_ptr<HttpReply> reply)> stream;
};

/** Serves HTTP/1.1 on one event loop with libevhtp. */
class HttpServer
{
public:
    /** Called with each complete request and its reply, which may be sent later. */
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

    /** Decides how the body of a request is received; called once the headers have arrived. */
    using Admit = std::function<BodyAdmission(const HttpRequest &head)>;

    using Limits = HttpLimits;

    /**
     * @param address where to listen; port 0 selects a free port
     * @param admit called for each request; if not set, limits.bodyBytes applies to all requests
     * @throws std::runtime_error if the address cannot be bound
     */
    HttpServer(EventLoop &loop, const Address &address, const Limits &limits, Handler handler, Admit admit = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** @return the address on which the server listens. */
    const Address &address() const;

    /**
     * Closes each connection after its next response, which carries `Connection: close` (RFC 9112, section 9.6). New
     * connections are still accepted.
     */
    void closeAfterAnswers();

    /** Stops accepting connections and closes each open one after its next response. */
    void drain();

    /** @return the number of accepted requests without a complete response. */
    std::size_t openRequests() const;

    /** Callbacks for libevhtp; internal. */
    struct Callbacks;

private:
    struct Connection;

    /** Error response that is sent before the request body has arrived. */
    struct HeadRefusal
    {
        int status = 0;
        std::string_view reason;
        std::string_view message;
    };

    std::shared_ptr<HttpReply> makeReply(Connection &connection, evhtp_request *request);
    void refuse(Connection &connection, evhtp_request *request, const HeadRefusal &refusal);
    void admitBody(Connection &connection, evhtp_request *request);
    static void abortBody(Connection &connection);
    void closeLater(evhtp_connection *handle, std::uint64_t number);
    void closeWhenSent(evhtp_connection *handle, std::uint64_t number);
    void checkConnections();

    EventLoop &loop;
    Limits limits;
    Handler handler;
    Admit admit;
    evhtp *server = nullptr;
    Address listenAddress;
    bool isDraining = false;
    bool isClosing = false;
    std::uint64_t checkTimer = 0;
    std::uint64_t lastConnection = 0;
    std::unordered_map<evhtp_connection *, std::unique_ptr<Connection>> connections;
    std::shared_ptr<std::size_t> open = std::make_shared<std::size_t>(0);
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
