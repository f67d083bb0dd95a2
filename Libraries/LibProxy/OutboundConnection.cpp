#include <LibProxy/OutboundConnection.h>

#include <LibProxy/HttpStatus.h>
#include <LibTask/EventGuard.h>
#include <LibTask/Sockets.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t responseHeadBytes = 65536;
/** Maximum size of all interim responses and empty lines before a head: none of them is an answer. */
constexpr std::size_t maxInterimBytes = 65536;
/** Maximum size of the body of a skipped response. It is only read to keep the connection, and a new one costs less. */
constexpr std::uint64_t maxSkippedBytes = 65536;
/** Maximum size of chunk framing, such as chunk extensions, between two parts of a body's data. */
constexpr std::size_t maxFramingBytes = 65536;
/** Maximum number of responses to earlier requests that are skipped before the expected one. */
constexpr int maxSkipped = 4;
/** Assumed keep-alive time if the server states none: one below a second cannot be stated, as the header has whole
 * seconds. */
constexpr std::chrono::milliseconds defaultKeepAlive{250};
/**
 * TCP user timeout: data unacknowledged for this long means that the other side lost its network or power. Without this
 * limit the call would hang until its own deadline. A round trip takes some milliseconds, and the kernel retransmits a
 * lost packet several times within this time.
 */
constexpr unsigned int unacknowledgedMilliseconds = 1500;

/**
 * A server that closes a connection with a part of the request unread ends its side first, and resets the connection when it
 * receives more or closes it. Longer than a round trip within a region.
 */
constexpr std::chrono::milliseconds resetDelay{20};

std::optional<std::chrono::seconds> statedKeepAlive(const HeaderList &headers)
{
    constexpr std::string_view name = "timeout=";
    const std::string_view value = headers.find("Keep-Alive").value_or(std::string_view());
    const std::size_t position = value.find(name);
    if (position == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = value.substr(position + name.size());
    std::int64_t seconds = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return error == std::errc() ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
}

} // namespace

OutboundConnection::OutboundConnection(OutboundPool &pool, const Address &address)
    : pool(pool), target(address), reader(MessageReader::Kind::Response, responseHeadBytes)
{
}

OutboundConnection::~OutboundConnection()
{
    *this->alive = false;
    this->pool.loop.cancel(this->connectTimer);
    this->pool.loop.cancel(this->endTimer);
    if (this->stream != nullptr) {
        bufferevent_free(this->stream);
    }
}

const Address &OutboundConnection::address() const
{
    return this->target;
}

SteadyTime OutboundConnection::idleSince() const
{
    return this->idleStart;
}

SteadyTime OutboundConnection::keptUntil() const
{
    return this->keepUntil;
}

void OutboundConnection::begin(OutboundPool::CallId id, OutboundCall call, CallHooks hooks)
{
    this->current = id;
    this->call = std::move(call);
    this->hooks = std::make_shared<const CallHooks>(std::move(hooks));
    this->skipped = 0;
    this->startResponse();
    if (this->stream == nullptr) {
        this->connect(this->call.connectTimeout);
    }
    if (this->stream == nullptr) {
        return;
    }
    this->hasRequestBody = !this->call.body.empty();
    std::string text = std::move(this->call.head);
    if (!this->call.body.empty() || text.starts_with("POST") || text.starts_with("PUT")) {
        text.append("Content-Length: ").append(std::to_string(this->call.body.size())).append("\r\n");
    }
    text.append("\r\n").append(this->call.body);
    bufferevent_write(this->stream, text.data(), text.size());
    this->call.body.clear();
}

void OutboundConnection::detachCall()
{
    this->current = 0;
    this->hooks.reset();
}

void OutboundConnection::setReading(bool isReading)
{
    if (this->stream == nullptr) {
        return;
    }
    if (isReading) {
        bufferevent_enable(this->stream, EV_READ);
    } else {
        bufferevent_disable(this->stream, EV_READ);
    }
}

