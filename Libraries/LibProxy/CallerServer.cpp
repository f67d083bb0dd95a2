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
/** How often paused callers are checked; small compared with the pause that a caller may have. */
constexpr std::chrono::milliseconds pauseCheckInterval{100};
/**
 * Size of the send buffer of a caller's connection; the kernel allows twice as much. Its default of up to 4 MB would hold data
 * in the memory of the VM that is not counted as unread. This size still carries 25 MB/s at a round trip of 5 ms.
 */
constexpr int sendBufferBytes = 131072;
/**
 * TCP user timeout. A caller whose VM lost power or network access never acknowledges data; without this limit its
 * connection and the buffered data would be kept for many minutes. Longer than any pause on a working network.
 */
constexpr unsigned int unacknowledgedMilliseconds = 10000;

} // namespace

CallerServer::CallerServer(EventLoop &loop,
                           const Clock &clock,
                           const Address &address,
                           const CallerLimits &limits,
                           Handler handler,
                           std::function<void(const UnreadDataBudget::Decision &)> onDecision)
    : loop(loop)
    , clock(clock)
    , limits(limits)
    , handler(std::move(handler))
    , onDecision(std::move(onDecision))
    , budget(clock, limits.unread)
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
    this->loop.cancel(this->pauseTimer);
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
    this->budget.setLimits(limits.unread);
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

void CallerServer::answerOpenRequests(int status)
{
    for (const auto &[number, connection] : this->connections) {
        connection->answerOpenRequest(status);
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

const UnreadDataBudget &CallerServer::unreadData() const
{
    return this->budget;
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
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &sendBufferBytes, sizeof(sendBufferBytes));
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
        .onUnread =
            [this, number](std::size_t bytes, bool isStreaming) {
                this->recordUnread(number, bytes, isStreaming);
            },
        .onClosed =
            [this, number] {
                this->budget.remove(number);
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

void CallerServer::recordUnread(std::uint64_t number, std::size_t bytes, bool isStreaming)
{
    if (!this->budget.record(number, bytes, isStreaming) || std::exchange(this->isDecisionPosted, true)) {
        return;
    }
    // The connection is still writing, so it must not be closed here.
    this->loop.post([this, alive = this->alive] {
        if (*alive) {
            this->isDecisionPosted = false;
            this->applyDecisions();
        }
    });
}

void CallerServer::applyDecisions()
{
    for (const UnreadDataBudget::Decision &decision : this->budget.decide()) {
        runGuarded("decision about a slow caller", [this, &decision] {
            this->apply(decision);
        });
    }
    if (this->budget.pausedCallers() > 0 && this->pauseTimer == 0) {
        this->pauseTimer = this->loop.schedule(pauseCheckInterval, [this] {
            this->pauseTimer = 0;
            this->applyDecisions();
        });
    }
}

void CallerServer::apply(const UnreadDataBudget::Decision &decision)
{
    const auto found = this->connections.find(decision.caller);
    if (found == this->connections.end()) {
        return;
    }
    switch (decision.action) {
    case UnreadDataBudget::Action::Pause:
        found->second->setPaused(true);
        break;
    case UnreadDataBudget::Action::Resume:
        found->second->setPaused(false);
        break;
    case UnreadDataBudget::Action::DisconnectPaused:
    case UnreadDataBudget::Action::DisconnectLargest:
        found->second->close();
        break;
    }
    if (this->onDecision) {
        this->onDecision(decision);
    }
}

} // namespace Dogwoodkeel
