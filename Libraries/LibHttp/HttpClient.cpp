#include <LibHttp/HttpClient.h>

#include <LibTask/EventLoop.h>
#include <LibTask/Sockets.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t idlePerAddress = 256;

evhttp_cmd_type commandOf(std::string_view method)
{
    if (method == "POST") {
        return EVHTTP_REQ_POST;
    }
    if (method == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    if (method == "DELETE") {
        return EVHTTP_REQ_DELETE;
    }
    if (method == "PATCH") {
        return EVHTTP_REQ_PATCH;
    }
    if (method == "HEAD") {
        return EVHTTP_REQ_HEAD;
    }
    if (method == "OPTIONS") {
        return EVHTTP_REQ_OPTIONS;
    }
    return EVHTTP_REQ_GET;
}

HttpHeaders headersOf(evhttp_request *request)
{
    HttpHeaders headers;
    const evkeyvalq *const list = evhttp_request_get_input_headers(request);
    for (const evkeyval *entry = list->tqh_first; entry != nullptr; entry = entry->next.tqe_next) {
        headers.insert_or_assign(entry->key, entry->value);
    }
    return headers;
}

} // namespace

struct HttpClient::Exchange
{
    HttpClient *client = nullptr;
    ExchangeId id = 0;
    Address address;
    ExchangeHooks hooks;
    evhttp_connection *connection = nullptr;
    bool isReused = false;
    bool hasEnded = false;
};

struct HttpClient::Callbacks
{
    static int onHeaders(evhttp_request *request, void *argument)
    {
        auto *const exchange = static_cast<Exchange *>(argument);
        if (!exchange->hasEnded) {
            exchange->hooks.onHeaders(evhttp_request_get_response_code(request), headersOf(request));
        }
        return 0;
    }

    static void onData(evhttp_request *request, void *argument)
    {
        auto *const exchange = static_cast<Exchange *>(argument);
        evbuffer *const input = evhttp_request_get_input_buffer(request);
        const std::size_t size = evbuffer_get_length(input);
        if (!exchange->hasEnded && size > 0) {
            const auto *const data = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
            exchange->hooks.onData(std::string_view(data, size));
        }
    }

    static void onDone(evhttp_request *request, void *argument)
    {
        auto *const exchange = static_cast<Exchange *>(argument);
        if (request == nullptr) {
            exchange->client->end(*exchange, ExchangeEnd::Incomplete);
            return;
        }
        // NOTE: evhttp reports a failed connection attempt as a request without a response code.
        const bool hasStatus = evhttp_request_get_response_code(request) != 0;
        exchange->client->end(*exchange, hasStatus ? ExchangeEnd::Complete : ExchangeEnd::NotConnected);
    }
};

HttpClient::HttpClient(EventLoop &loop) : loop(loop)
{
}

HttpClient::~HttpClient()
{
    *this->alive = false;
    for (const auto &[id, exchange] : this->exchanges) {
        if (!exchange->hasEnded) {
            evhttp_connection_free(exchange->connection);
        }
    }
    for (const auto &[address, connections] : this->idle) {
        for (evhttp_connection *const connection : connections) {
            evhttp_connection_free(connection);
        }
    }
}

void HttpClient::acquireConnection(Exchange &exchange, ConnectionChoice choice)
{
    const Address &address = exchange.address;
    std::vector<evhttp_connection *> &pool = this->idle[address];
    if (choice == ConnectionChoice::Pooled && !pool.empty()) {
        exchange.connection = pool.back();
        exchange.isReused = true;
        pool.pop_back();
        return;
    }
    exchange.connection = evhttp_connection_base_new(this->loop.base(), nullptr, address.ip.c_str(), address.port);
    // Users of this class implement their own, shorter timeouts by cancelling.
    constexpr int hour = 3600;
    evhttp_connection_set_timeout(exchange.connection, hour);
}

