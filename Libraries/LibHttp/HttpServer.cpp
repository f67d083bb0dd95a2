#include <LibHttp/HttpServer.h>

#include <LibBase/Numbers.h>
#include <LibHttp/HttpReply.h>
#include <LibTask/EventGuard.h>
#include <LibTask/EventLoop.h>
#include <LibTask/Sockets.h>

#include <event2/listener.h>
#include <evhtp/evhtp.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr int listenBacklog = 1024;
constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusHeadersTooLarge = 431;
/** Number of checks that may find incomplete headers or a refused body still arriving before the connection is closed. */
constexpr int checksUntilClosed = 2;
constexpr std::chrono::milliseconds sendCheckInterval{20};
/** Headers up to this multiple of the limits are still read, so that the caller can receive an error response. */
constexpr std::size_t excessFactor = 4;

int addHeader(evhtp_kv_t *header, void *headers)
{
    static_cast<HttpHeaders *>(headers)->insert_or_assign(std::string(header->key, header->klen),
                                                          std::string(header->val, header->vlen));
    return 0;
}

std::string textOrEmpty(const void *text)
{
    return text != nullptr ? std::string(static_cast<const char *>(text)) : std::string();
}

/**
 * Reads the head of a request. libevhtp replaces an empty query with a form-encoded body, so the query must be read before
 * the body arrives.
 */
HttpRequest readHead(evhtp_request_t *request)
{
    HttpRequest read;
    read.method = htparser_get_methodstr(request->conn->parser);
    if (request->uri != nullptr) {
        read.path = request->uri->path != nullptr ? textOrEmpty(request->uri->path->full) : std::string();
        read.query = textOrEmpty(request->uri->query_raw);
    }
    evhtp_kvs_for_each(request->headers_in, &addHeader, &read.headers);
    read.peer = toAddress(*reinterpret_cast<const sockaddr_in *>(request->conn->saddr));
    return read;
}

std::string takeBody(evhtp_request_t *request)
{
    std::string body(evbuffer_get_length(request->buffer_in), '\0');
    evbuffer_remove(request->buffer_in, body.data(), body.size());
    return body;
}

std::size_t countOf(evhtp_kvs_t *headers, std::string_view name)
{
    std::size_t count = 0;
    const evhtp_kv_t *header = nullptr;
    TAILQ_FOREACH(header, headers, next)
    {
        const std::string_view key(header->key, header->klen);
        count += !HeaderNameLess()(key, name) && !HeaderNameLess()(name, key) ? 1 : 0;
    }
    return count;
}

/** @return the value of Content-Length, 0 if absent, or nothing if it is not a number. */
std::optional<std::uint64_t> lengthOf(const HttpHeaders &headers)
{
    const std::string length = headerValue(headers, "Content-Length").value_or("0");
    return parseNumber(length);
}

/** @return whether the end of the body is unambiguous for every program on the path (RFC 9112, section 6.3). */
bool isFramingUnambiguous(evhtp_request_t *request, const HttpHeaders &headers)
{
    const std::size_t lengths = countOf(request->headers_in, "Content-Length");
    const std::size_t codings = countOf(request->headers_in, "Transfer-Encoding");
    if (lengths + codings > 1) {
        return false;
    }
    return lengthOf(headers) && (codings == 0 || headerValue(headers, "Transfer-Encoding") == "chunked");
}

timeval intervalOf(std::chrono::milliseconds time)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    return {seconds.count(), std::chrono::microseconds(time - seconds).count()};
}

template <typename Hook>
evhtp_hook hookOf(Hook hook)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void *>(hook));
}

} // namespace

/** A connection and its current request. */
struct HttpServer::Connection
{
    HttpServer *server = nullptr;
    evhtp_connection_t *handle = nullptr;
    std::size_t headerBytes = 0;
    std::size_t headerCount = 0;
    /** Number of successive checks that found the headers incomplete or a refused body still arriving. */
    int failedChecks = 0;
    bool isHeadRead = false;
    bool isBodyPending = false;
    bool isReplyMade = false;
    std::uint64_t number = 0;
    std::uint64_t bodyBytes = 0;
    std::uint64_t bodyLimit = 0;
    HttpRequest head;
    std::weak_ptr<HttpReply> reply;
    /** Set while the body is streamed. */
    BodyHooks hooks;

