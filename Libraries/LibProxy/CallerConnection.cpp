#include <LibProxy/CallerConnection.h>

#include <LibProxy/HttpStatus.h>
#include <LibProxy/ReasonPhrase.h>
#include <LibTask/EventGuard.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <cstdio>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Maximum size of buffered input. It bounds the memory that pipelined requests of one caller can use. */
constexpr std::size_t readAheadBytes = 65536;
/** How long to wait for a caller to close its side after the last response; longer than any round trip. */
constexpr std::chrono::milliseconds lingerTime{1000};

} // namespace

CallerConnection::CallerConnection(const Clock &clock, bufferevent *stream, Hooks hooks)
    : clock(clock)
    , stream(stream)
    , hooks(std::move(hooks))
    , reader(MessageReader::Kind::Request, this->hooks.limits().headBytes)
    , lastProgress(clock.now())
{
    bufferevent_setcb(stream, &onReadable, &onWritten, &onEvent, this);
    evbuffer_add_cb(bufferevent_get_output(stream), &onOutput, this);
    bufferevent_setwatermark(stream, EV_READ, 0, readAheadBytes);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
}

CallerConnection::~CallerConnection()
{
    if (this->stream != nullptr) {
        bufferevent_free(this->stream);
    }
    if (this->exchange) {
        this->exchange->connection = nullptr;
    }
}

bool CallerConnection::isBusy() const
{
    const bool isWaiting = this->state == State::AwaitingHead;
    return this->state != State::Closed && (!isWaiting || this->hasInput() || this->hasOutput());
}

bool CallerConnection::hasInput() const
{
    return this->stream != nullptr && evbuffer_get_length(bufferevent_get_input(this->stream)) > 0;
}

bool CallerConnection::hasOutput() const
{
    return this->stream != nullptr && evbuffer_get_length(bufferevent_get_output(this->stream)) > 0;
}

void CallerConnection::checkTimeouts()
{
    const std::chrono::nanoseconds sinceProgress = this->clock.now() - this->lastProgress;
    const CallerLimits &limits = this->hooks.limits();
    const bool isReadingHead = this->state == State::AwaitingHead && this->hasInput() && !this->isHeldBack();
    const bool isReading = this->state == State::ReadingBody || isReadingHead;
    const bool isSlow = isReading && sinceProgress > limits.headTimeout;
    const bool isIdle = this->state == State::AwaitingHead && sinceProgress > limits.idleTimeout;
    const bool hasLingered = this->state == State::Closing && sinceProgress > std::max(limits.headTimeout, lingerTime);
    if (isSlow || isIdle || hasLingered) {
        this->close();
    }
}

void CallerConnection::setPaused(bool isPaused)
{
    this->hasPause = isPaused;
    if (const std::shared_ptr<CallerExchange> open = this->exchange) {
        open->notifyPause(isPaused);
    } else if (!isPaused && this->state == State::AwaitingHead) {
        this->lastProgress = this->clock.now();
        this->advance();
    }
}

bool CallerConnection::isHeldBack() const
{
    // The decision to pause comes after the current event, in which many requests may be read.
    return this->hasPause || evbuffer_get_length(bufferevent_get_output(this->stream)) >= this->hooks.limits().unread.pauseBytes;
}

bool CallerConnection::isPaused() const
{
    return this->hasPause;
}

void CallerConnection::closeIfIdle()
{
    if (this->state == State::AwaitingHead && !this->isBusy()) {
        this->close();
    }
}

void CallerConnection::answerOpenRequest(int status)
{
    const std::shared_ptr<CallerExchange> open = this->exchange;
    if (open && !open->isStarted()) {
        open->send(status, {}, {});
    }
}

void CallerConnection::onReadable(bufferevent *, void *self)
{
    auto *const connection = static_cast<CallerConnection *>(self);
    const bool isHandled = runGuarded("data from a caller", [connection] {
        connection->advance();
    });
    if (!isHandled) {
        runGuarded("closing a caller connection", [connection] {
            connection->close();
        });
    }
}

void CallerConnection::onWritten(bufferevent *stream, void *self)
{
    auto *const connection = static_cast<CallerConnection *>(self);
    if (connection->state == State::Closing && !std::exchange(connection->isShutDown, true)) {
        // If unread input remains, closing now would reset the connection, and the caller could lose the response.
        ::shutdown(bufferevent_getfd(stream), SHUT_WR);
        connection->lastProgress = connection->clock.now();
    }
    if (connection->state == State::AwaitingHead) {
        // A request may have been held back for a size of unread data that was never decided about.
        onReadable(stream, self);
    }
}

void CallerConnection::onEvent(bufferevent *, short, void *self)
{
    // Handles errors and end of file alike: a caller that closed its side no longer waits for a response.
    runGuarded("closing a caller connection", [self] {
        static_cast<CallerConnection *>(self)->close();
    });
}

void CallerConnection::onOutput(evbuffer *, const evbuffer_cb_info *change, void *self)
{
    auto *const connection = static_cast<CallerConnection *>(self);
    if (change->n_deleted > 0) {
        connection->lastProgress = connection->clock.now();
    }
    runGuarded("counting unread data", [connection] {
        connection->reportUnread();
    });
}

void CallerConnection::reportUnread()
{
    if (this->stream != nullptr) {
        const bool isStreaming = this->exchange && this->exchange->isStarted();
        this->hooks.onUnread(evbuffer_get_length(bufferevent_get_output(this->stream)), isStreaming);
    }
}

void CallerConnection::advance()
{
    if (std::exchange(this->isAdvancing, true)) {
        return;
    }
    while (this->step()) { }
    this->isAdvancing = false;
}

