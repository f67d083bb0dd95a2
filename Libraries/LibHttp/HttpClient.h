#pragma once

#include <LibBase/Address.h>
#include <LibHttp/HttpTypes.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace Dogwoodkeel
{

class EventLoop;

/** How an exchange ended. */
enum class ExchangeEnd {
    /** The whole response arrived. */
    Complete,
    /** No connection was established, so the request was certainly not sent. */
    NotConnected,
    /** The connection was lost; the server may have executed the request. */
    Incomplete,
};

/** Which connection an exchange may use. */
enum class ConnectionChoice {
    /** An idle one from the pool if available. */
    Pooled,
    /** A new one. A pooled one may have lost its peer without notice. */
    Fresh,
};

/** Callbacks of an exchange. None is called after onEnd or after the exchange is cancelled. */
struct ExchangeHooks
{
    /** Called with the status and headers of the response. */
    std::function<void(int status, const HttpHeaders &headers)> onHeaders;
    /** Called with the next part of the body. */
    std::function<void(std::string_view data)> onData;
    std::function<void(ExchangeEnd end)> onEnd;
};

/** Sends HTTP/1.1 requests with evhttp over pooled connections. Used on one event loop only. */
class HttpClient
{
public:
    using ExchangeId = std::uint64_t;

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Sends a request. The hooks are never called within this call.
     * @return an id with which the exchange can be cancelled
     */
    ExchangeId start(const Address &address, const HttpRequest &request, ConnectionChoice choice, ExchangeHooks hooks);

    /**
     * Sends a request and collects the response.
     * @param timeout after which the exchange is cancelled and ends as Incomplete
     * @param done called once
     */
    ExchangeId fetch(const Address &address,
                     const HttpRequest &request,
                     std::chrono::milliseconds timeout,
                     std::function<void(ExchangeEnd, HttpResponse)> done);

    /** Cancels an exchange and closes its connection. Its hooks are not called any more. */
    void cancel(ExchangeId id);

    /** @return whether the exchange's connection is established. If not, the request has certainly not been sent. */
    bool isConnected(ExchangeId id) const;

    /** @return whether the exchange reuses a pooled connection, which may have lost its peer without notice. */
    bool isReused(ExchangeId id) const;

    /** Closes the idle connections to an address, for example after one of them turned out to be unresponsive. */
    void closeIdle(const Address &address);

    /** Callbacks for evhttp; internal. */
    struct Callbacks;

private:
    struct Exchange;

    void acquireConnection(Exchange &exchange, ConnectionChoice choice);
    void end(Exchange &exchange, ExchangeEnd how);
    void freeLater(evhttp_connection *connection);

    EventLoop &loop;
    std::map<Address, std::vector<evhttp_connection *>> idle;
    ExchangeId lastExchange = 0;
    std::unordered_map<ExchangeId, std::shared_ptr<Exchange>> exchanges;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
