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

/** What a server takes at most, so that no caller can make it hold more. */
struct HttpLimits
{
    /** Largest body of a request that is not admitted otherwise. */
    std::uint64_t bodyBytes = 0;
    /** All headers of a request together. */
    std::size_t headerBytes = 65536;
    std::size_t headerCount = 100;
    /** What may wait to be read by a caller before its connection is closed. */
    std::size_t unreadBytes = 4194304;
    /** How long a request's headers may take, from its first byte; found with a delay of up to the same time. */
    std::chrono::milliseconds headerTimeout{10000};
    /** How long a connection may be idle, a body may make no progress, and an answer may stay unread. */
    std::chrono::milliseconds idleTimeout{120000};
};

/** Gets a body as it arrives. Nothing more comes after onEnd or onAborted. */
struct BodyHooks
{
    std::function<void(std::string_view data)> onData;
    /** The whole body has come. */
    std::function<void()> onEnd;
    /** The caller hung up, or the body was longer than admitted; the caller has been told. */
    std::function<void()> onAborted;
};

/** How one request's body is taken. */
struct BodyAdmission
{
    /** Largest body taken. */
    std::uint64_t bodyBytes = 0;
    /** If set, the body is not collected: it goes to the hooks that this returns. */
    std::function<BodyHooks(HttpRequest head, std::shared_ptr<HttpReply> reply)> stream;
};

/** Serves HTTP/1.1 on one event loop, by libevhtp. */
class HttpServer
{
public:
    /** Gets each whole request, and the handle to answer it by, now or later. */
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

    /** Decides, when a request's headers are in, how its body is taken. */
    using Admit = std::function<BodyAdmission(const HttpRequest &head)>;

    using Limits = HttpLimits;

    /**
     * @param address where to listen; port 0 takes a free one
     * @param admit if set, asked for each request; else limits.bodyBytes holds for all
     * @throws std::runtime_error if it cannot listen there
     */
    HttpServer(EventLoop &loop, const Address &address, const Limits &limits, Handler handler, Admit admit = {});
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
    struct Connection;

    /** Why a request is answered before its body has come. */
    struct HeadRefusal
    {
        int status = 0;
        std::string_view reason;
        std::string_view message;
    };

    std::shared_ptr<HttpReply> makeReply(Connection &connection, evhtp_request *request);
    void refuse(Connection &connection, evhtp_request *request, const HeadRefusal &refusal);
    void admitBody(Connection &connection, evhtp_request *request);
    static void lose(Connection &connection);
    void closeLater(evhtp_connection *handle, std::uint64_t number);
    void closeWhenSent(evhtp_connection *handle, std::uint64_t number);
    void watch();

    EventLoop &loop;
    Limits limits;
    Handler handler;
    Admit admit;
    evhtp *server = nullptr;
    Address listenAddress;
    bool draining = false;
    bool closing = false;
    std::uint64_t watchTimer = 0;
    std::uint64_t lastConnection = 0;
    std::unordered_map<evhtp_connection *, std::unique_ptr<Connection>> connections;
    std::shared_ptr<std::size_t> open = std::make_shared<std::size_t>(0);
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