bool CallerConnection::step()
{
    switch (this->state) {
    case State::AwaitingHead:
        return this->readHead();
    case State::ReadingBody:
        return this->readBody();
    case State::Closing:
        evbuffer_drain(bufferevent_get_input(this->stream), evbuffer_get_length(bufferevent_get_input(this->stream)));
        return false;
    case State::Answering:
    case State::Closed:
        return false;
    }
    return false;
}

bool CallerConnection::readHead()
{
    evbuffer *const input = bufferevent_get_input(this->stream);
    if (this->isHeldBack() || evbuffer_get_length(input) == 0) {
        return false;
    }
    const ReadProgress progress = this->reader.readHead(input);
    if (progress == ReadProgress::NeedMore) {
        return false;
    }
    this->lastProgress = this->clock.now();
    if (progress == ReadProgress::TooLarge) {
        this->refuse(statusHeadersTooLarge, "the headers are larger than allowed");
        return true;
    }
    const MessageHead &head = this->reader.head();
    if (progress == ReadProgress::Malformed || head.headers.count("Host") != 1) {
        this->refuse(statusBadRequest, "the request is malformed");
        return true;
    }
    if (head.length > this->hooks.limits().bodyBytes) {
        this->refuse(statusContentTooLarge, "the body is larger than allowed");
        return true;
    }
    if (head.headers.hasToken("Expect", "100-continue")) {
        this->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    this->state = State::ReadingBody;
    return true;
}

bool CallerConnection::readBody()
{
    const std::size_t before = this->body.size();
    const ReadProgress progress = this->reader.readBody(bufferevent_get_input(this->stream), this->body);
    if (this->body.size() > before) {
        this->lastProgress = this->clock.now();
    }
    if (progress == ReadProgress::Malformed) {
        this->refuse(statusBadRequest, "the body is malformed");
        return true;
    }
    if (this->body.size() > this->hooks.limits().bodyBytes) {
        this->refuse(statusContentTooLarge, "the body is larger than allowed");
        return true;
    }
    if (progress == ReadProgress::NeedMore) {
        return false;
    }
    this->isLast = !this->reader.head().isPersistent;
    this->state = State::Answering;
    this->exchange = std::make_shared<CallerExchange>(*this, this->reader.head(), std::move(this->body));
    this->body.clear();
    const std::shared_ptr<CallerExchange> started = this->exchange;
    this->hooks.onRequest(started);
    return true;
}

void CallerConnection::refuse(int status, std::string_view reason)
{
    // The end of the refused request is unknown, so no further request can be read from this connection.
    this->isLast = true;
    this->state = State::Answering;
    HeaderList headers;
    headers.add("Content-Type", "text/plain");
    this->sendWhole(status, headers, std::string(reason) + "\n");
}

void CallerConnection::sendWhole(int status, const HeaderList &headers, std::string_view body)
{
    this->isLast = this->isLast || this->hooks.isClosing();
    char start[160];
    const int size = std::snprintf(start,
                                   sizeof(start),
                                   "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s",
                                   status,
                                   reasonPhrase(status),
                                   body.size(),
                                   this->isLast ? "Connection: close\r\n" : "");
    std::string text(start, static_cast<std::size_t>(size));
    text.append(headers.toText()).append("\r\n").append(body);
    this->write(text);
    this->finishAnswer();
}

void CallerConnection::sendHead(int status, const HeaderList &headers)
{
    this->isLast = this->isLast || this->hooks.isClosing();
    char start[160];
    const int size = std::snprintf(start,
                                   sizeof(start),
                                   "HTTP/1.1 %d %s\r\nTransfer-Encoding: chunked\r\n%s",
                                   status,
                                   reasonPhrase(status),
                                   this->isLast ? "Connection: close\r\n" : "");
    std::string text(start, static_cast<std::size_t>(size));
    text.append(headers.toText()).append("\r\n");
    this->write(text);
}

void CallerConnection::sendPart(std::string_view data)
{
    char size[32];
    const int length = std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    std::string text(size, static_cast<std::size_t>(length));
    text.append(data).append("\r\n");
    this->write(text);
    if (evbuffer_get_length(bufferevent_get_output(this->stream)) > this->hooks.limits().unreadBytes) {
        this->close();
    }
}

void CallerConnection::sendEnd()
{
    this->write("0\r\n\r\n");
    this->finishAnswer();
}

void CallerConnection::abort()
{
    this->exchange.reset();
    this->reportUnread();
    this->lastProgress = this->clock.now();
    // Data already written is still sent. The missing last chunk marks the response as incomplete.
    const bool isSent = this->stream == nullptr || evbuffer_get_length(bufferevent_get_output(this->stream)) == 0;
    if (isSent) {
        this->close();
        return;
    }
    this->startClosing();
}

void CallerConnection::write(std::string_view text)
{
    if (this->stream != nullptr) {
        bufferevent_write(this->stream, text.data(), text.size());
    }
}

void CallerConnection::finishAnswer()
{
    this->exchange.reset();
    this->reportUnread();
    this->lastProgress = this->clock.now();
    if (this->isLast) {
        this->startClosing();
        return;
    }
    this->reader.reset();
    this->state = State::AwaitingHead;
    this->advance();
}

void CallerConnection::startClosing()
{
    this->state = State::Closing;
    this->advance();
}

void CallerConnection::close()
{
    if (std::exchange(this->state, State::Closed) == State::Closed) {
        return;
    }
    bufferevent_free(std::exchange(this->stream, nullptr));
    if (const std::shared_ptr<CallerExchange> open = std::exchange(this->exchange, nullptr)) {
        open->disconnect();
    }
    this->hooks.onClosed();
}

} // namespace Dogwoodkeel