    /** Clears the state of the previous request. */
    void reset()
    {
        this->headerBytes = 0;
        this->headerCount = 0;
        this->failedChecks = 0;
        this->isHeadRead = false;
        this->isBodyPending = false;
        this->isReplyMade = false;
        this->bodyBytes = 0;
        this->head = {};
        this->reply = {};
        this->hooks = {};
    }

    /** @return whether the response was started before the body arrived, so that the remaining body is discarded. */
    bool isAnsweredEarly() const
    {
        const std::shared_ptr<HttpReply> made = this->reply.lock();
        return this->isReplyMade && (!made || made->isStarted());
    }
};

struct HttpServer::Callbacks
{
    static evhtp_res onAccept(evhtp_connection_t *handle, void *self)
    {
        auto *const server = static_cast<HttpServer *>(self);
        auto connection = std::make_unique<Connection>();
        connection->server = server;
        connection->handle = handle;
        connection->number = ++server->lastConnection;
        sendWithoutDelay(handle->sock);
        Connection *const state = connection.get();
        server->connections.emplace(handle, std::move(connection));
        evhtp_connection_set_hook(handle, evhtp_hook_on_headers_start, hookOf(&onHeadersStart), state);
        evhtp_connection_set_hook(handle, evhtp_hook_on_header, hookOf(&onHeader), state);
        evhtp_connection_set_hook(handle, evhtp_hook_on_headers, hookOf(&onHeaders), state);
        evhtp_connection_set_hook(handle, evhtp_hook_on_read, hookOf(&onRead), state);
        evhtp_connection_set_hook(handle, evhtp_hook_on_request_fini, hookOf(&onRequestFinished), state);
        evhtp_connection_set_hook(handle, evhtp_hook_on_connection_fini, hookOf(&onConnectionFinished), state);
        return EVHTP_RES_OK;
    }

    static evhtp_res onHeadersStart(evhtp_request_t *, void *state)
    {
        static_cast<Connection *>(state)->reset();
        return EVHTP_RES_OK;
    }

    static evhtp_res onHeader(evhtp_request_t *, evhtp_header_t *header, void *state)
    {
        auto *const connection = static_cast<Connection *>(state);
        const HttpLimits &limits = connection->server->limits;
        connection->headerBytes += header->klen + header->vlen;
        ++connection->headerCount;
        const bool isExcessive = connection->headerBytes > limits.headerBytes * excessFactor
            || connection->headerCount > limits.headerCount * excessFactor;
        return isExcessive ? EVHTP_RES_ERROR : EVHTP_RES_OK;
    }

    static evhtp_res onHeaders(evhtp_request_t *request, evhtp_headers_t *, void *state)
    {
        auto *const connection = static_cast<Connection *>(state);
        connection->head = readHead(request);
        connection->isHeadRead = true;
        connection->failedChecks = 0;
        connection->isBodyPending = true;
        connection->server->admitBody(*connection, request);
        return EVHTP_RES_OK;
    }

    static evhtp_res onRead(evhtp_request_t *request, evbuffer *data, void *state)
    {
        auto *const connection = static_cast<Connection *>(state);
        const std::size_t size = evbuffer_get_length(data);
        connection->bodyBytes += size;
        if (!connection->isAnsweredEarly() && connection->bodyBytes > connection->bodyLimit) {
            connection->server->refuse(
                *connection, request, {statusTooLarge, "body_too_large", "the body is larger than this path takes"});
        }
        if (connection->isAnsweredEarly()) {
            evbuffer_drain(data, size);
        } else if (connection->hooks.onData) {
            const auto *const bytes = reinterpret_cast<const char *>(evbuffer_pullup(data, -1));
            connection->hooks.onData(std::string_view(bytes, size));
            evbuffer_drain(data, size);
        }
        return EVHTP_RES_OK;
    }