HttpClient::ExchangeId
HttpClient::start(const Address &address, const HttpRequest &request, ConnectionChoice choice, ExchangeHooks hooks)
{
    const auto exchange = std::make_shared<Exchange>();
    exchange->client = this;
    exchange->id = ++this->lastExchange;
    exchange->address = address;
    exchange->hooks = std::move(hooks);
    this->acquireConnection(*exchange, choice);
    this->exchanges.emplace(exchange->id, exchange);

    evhttp_request *const message = evhttp_request_new(&Callbacks::onDone, exchange.get());
    evhttp_request_set_header_cb(message, &Callbacks::onHeaders);
    evhttp_request_set_chunked_cb(message, &Callbacks::onData);
    evkeyvalq *const headers = evhttp_request_get_output_headers(message);
    evhttp_add_header(headers, "Host", address.toString().c_str());
    for (const auto &[name, value] : request.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(message), request.body.data(), request.body.size());
    const ExchangeId id = exchange->id;
    const int before = bufferevent_getfd(evhttp_connection_get_bufferevent(exchange->connection));
    const int failed = evhttp_make_request(exchange->connection, message, commandOf(request.method), request.target().c_str());
    const int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(exchange->connection));
    if (descriptor >= 0 && descriptor != before) {
        // Nagle's algorithm would delay the last part of a body until the previous part is acknowledged, by up to 40 ms.
        sendWithoutDelay(descriptor);
    }
    if (failed != 0) {
        this->loop.post([this, exchange, alive = this->alive] {
            if (*alive) {
                this->end(*exchange, ExchangeEnd::NotConnected);
            }
        });
    }
    return id;
}

HttpClient::ExchangeId HttpClient::fetch(const Address &address,
                                         const HttpRequest &request,
                                         std::chrono::milliseconds timeout,
                                         std::function<void(ExchangeEnd, HttpResponse)> done)
{
    struct Collected
    {
        HttpResponse response;
        TimerId timer = 0;
        std::function<void(ExchangeEnd, HttpResponse)> done;
    };
    const auto collected = std::make_shared<Collected>();
    collected->done = std::move(done);
    ExchangeHooks hooks{
        .onHeaders =
            [collected](int status, const HttpHeaders &headers) {
                collected->response.status = status;
                collected->response.headers = headers;
            },
        .onData =
            [collected](std::string_view data) {
                collected->response.body.append(data);
            },
        .onEnd =
            [this, collected](ExchangeEnd end) {
                this->loop.cancel(collected->timer);
                collected->done(end, std::move(collected->response));
            },
    };
    const ExchangeId id = this->start(address, request, ConnectionChoice::Pooled, std::move(hooks));
    collected->timer = this->loop.schedule(timeout, [this, id, collected] {
        this->cancel(id);
        collected->done(ExchangeEnd::Incomplete, {});
    });
    return id;
}

void HttpClient::cancel(ExchangeId id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end() || found->second->hasEnded) {
        return;
    }
    Exchange &exchange = *found->second;
    exchange.hasEnded = true;
    exchange.hooks = {};
    this->freeLater(exchange.connection);
    this->loop.post([this, id, alive = this->alive] {
        if (*alive) {
            this->exchanges.erase(id);
        }
    });
}

bool HttpClient::isConnected(ExchangeId id) const
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end() || found->second->hasEnded) {
        return false;
    }
    sockaddr_storage peer{};
    socklen_t size = sizeof(peer);
    const int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(found->second->connection));
    return descriptor >= 0 && getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) == 0;
}

bool HttpClient::isReused(ExchangeId id) const
{
    const auto found = this->exchanges.find(id);
    return found != this->exchanges.end() && found->second->isReused;
}

void HttpClient::closeIdle(const Address &address)
{
    for (evhttp_connection *const connection : std::exchange(this->idle[address], {})) {
        this->freeLater(connection);
    }
}

void HttpClient::end(Exchange &exchange, ExchangeEnd how)
{
    if (std::exchange(exchange.hasEnded, true)) {
        return;
    }
    std::vector<evhttp_connection *> &pool = this->idle[exchange.address];
    if (how == ExchangeEnd::Complete && pool.size() < idlePerAddress) {
        // NOTE: evhttp is still executing this connection's callback. The connection can be reused only after it returns.
        this->loop.post([this, connection = exchange.connection, address = exchange.address, alive = this->alive] {
            if (*alive) {
                this->idle[address].push_back(connection);
            } else {
                evhttp_connection_free(connection);
            }
        });
    } else {
        this->freeLater(exchange.connection);
    }
    const ExchangeHooks hooks = std::move(exchange.hooks);
    this->loop.post([this, id = exchange.id, alive = this->alive] {
        if (*alive) {
            this->exchanges.erase(id);
        }
    });
    hooks.onEnd(how);
}

void HttpClient::freeLater(evhttp_connection *connection)
{
    this->loop.post([connection] {
        evhttp_connection_free(connection);
    });
}

} // namespace Dogwoodkeel
