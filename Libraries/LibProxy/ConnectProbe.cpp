#include <LibProxy/ConnectProbe.h>

#include <LibTask/EventGuard.h>
#include <LibTask/Sockets.h>

#include <event2/bufferevent.h>
#include <event2/util.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

ConnectOutcome outcomeOfError(int error)
{
    switch (error) {
    case ETIMEDOUT:
    case EHOSTUNREACH:
    case ENETUNREACH:
    case EHOSTDOWN:
    case ENETDOWN:
        return ConnectOutcome::Unanswered;
    default:
        return ConnectOutcome::Refused;
    }
}

} // namespace

ConnectProbe::ConnectProbe(EventLoop &loop) : loop(loop)
{
}

ConnectProbe::~ConnectProbe()
{
    for (const auto &[number, attempt] : this->attempts) {
        this->free(*attempt);
    }
}

void ConnectProbe::start(const Address &target, std::chrono::milliseconds timeout, Done done)
{
    const std::uint64_t number = ++this->lastAttempt;
    Attempt &attempt = *this->attempts.emplace(number, std::make_unique<Attempt>()).first->second;
    attempt.probe = this;
    attempt.number = number;
    attempt.done = std::move(done);
    attempt.stream = bufferevent_socket_new(this->loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    const sockaddr_in address = socketAddress(target);
    bufferevent_setcb(attempt.stream, nullptr, nullptr, &onEvent, &attempt);
    const int failed = bufferevent_socket_connect(attempt.stream, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    // No socket could be created locally, so the state of the other side is unknown.
    attempt.timer = this->loop.schedule(failed != 0 ? std::chrono::milliseconds(0) : timeout, [this, number] {
        this->finish(number, ConnectOutcome::Unanswered);
    });
}

void ConnectProbe::onEvent(bufferevent *, short what, void *attempt)
{
    const int error = EVUTIL_SOCKET_ERROR();
    const Attempt &ended = *static_cast<Attempt *>(attempt);
    const bool isConnected = (what & BEV_EVENT_CONNECTED) != 0;
    runGuarded("result of a connection probe", [&ended, isConnected, error] {
        ended.probe->finish(ended.number, isConnected ? ConnectOutcome::Connected : outcomeOfError(error));
    });
}

void ConnectProbe::finish(std::uint64_t number, ConnectOutcome outcome)
{
    const auto found = this->attempts.find(number);
    if (found == this->attempts.end()) {
        return;
    }
    const std::unique_ptr<Attempt> attempt = std::move(found->second);
    this->attempts.erase(found);
    this->free(*attempt);
    attempt->done(outcome);
}

void ConnectProbe::free(Attempt &attempt)
{
    this->loop.cancel(attempt.timer);
    bufferevent_free(attempt.stream);
}

} // namespace Dogwoodkeel
