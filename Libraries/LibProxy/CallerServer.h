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

/** Accepts and serves the connections of callers on one event loop. */
class CallerServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<CallerExchange> &)>;

    /**
     * @param address where to listen; port 0 selects a free port
     * @param handler called with each complete request
     * @param onDecision called after each decision about a slow caller was carried out
     * @throws std::runtime_error if the address cannot be bound
     */
    CallerServer(EventLoop &loop,
                 const Clock &clock,
                 const Address &address,
                 const CallerLimits &limits,
                 Handler handler,
                 std::function<void(const UnreadDataBudget::Decision &)> onDecision = nullptr);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /** @return the address on which the server listens. */
    const Address &address() const;

    /** Changes the limits. They apply to open connections too, except the maximum size of a head. */
    void setLimits(const CallerLimits &limits);

    /** Closes each connection after its next response, which carries `Connection: close`. New connections are still accepted. */
    void closeAfterAnswers();

    /** Stops accepting connections and closes idle ones. */
    void stopAccepting();

    /** Answers the requests whose answer has not begun; what their handler sends later is dropped. */
    void answerOpenRequests(int status);

    /** @return the number of connections on which a request is being read or answered, or an answer is not yet read. */
    std::size_t busyConnections() const;

    /** @return the unread response data of all callers. */
    const UnreadDataBudget &unreadData() const;

private:
    static void onAccept(evconnlistener *listener, int descriptor, sockaddr *peer, int size, void *self);
    void accept(int descriptor);
    void sweep();
    void recordUnread(std::uint64_t number, std::size_t bytes, bool isStreaming);
    void applyDecisions();
    void apply(const UnreadDataBudget::Decision &decision);

    EventLoop &loop;
    const Clock &clock;
    CallerLimits limits;
    Handler handler;
    std::function<void(const UnreadDataBudget::Decision &)> onDecision;
    UnreadDataBudget budget;
    bool isDecisionPosted = false;
    /** Set while a caller is paused. */
    TimerId pauseTimer = 0;
    evconnlistener *listener = nullptr;
    Address listenAddress;
    bool isClosing = false;
    TimerId sweepTimer = 0;
    std::uint64_t lastConnection = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<CallerConnection>> connections;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
