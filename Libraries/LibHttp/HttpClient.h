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
    /** Proved: no connection was made, so the request never left. */
    NotConnected,
    /** The connection broke; the request may have been carried out. */
    Incomplete,
};

/** Which connection an exchange may use. */
enum class ConnectionChoice {
    /** An idle one from the pool, if there is one. */
    Pooled,
    /** One made for it: the only kind known to be live, since an idle one may have gone silent unnoticed. */
    Fresh,
};

/** What an exchange tells. Nothing more comes after onEnd, nor after a cancel. */
struct ExchangeHooks
{
    /** The response's status and headers. */
    std::function<void(int status, const HttpHeaders &headers)> onHeaders;
    /** The next part of the body. */
    std::function<void(std::string_view data)> onData;
    std::function<void(ExchangeEnd end)> onEnd;
};

/** Sends HTTP/1.1 requests by evhttp, over pooled connections. Lives on one event loop. */
class HttpClient
{
public:
    using ExchangeId = std::uint64_t;

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Send a request; the answer comes by the hooks, never from inside this call.
     * @return an id to cancel it by
     */
    ExchangeId start(const Address &address, const HttpRequest &request, ConnectionChoice choice, ExchangeHooks hooks);

    /**
     * Send a request and collect the response.
     * @param timeout after which it is cancelled and ends as Incomplete
     * @param answered told once
     */
    ExchangeId fetch(const Address &address,
                     const HttpRequest &request,
                     std::chrono::milliseconds timeout,
                     std::function<void(ExchangeEnd, HttpResponse)> answered);

    /** Drop an exchange and its connection; its hooks are told nothing more. */
    void cancel(ExchangeId id);

    /** @return whether an exchange's connection was made, so that its request may have left. False proves that not. */
    bool isConnected(ExchangeId id) const;

    /** @return whether an exchange uses a connection that was idle before: it may have gone silent unnoticed. */
    bool isReused(ExchangeId id) const;

    /** Close the idle connections to an address: they may be of the kind that went silent. */
    void closeIdle(const Address &address);

    /** What evhttp calls back; not for use elsewhere. */
    struct Callbacks;

private:
    struct Exchange;

    void takeConnection(Exchange &exchange, ConnectionChoice choice);
    void end(Exchange &exchange, ExchangeEnd how);
    void freeLater(evhttp_connection *connection);

    EventLoop &loop;
    std::map<Address, std::vector<evhttp_connection *>> idle;
    ExchangeId lastExchange = 0;
    std::unordered_map<ExchangeId, std::shared_ptr<Exchange>> exchanges;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
