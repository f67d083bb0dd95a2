#include <LibWire/PeerLink.h>

#include <LibBase/Encoding.h>
#include <LibTask/EventGuard.h>
#include <LibTask/EventLoop.h>
#include <LibTask/Sockets.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t nonceBytes = 16;
constexpr std::size_t nonceDigits = nonceBytes * 2;

} // namespace

PeerLink::PeerLink(Side side, PeerSecurity security, Hooks hooks)
    : side(side), security(std::move(security)), hooks(std::move(hooks)), ownNonce(randomHex(nonceBytes))
{
}

PeerLink::~PeerLink()
{
    *this->alive = false;
    if (this->stream != nullptr) {
        bufferevent_free(this->stream);
    }
}

std::unique_ptr<PeerLink> PeerLink::connect(EventLoop &loop, const Address &address, PeerSecurity security, Hooks hooks)
{
    std::unique_ptr<PeerLink> link(new PeerLink(Side::Client, std::move(security), std::move(hooks)));
    sockaddr_in target = socketAddress(address);
    // Deferred callbacks: a refused connection is reported from the loop, not from inside this call.
    bufferevent *const event = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    link->start(event);
    bufferevent_socket_connect(event, reinterpret_cast<sockaddr *>(&target), sizeof(target));
    return link;
}

std::unique_ptr<PeerLink> PeerLink::accept(EventLoop &loop, int descriptor, PeerSecurity security, Hooks hooks)
{
    std::unique_ptr<PeerLink> link(new PeerLink(Side::Server, std::move(security), std::move(hooks)));
    link->start(bufferevent_socket_new(loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    sendWithoutDelay(descriptor);
    link->opened = true;
    return link;
}

void PeerLink::start(bufferevent *event)
{
    this->stream = event;
    bufferevent_setcb(event, &PeerLink::onRead, nullptr, &PeerLink::onEvent, this);
    bufferevent_enable(event, EV_READ | EV_WRITE);
    bufferevent_write(event, this->ownNonce.data(), this->ownNonce.size());
}

void PeerLink::send(const Frame &frame)
{
    if (this->closed) {
        return;
    }
    if (!this->writer) {
        this->queuedFrames.push_back(frame);
        return;
    }
    const std::string bytes = this->writer->write(frame);
    bufferevent_write(this->stream, bytes.data(), bytes.size());
}

std::uint64_t PeerLink::bytesReceived() const
{
    return this->received;
}

bool PeerLink::isReceivingFrame() const
{
    return this->reader && this->reader->hasPartialFrame();
}

bool PeerLink::wasOpen() const
{
    return this->opened;
}

void PeerLink::onRead(bufferevent *, void *self)
{
    auto *const link = static_cast<PeerLink *>(self);
    const std::shared_ptr<bool> stillAlive = link->alive;
    const bool isHandled = runGuarded("bytes of another node", [link] {
        link->receive();
    });
    if (!isHandled && *stillAlive) {
        runGuarded("end of a link to another node", [link] {
            link->close();
        });
    }
}

void PeerLink::onEvent(bufferevent *event, short what, void *self)
{
    auto *const link = static_cast<PeerLink *>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        sendWithoutDelay(bufferevent_getfd(event));
        link->opened = true;
        return;
    }
    runGuarded("end of a link to another node", [link] {
        link->close();
    });
}

bool PeerLink::receiveNonce()
{
    evbuffer *const input = bufferevent_get_input(this->stream);
    if (evbuffer_get_length(input) < nonceDigits) {
        return false;
    }
    std::string peerNonce(nonceDigits, '\0');
    evbuffer_remove(input, peerNonce.data(), peerNonce.size());
    const bool isClient = this->side == Side::Client;
    const std::string nonces = isClient ? this->ownNonce + peerNonce : peerNonce + this->ownNonce;
    MessageKey clientKey = this->security.siteKey.derive("frames of the client " + nonces);
    MessageKey serverKey = this->security.siteKey.derive("frames of the server " + nonces);
    this->writer.emplace(isClient ? clientKey : serverKey);
    this->reader.emplace(isClient ? serverKey : clientKey, this->security.frameBytes);
    for (const Frame &frame : std::exchange(this->queuedFrames, {})) {
        this->send(frame);
    }
    return true;
}

void PeerLink::receive()
{
    this->received += evbuffer_get_length(bufferevent_get_input(this->stream));
    if (!this->reader && !this->receiveNonce()) {
        return;
    }
    evbuffer *const input = bufferevent_get_input(this->stream);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    this->reader->feed(bytes);
    const std::shared_ptr<bool> stillAlive = this->alive;
    while (std::optional<Frame> frame = this->reader->next()) {
        this->hooks.onFrame(std::move(*frame));
        if (!*stillAlive || this->closed) {
            return;
        }
    }
    if (this->reader->isBroken()) {
        this->close();
    }
}

void PeerLink::close()
{
    if (this->closed) {
        return;
    }
    this->closed = true;
    bufferevent_disable(this->stream, EV_READ | EV_WRITE);
    this->hooks.onClosed();
}

} // namespace Dogwoodkeel
