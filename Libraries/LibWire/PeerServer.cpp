#include <LibWire/PeerServer.h>

#include <LibTask/EventGuard.h>
#include <LibTask/EventLoop.h>
#include <LibTask/Sockets.h>
#include <LibWire/Generated/Messages.h>

#include <event2/listener.h>

#include <stdexcept>
#include <utility>

namespace Dogwoodkeel
{

PeerServer::PeerServer(EventLoop &loop, const Address &address, PeerSecurity security, TrafficMeter *traffic)
    : loop(loop), security(std::move(security)), traffic(traffic)
{
    const sockaddr_in target = socketAddress(address);
    this->listener = evconnlistener_new_bind(loop.base(),
                                             &PeerServer::onAccept,
                                             this,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                             -1,
                                             reinterpret_cast<const sockaddr *>(&target),
                                             sizeof(target));
    if (this->listener == nullptr) {
        throw std::runtime_error("cannot listen for other nodes at " + address.toString());
    }
    this->listenAddress = boundAddress(evconnlistener_get_fd(this->listener));
}

PeerServer::~PeerServer()
{
    *this->alive = false;
    evconnlistener_free(this->listener);
}

const Address &PeerServer::address() const
{
    return this->listenAddress;
}

void PeerServer::onAccept(evconnlistener *, int descriptor, sockaddr *, int, void *self)
{
    runGuarded("new connection of another node", [self, descriptor] {
        static_cast<PeerServer *>(self)->accept(descriptor);
    });
}

void PeerServer::accept(int descriptor)
{
    const LinkId id = ++this->lastLink;
    PeerLink::Hooks hooks{
        .onFrame =
            [this, id](const Frame &frame) {
                this->receive(id, frame);
            },
        .onClosed =
            [this, id] {
                this->drop(id);
            },
    };
    this->links.emplace(id, PeerLink::accept(this->loop, descriptor, this->security, std::move(hooks)));
}

void PeerServer::receive(LinkId id, const Frame &frame)
{
    countFrame(this->traffic, frame.number, TrafficMeter::Direction::Received, frame.payload);
    const auto send
        = [this, id, correlation = frame.correlation, alive = this->alive](MessageNumber number, std::string payload) {
              if (!*alive) {
                  return;
              }
              const auto link = this->links.find(id);
              if (link != this->links.end()) {
                  countFrame(this->traffic, number, TrafficMeter::Direction::Sent, payload);
                  link->second->send({correlation, number, std::move(payload)});
              }
          };
    if (frame.number == LinkProbe::number) {
        send(frame.number, frame.payload);
        return;
    }
    if (this->answer(frame.number, frame.payload, send)) {
        return;
    }
    // The frame is authentic, so a node of another version sent it. Its call fails as with a lost connection.
    log(LogLevel::Warning,
        "unknown or malformed request of another node, connection closed",
        {{"number", static_cast<std::int64_t>(frame.number)}});
    this->drop(id);
}

bool PeerServer::answer(MessageNumber number, const std::string &payload, const SendPayload &send) const
{
    const auto handler = this->handlers.find(number);
    return handler != this->handlers.end() && handler->second(payload, send);
}

void PeerServer::drop(LinkId id)
{
    const auto link = this->links.find(id);
    if (link == this->links.end()) {
        return;
    }
    // Destroyed only after the callback of the link has returned.
    std::shared_ptr<PeerLink> dropped = std::move(link->second);
    this->links.erase(link);
    this->loop.post([dropped] {});
}

} // namespace Dogwoodkeel