void OutboundConnection::connect(std::chrono::milliseconds timeout)
{
    this->stream = bufferevent_socket_new(this->pool.loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    const sockaddr_in address = socketAddress(this->target);
    bufferevent_setcb(this->stream, &onReadable, nullptr, &onEvent, this);
    bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    const int failed = bufferevent_socket_connect(this->stream, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    const auto giveUp = [this, alive = this->alive] {
        if (*alive && !this->isConnected) {
            this->finish(CallEnd::NotSent);
        }
    };
    if (failed != 0) {
        bufferevent_free(std::exchange(this->stream, nullptr));
        this->pool.loop.post(giveUp);
        return;
    }
    const int descriptor = bufferevent_getfd(this->stream);
    sendWithoutDelay(descriptor);
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMilliseconds, sizeof(unacknowledgedMilliseconds));
    this->connectTimer = this->pool.loop.schedule(timeout, giveUp);
}

void OutboundConnection::onReadable(bufferevent *, void *self)
{
    static_cast<OutboundConnection *>(self)->handle([](OutboundConnection &connection) {
        connection.read();
    });
}

void OutboundConnection::onEvent(bufferevent *, short what, void *self)
{
    static_cast<OutboundConnection *>(self)->handle([what](OutboundConnection &connection) {
        connection.handleEvent(what);
    });
}

void OutboundConnection::handle(const std::function<void(OutboundConnection &)> &event)
{
    const std::shared_ptr<bool> isAlive = this->alive;
    const bool isHandled = runGuarded("event of a server connection", [this, &event] {
        event(*this);
    });
    if (!isHandled && *isAlive && this->current != 0) {
        runGuarded("closing a server connection", [this] {
            this->finish(CallEnd::Incomplete);
        });
    }
}

void OutboundConnection::handleEvent(short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        this->isConnected = true;
        this->pool.loop.cancel(this->connectTimer);
        return;
    }
    if (this->current == 0) {
        this->pool.closeIdle(*this);
        return;
    }
    const bool isEndOfFile = (what & BEV_EVENT_EOF) != 0;
    const bool endsBody = this->isHeadRead && !this->isSkipping && this->reader.head().framing == BodyFraming::UntilClose;
    if (!this->isConnected) {
        this->finish(CallEnd::NotSent);
    } else if (isEndOfFile && endsBody) {
        this->finishAtEnd();
    } else {
        this->finish(CallEnd::Incomplete);
    }
}

void OutboundConnection::finishAtEnd()
{
    if (this->endTimer != 0) {
        return;
    }
    if (this->isRequestLost()) {
        this->finish(CallEnd::Incomplete);
        return;
    }
    if (!this->hasRequestBody) {
        this->finish(CallEnd::Complete);
        return;
    }
    this->endTimer = this->pool.loop.schedule(resetDelay, [this] {
        this->endTimer = 0;
        this->handle([](OutboundConnection &connection) {
            if (connection.current != 0) {
                connection.finish(connection.isRequestLost() ? CallEnd::Incomplete : CallEnd::Complete);
            }
        });
    });
}

bool OutboundConnection::isRequestLost()
{
    int error = 0;
    socklen_t size = sizeof(error);
    // After the end of the other side, a reset shows in the socket's error only: reading returns the end again.
    const int failed = ::getsockopt(bufferevent_getfd(this->stream), SOL_SOCKET, SO_ERROR, &error, &size);
    return failed != 0 || error != 0 || evbuffer_get_length(bufferevent_get_output(this->stream)) > 0;
}

void OutboundConnection::read()
{
    if (this->current == 0) {
        // Unsolicited data would be parsed as the response to the next request.
        this->pool.closeIdle(*this);
        return;
    }
    const std::shared_ptr<bool> isAlive = this->alive;
    while (*isAlive && this->current != 0 && (this->isHeadRead ? this->readBody() : this->readHead())) { }
}

bool OutboundConnection::readHead()
{
    evbuffer *const input = bufferevent_get_input(this->stream);
    const std::size_t available = evbuffer_get_length(input);
    const ReadProgress progress = this->reader.readHead(input);
    const bool isFinal = progress == ReadProgress::Done && this->reader.head().status >= firstFinalStatus;
    this->interimBytes += isFinal ? 0 : available - evbuffer_get_length(input);
    if (progress == ReadProgress::TooLarge) {
        this->cut("the head is too large");
        return false;
    }
    if (this->interimBytes > maxInterimBytes) {
        this->cut("there are too many bytes before the response");
        return false;
    }
    if (progress == ReadProgress::NeedMore) {
        return false;
    }
    if (progress != ReadProgress::Done) {
        this->finish(CallEnd::Incomplete);
        return false;
    }
    if (!isFinal) {
        this->reader.reset();
        return true;
    }
    this->isHeadRead = true;
    this->isSkipping = this->call.isAnswer && !this->call.isAnswer(this->reader.head());
    this->maxBodyBytes = this->findBodyBound();
    if (this->cutLargeBody()) {
        return false;
    }
    if (!this->isSkipping) {
        const std::shared_ptr<const CallHooks> reported = this->hooks;
        reported->onHead(this->reader.head());
    }
    return true;
}