    static void onRequest(evhtp_request_t *request, void *self)
    {
        auto *const server = static_cast<HttpServer *>(self);
        evhtp_request_pause(request);
        Connection &connection = *server->connections.at(request->conn);
        const bool isAnswered = connection.isAnsweredEarly();
        connection.isBodyPending = false;
        if (const std::shared_ptr<HttpReply> early = connection.reply.lock()) {
            early->endBody();
        }
        if (isAnswered) {
            server->closeWhenSent(connection.handle, connection.number);
        } else if (connection.hooks.onEnd) {
            const BodyHooks hooks = std::exchange(connection.hooks, {});
            hooks.onEnd();
        } else {
            HttpRequest read = std::move(connection.head);
            read.body = takeBody(request);
            const std::shared_ptr<HttpReply> reply = server->makeReply(connection, request);
            runGuarded("request from a caller", [&] {
                server->handler(std::move(read), reply);
            });
        }
    }

    static evhtp_res onRequestFinished(evhtp_request_t *, void *state)
    {
        auto *const connection = static_cast<Connection *>(state);
        connection->isHeadRead = false;
        if (const std::shared_ptr<HttpReply> open = connection->reply.lock()) {
            open->disconnect();
        }
        return EVHTP_RES_OK;
    }

    static evhtp_res onConnectionFinished(evhtp_connection_t *handle, void *state)
    {
        auto *const connection = static_cast<Connection *>(state);
        HttpServer *const server = connection->server;
        if (const std::shared_ptr<HttpReply> open = connection->reply.lock()) {
            open->disconnect();
        }
        HttpServer::abortBody(*connection);
        // NOTE: libevhtp still calls onRequestFinished after this, so the state is freed later.
        std::shared_ptr<Connection> finished = std::move(server->connections.at(handle));
        server->connections.erase(handle);
        server->loop.post([finished] {});
        return EVHTP_RES_OK;
    }
};

HttpServer::HttpServer(EventLoop &loop, const Address &address, const Limits &limits, Handler handler, Admit admit)
    : loop(loop), limits(limits), handler(std::move(handler)), admit(std::move(admit)), server(evhtp_new(loop.base(), nullptr))
{
    // This class sends 100 Continue itself, after it has checked the length of the body.
    evhtp_disable_flag(this->server, EVHTP_FLAG_ENABLE_100_CONT);
    const timeval idle = intervalOf(this->limits.idleTimeout);
    evhtp_set_timeouts(this->server, &idle, &idle);
    evhtp_set_gencb(this->server, &Callbacks::onRequest, this);
    evhtp_set_post_accept_cb(this->server, &Callbacks::onAccept, this);
    if (evhtp_bind_socket(this->server, address.ip.c_str(), address.port, listenBacklog) != 0) {
        evhtp_free(this->server);
        throw std::runtime_error("cannot serve HTTP at " + address.toString());
    }
    this->listenAddress = boundAddress(evconnlistener_get_fd(this->server->server));
    this->checkConnections();
}

HttpServer::~HttpServer()
{
    *this->alive = false;
    this->loop.cancel(this->checkTimer);
    while (!this->connections.empty()) {
        evhtp_connection_free(this->connections.begin()->first);
    }
    if (!this->isDraining) {
        evhtp_unbind_socket(this->server);
    }
    evhtp_free(this->server);
}

const Address &HttpServer::address() const
{
    return this->listenAddress;
}

void HttpServer::closeAfterAnswers()
{
    this->isClosing = true;
}

void HttpServer::drain()
{
    this->isClosing = true;
    if (!std::exchange(this->isDraining, true)) {
        evhtp_unbind_socket(this->server);
    }
}

std::size_t HttpServer::openRequests() const
{
    return *this->open;
}

