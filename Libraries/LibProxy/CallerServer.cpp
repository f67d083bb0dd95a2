#include <LibProxy/CallerServer.h>

#include <LibTask/EventGuard.h>
#include <LibTask/Sockets.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <stdexcept>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

namespace
{

constexpr int listenBacklog = 1024;
/** How often connections are checked for timeouts, which are of the order of seconds. */
constexpr std::chrono::milliseconds sweepInterval{500};
/**
 * TCP user timeout. A caller whose VM lost power or network access never acknowledges data; without this limit its
 * connection and the buffered data would be kept for many minutes. Longer than any pause on a working network.
 */
constexpr unsigned int unacknowledgedMilliseconds = 10000;

} // namespace

CallerServer::CallerServer(
    EventLoop &loop, const Clock &clock, const Address &address, const CallerLimits &limits, Handler handler)
    : loop(loop), clock(clock), limits(limits), handler(std::move(handler))
{
    const sockaddr_in target = socketAddress(address);
    this->listener = evconnlistener_new_bind(loop.base(),
                                             &onAccept,
                                             this,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                             listenBacklog,
                                             reinterpret_cast<const sockaddr *>(&target),
                                             sizeof(target));
    if (this->listener == nullptr) {
        throw std::runtime_error("cannot listen at " + address.toString());
    }
    this->listenAddress = boundAddress(evconnlistener_get_fd(this->listener));
    this->sweep();
}

CallerServer::~CallerServer()
{
    *this->alive = false;
    this->loop.cancel(this->sweepTimer);
    if (this->listener != nullptr) {
        evconnlistener_free(this->listener);
    }
}

const Address &CallerServer::address() const
{
    return this->listenAddress;
}

void CallerServer::setLimits(const CallerLimits &limits)
{
    this->limits = limits;
}

void CallerServer::closeAfterAnswers()
{
    this->isClosing = true;
}

void CallerServer::stopAccepting()
{
    this->isClosing = true;
    if (this->listener != nullptr) {
        evconnlistener_free(std::exchange(this->listener, nullptr));
    }
    for (const auto &[number, connection] : this->connections) {
        connection->closeIfIdle();
    }
}

std::size_t CallerServer::busyConnections() const
{
    std::size_t busy = 0;
    for (const auto &[number, connection] : this->connections) {
        busy += connection->isBusy() ? 1 : 0;
    }
    return busy;
}

void CallerServer::onAccept(evconnlistener *, int descriptor, sockaddr *, int, void *self)
{
    runGuarded("accepting a caller connection", [self, descriptor] {
        static_cast<CallerServer *>(self)->accept(descriptor);
    });
}

void CallerServer::accept(int descriptor)
{
    sendWithoutDelay(descriptor);
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMilliseconds, sizeof(unacknowledgedMilliseconds));
    bufferevent *const stream = bufferevent_socket_new(this->loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
    if (stream == nullptr) {
        evutil_closesocket(descriptor);
        return;
    }
    const std::uint64_t number = ++this->lastConnection;
    CallerConnection::Hooks hooks{
        .limits = [this]() -> const CallerLimits & {
            return this->limits;
        },
        .isClosing =
            [this] {
                return this->isClosing;
            },
        .onRequest = this->handler,
        .onClosed =
            [this, number] {
                this->loop.post([this, number, alive = this->alive] {
                    if (*alive) {
                        this->connections.erase(number);
                    }
                });
            },
    };
    this->connections.emplace(number, std::make_unique<CallerConnection>(this->clock, stream, std::move(hooks)));
}

void CallerServer::sweep()
{
    for (const auto &[number, connection] : this->connections) {
        connection->checkTimeouts();
    }
    this->sweepTimer = this->loop.schedule(sweepInterval, [this] {
        this->sweep();
    });
}

} // namespace Dogwoodkeel