bool OutboundConnection::readBody()
{
    std::string data;
    evbuffer *const input = bufferevent_get_input(this->stream);
    const std::size_t available = evbuffer_get_length(input);
    const ReadProgress progress = this->reader.readBody(input, data);
    const std::size_t consumed = available - evbuffer_get_length(input);
    this->bodyBytes += data.size();
    this->framingBytes = data.empty() ? this->framingBytes + consumed : 0;
    if (this->cutLargeBody()) {
        return false;
    }
    const std::shared_ptr<bool> isAlive = this->alive;
    if (!data.empty() && !this->isSkipping) {
        const std::shared_ptr<const CallHooks> reported = this->hooks;
        reported->onBody(data);
        if (!*isAlive || this->current == 0) {
            return false;
        }
    }
    if (progress == ReadProgress::NeedMore) {
        return false;
    }
    if (progress != ReadProgress::Done) {
        this->finish(CallEnd::Incomplete);
        return false;
    }
    if (!this->isSkipping) {
        this->finish(CallEnd::Complete);
        return false;
    }
    const bool hasMore = this->reader.head().isPersistent && ++this->skipped < maxSkipped;
    this->startResponse();
    if (!hasMore) {
        this->finish(CallEnd::Incomplete);
    }
    return hasMore;
}

void OutboundConnection::startResponse()
{
    this->reader.reset();
    this->isHeadRead = false;
    this->isSkipping = false;
    this->interimBytes = 0;
    this->bodyBytes = 0;
    this->framingBytes = 0;
}

std::uint64_t OutboundConnection::findBodyBound() const
{
    if (this->isSkipping) {
        return maxSkippedBytes;
    }
    const bool isStream = this->call.isStream && this->call.isStream(this->reader.head());
    return isStream ? std::numeric_limits<std::uint64_t>::max() : this->call.bodyBytes;
}

bool OutboundConnection::cutLargeBody()
{
    if (std::max(this->bodyBytes, this->reader.head().length) > this->maxBodyBytes) {
        this->cut(this->isSkipping ? "the skipped response is too large" : "the body is too large");
        return true;
    }
    if (this->framingBytes > maxFramingBytes) {
        this->cut("the body has too much framing");
        return true;
    }
    return false;
}

void OutboundConnection::cut(std::string_view reason)
{
    if (this->pool.onCut) {
        this->pool.onCut({this->target, reason});
    }
    this->finish(CallEnd::Incomplete);
}

bool OutboundConnection::isReusable() const
{
    // A server may respond before it has read the whole request; it would then parse the next request as the remainder of
    // this one. So the connection is reused only if the request is fully sent and no unsolicited data has arrived.
    const bool isFlushed = evbuffer_get_length(bufferevent_get_output(this->stream)) == 0;
    const bool isEmpty = evbuffer_get_length(bufferevent_get_input(this->stream)) == 0;
    return this->reader.head().isPersistent && isFlushed && isEmpty;
}

void OutboundConnection::finish(CallEnd end)
{
    const bool isKept = end == CallEnd::Complete && this->isReusable();
    const OutboundPool::CallId ended = std::exchange(this->current, 0);
    const std::shared_ptr<const CallHooks> reported = std::exchange(this->hooks, nullptr);
    this->setReading(true);
    this->idleStart = this->pool.clock.now();
    this->keepUntil = this->idleStart;
    if (isKept) {
        const std::optional<std::chrono::seconds> stated = statedKeepAlive(this->reader.head().headers);
        this->keepUntil += stated ? std::chrono::milliseconds(*stated) / 2 : defaultKeepAlive;
    }
    this->pool.finished(ended, isKept);
    if (reported && reported->onEnd) {
        reported->onEnd(end);
    }
}

} // namespace Dogwoodkeel
