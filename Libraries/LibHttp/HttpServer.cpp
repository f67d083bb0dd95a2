#include <LibHttp/HttpServer.h>

#include <LibHttp/HttpReply.h>
#include <LibTask/EventLoop.h>
#include <LibTask/Sockets.h>

#include <event2/listener.h>
#include <evhtp/evhtp.h>

#include <stdexcept>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr int listenBacklog = 1024;

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

HttpRequest readRequest(evhtp_request_t *request)
{
    HttpRequest read;
    read.method = htparser_get_methodstr(request->conn->parser);
    if (request->uri != nullptr) {
        read.path = request->uri->path != nullptr ? textOrEmpty(request->uri->path->full) : std::string();
        read.query = textOrEmpty(request->uri->query_raw);
    }
    evhtp_kvs_for_each(request->headers_in, &addHeader, &read.headers);
    const std::size_t size = evbuffer_get_length(request->buffer_in);
    read.body.resize(size);
    evbuffer_remove(request->buffer_in, read.body.data(), size);
    read.peer = toAddress(*reinterpret_cast<const sockaddr_in *>(request->conn->saddr));
    return read;
}

evhtp_res onRequestFinished(evhtp_request_t *, void *reply)
{
    const std::unique_ptr<std::weak_ptr<HttpReply>> held(static_cast<std::weak_ptr<HttpReply> *>(reply));
    if (const std::shared_ptr<HttpReply> open = held->lock()) {
        open->disconnect();
    }
    return EVHTP_RES_OK;
}

} // namespace

struct HttpServer::Callbacks
{
    static void onRequest(evhtp_request_t *request, void *self)
    {
        auto *const server = static_cast<HttpServer *>(self);
        evhtp_request_pause(request);
        HttpRequest read = readRequest(request);
        const auto reply = std::make_shared<HttpReply>(request, server->open, server->closing);
        evhtp_request_set_hook(request,
                               evhtp_hook_on_request_fini,
                               reinterpret_cast<evhtp_hook>(reinterpret_cast<void *>(&onRequestFinished)),
                               new std::weak_ptr<HttpReply>(reply));
        server->handler(std::move(read), reply);
    }
};

HttpServer::HttpServer(EventLoop &loop, const Address &address, Limits limits, Handler handler)
    : loop(loop), limits(limits), handler(std::move(handler)), server(evhtp_new(loop.base(), nullptr))
{
    evhtp_set_max_body_size(this->server, this->limits.bodyBytes);
    evhtp_set_gencb(this->server, &Callbacks::onRequest, this);
    if (evhtp_bind_socket(this->server, address.ip.c_str(), address.port, listenBacklog) != 0) {
        evhtp_free(this->server);
        throw std::runtime_error("cannot serve HTTP at " + address.toString());
    }
    this->listenAddress = boundAddress(evconnlistener_get_fd(this->server->server));
}

HttpServer::~HttpServer()
{
    if (!this->draining) {
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
    this->closing = true;
}

void HttpServer::drain()
{
    this->closing = true;
    if (!std::exchange(this->draining, true)) {
        evhtp_unbind_socket(this->server);
    }
}

std::size_t HttpServer::openRequests() const
{
    return *this->open;
}

} // namespace Dogwoodkeel
