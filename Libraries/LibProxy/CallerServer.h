#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibProxy/CallerConnection.h>
#include <LibTask/EventLoop.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

struct evconnlistener;
struct sockaddr;

namespace Dogwoodkeel
{

/** Takes the connections of callers on one event loop. */
class CallerServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<CallerExchange> &)>;

    /**
     * @param address where to listen; port 0 takes a free one
     * @param handler gets each whole request
     * @throws std::runtime_error if it cannot listen there
     */
    CallerServer(EventLoop &loop, const Clock &clock, const Address &address, const CallerLimits &limits, Handler handler);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /** @return where it listens. */
    const Address &address() const;

    /** Change the limits; they hold for open connections too, but for the size of a head. */
    void setLimits(const CallerLimits &limits);

    /** From now on tell each caller with its answer that the connection closes; new connections are still taken. */
    void closeAfterAnswers();

    /** Take no new connections, and close those that are idle. */
    void stopAccepting();

    /** @return connections on which a request is being read or answered. */
    std::size_t busyConnections() const;

private:
    static void onAccept(evconnlistener *listener, int descriptor, sockaddr *peer, int size, void *self);
    void accept(int descriptor);
    void sweep();

    EventLoop &loop;
    const Clock &clock;
    CallerLimits limits;
    Handler handler;
    evconnlistener *listener = nullptr;
    Address listenAddress;
    bool isClosing = false;
    TimerId sweepTimer = 0;
    std::uint64_t lastConnection = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<CallerConnection>> connections;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
