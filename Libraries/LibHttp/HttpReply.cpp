#include <LibHttp/HttpReply.h>

#include <evhtp/evhtp.h>

#include <utility>

namespace Dogwoodkeel
{

HttpReply::HttpReply(evhtp_request *request, std::shared_ptr<std::size_t> open, Options options)
    : request(request), open(std::move(open)), options(std::move(options))
{
    ++*this->open;
}

HttpReply::~HttpReply()
{
    if (!this->hasStarted) {
        // If a handler never replied, the caller would otherwise wait forever.
        this->send({.status = 500, .body = "{\"error\":{\"message\":\"no answer was made\"}}\n"});
    } else {
        this->complete();
    }
}

void HttpReply::addHeaders(const HttpHeaders &headers)
{
    for (const auto &[name, value] : headers) {
        evhtp_headers_add_header(this->request->headers_out, evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
    }
    if (this->options.isLast) {
        evhtp_headers_add_header(this->request->headers_out, evhtp_header_new("Connection", "close", 1, 1));
        evhtp_request_set_keepalive(this->request, 0);
    }
}

void HttpReply::send(const HttpResponse &response)
{
    if (std::exchange(this->hasStarted, true)) {
        return;
    }
    if (this->request != nullptr && this->options.isBodyPending) {
        this->sendEarly(response);
    } else if (this->request != nullptr) {
        this->addHeaders(response.headers);
        if (this->request->method == htp_method_HEAD) {
            // RFC 9110, section 9.3.2: the length that a GET response would have, and no content.
            const std::string length = std::to_string(response.body.size());
            evhtp_headers_add_header(this->request->headers_out, evhtp_header_new("Content-Length", length.c_str(), 1, 1));
        } else {
            evbuffer_add(this->request->buffer_out, response.body.data(), response.body.size());
        }
        evhtp_send_reply(this->request, static_cast<evhtp_res>(response.status));
    }
    this->complete();
}

void HttpReply::sendEarly(const HttpResponse &response)
{
    // Closing the connection while a part of the body is unread would reset it, and the caller could lose the response. So
    // the request stays open for libevhtp, and the server closes it once the body has arrived or after a timeout.
    this->options.isLast = true;
    this->addHeaders(response.headers);
    const std::string length = std::to_string(response.body.size());
    evhtp_headers_add_header(this->request->headers_out, evhtp_header_new("Content-Length", length.c_str(), 1, 1));
    evhtp_send_reply_start(this->request, static_cast<evhtp_res>(response.status));
    bufferevent_write(evhtp_request_get_bev(this->request), response.body.data(), response.body.size());
    this->resumeBody();
}

void HttpReply::start(int status, const HttpHeaders &headers)
{
    if (std::exchange(this->hasStarted, true) || this->request == nullptr) {
        return;
    }
    this->addHeaders(headers);
    evhtp_send_reply_chunk_start(this->request, static_cast<evhtp_res>(status));
}

void HttpReply::write(std::string_view data)
{
    if (!this->isConnected() || this->isCompleted || data.empty()) {
        return;
    }
    const std::size_t unread = evbuffer_get_length(bufferevent_get_output(evhtp_request_get_bev(this->request)));
    if (this->options.unreadBytes > 0 && unread > this->options.unreadBytes) {
        this->request = nullptr;
        this->options.close();
        return;
    }
    evbuffer *const chunk = evbuffer_new();
    evbuffer_add(chunk, data.data(), data.size());
    evhtp_send_reply_chunk(this->request, chunk);
    evbuffer_free(chunk);
}

void HttpReply::finish()
{
    if (this->isConnected() && !this->isCompleted) {
        evhtp_send_reply_chunk_end(this->request);
    }
    this->complete();
}

void HttpReply::pauseBody()
{
    if (this->request != nullptr && this->options.isBodyPending && !std::exchange(this->isPaused, true)) {
        // NOTE: evhtp_request_pause cannot be used: in its body hook, libevhtp would treat the request as invalid.
        bufferevent_disable(evhtp_request_get_bev(this->request), EV_READ);
    }
}

void HttpReply::resumeBody()
{
    if (this->request != nullptr && this->options.isBodyPending && std::exchange(this->isPaused, false)) {
        bufferevent_enable(evhtp_request_get_bev(this->request), EV_READ);
    }
}

bool HttpReply::isConnected() const
{
    // If a paused connection is lost, libevhtp sets this flag but calls no hook until the connection is resumed.
    return this->request != nullptr && (this->request->conn->flags & EVHTP_CONN_FLAG_ERROR) == 0;
}

bool HttpReply::isStarted() const
{
    return this->hasStarted;
}

void HttpReply::disconnect()
{
    this->request = nullptr;
}

void HttpReply::endBody()
{
    this->options.isBodyPending = false;
}

void HttpReply::complete()
{
    if (std::exchange(this->isCompleted, true)) {
        return;
    }
    --*this->open;
    if (this->request != nullptr && !this->options.isBodyPending) {
        // NOTE: libevhtp requires that the connection is resumed after the reply, not before.
        evhtp_request_resume(this->request);
    }
}

} // namespace Dogwoodkeel