std::shared_ptr<HttpReply> HttpServer::makeReply(Connection &connection, evhtp_request *request)
{
    HttpReply::Options options{
        .isLast = this->isClosing,
        .isBodyPending = connection.isBodyPending,
        .unreadBytes = this->limits.unreadBytes,
        .close =
            [this, handle = connection.handle, number = connection.number, alive = this->alive] {
                if (*alive) {
                    this->closeLater(handle, number);
                }
            },
    };
    auto reply = std::make_shared<HttpReply>(request, this->open, std::move(options));
    connection.reply = reply;
    connection.isReplyMade = true;
    return reply;
}

void HttpServer::refuse(Connection &connection, evhtp_request *request, const HeadRefusal &refusal)
{
    std::shared_ptr<HttpReply> reply = connection.reply.lock();
    if (!reply) {
        reply = this->makeReply(connection, request);
    }
    std::string body = R"({"error":{"reason":")";
    body.append(refusal.reason).append(R"(","message":")").append(refusal.message).append(R"(","run":"not_run"}})").append("\n");
    reply->send({refusal.status, {{"Content-Type", "application/json"}}, std::move(body)});
    HttpServer::abortBody(connection);
}

void HttpServer::admitBody(Connection &connection, evhtp_request *request)
{
    if (connection.headerBytes > this->limits.headerBytes || connection.headerCount > this->limits.headerCount) {
        this->refuse(
            connection, request, {statusHeadersTooLarge, "headers_too_large", "there are too many or too large headers"});
        return;
    }
    if (!isFramingUnambiguous(request, connection.head.headers)) {
        this->refuse(connection, request, {statusBadRequest, "bad_framing", "the length of the body is not clear"});
        return;
    }
    BodyAdmission admission = this->admit ? this->admit(connection.head) : BodyAdmission{this->limits.bodyBytes, {}};
    connection.bodyLimit = admission.bodyBytes;
    if (lengthOf(connection.head.headers) > connection.bodyLimit) {
        this->refuse(connection, request, {statusTooLarge, "body_too_large", "the body is larger than this path takes"});
        return;
    }
    const bool isWaiting = headerValue(connection.head.headers, "Expect").has_value();
    if (admission.stream) {
        connection.hooks = admission.stream(std::move(connection.head), this->makeReply(connection, request));
    }
    if (isWaiting && !connection.isAnsweredEarly()) {
        evbuffer_add_printf(bufferevent_get_output(request->conn->bev), "HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void HttpServer::abortBody(Connection &connection)
{
    const BodyHooks hooks = std::exchange(connection.hooks, {});
    if (hooks.onAborted) {
        hooks.onAborted();
    }
}

void HttpServer::closeLater(evhtp_connection *handle, std::uint64_t number)
{
    this->loop.post([this, handle, number, alive = this->alive] {
        const auto found = *alive ? this->connections.find(handle) : this->connections.end();
        if (found != this->connections.end() && found->second->number == number) {
            evhtp_connection_free(handle);
        }
    });
}

void HttpServer::closeWhenSent(evhtp_connection *handle, std::uint64_t number)
{
    const auto found = this->connections.find(handle);
    if (found == this->connections.end() || found->second->number != number) {
        return;
    }
    if (evbuffer_get_length(bufferevent_get_output(handle->bev)) == 0) {
        this->closeLater(handle, number);
        return;
    }
    this->loop.schedule(sendCheckInterval, [this, handle, number, alive = this->alive] {
        if (*alive) {
            this->closeWhenSent(handle, number);
        }
    });
}

void HttpServer::checkConnections()
{
    for (const auto &[handle, connection] : this->connections) {
        const evhtp_request_t *const request = handle->request;
        const bool isReadingHead
            = request != nullptr && (request->flags & EVHTP_REQ_FLAG_FINISHED) == 0 && !connection->isHeadRead;
        const bool isLingering = connection->isBodyPending && connection->isAnsweredEarly();
        connection->failedChecks = isReadingHead || isLingering ? connection->failedChecks + 1 : 0;
        if (connection->failedChecks >= checksUntilClosed) {
            this->closeLater(handle, connection->number);
        }
    }
    this->checkTimer = this->loop.schedule(this->limits.headerTimeout, [this] {
        this->checkConnections();
    });
}

} // namespace Dogwoodkeel
