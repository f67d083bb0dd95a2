#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibProxy/MessageReader.h>
#include <LibTask/EventLoop.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Dogwoodkeel
{

class OutboundConnection;

/** How a call ended. */
enum class CallEnd {
    /** The whole response arrived. */
    Complete,
    /** Proved: no connection was made, so the request never left. */
    NotSent,
    /** The connection broke, or what came is no response to this request; the request may have been carried out. */
    Incomplete,
};

/** A request to another server. */
struct OutboundCall
{
    Address address;
    /** Request line and headers, without the empty line and the body's length. */
    std::string head;
    std::string body;
    /**
     * How long a connection may have been idle to be used for this call; zero takes a new one. An idle connection can be
     * closed by the other side at the very moment it is used, and it then cannot be known whether the request was run.
     */
    std::chrono::milliseconds maxIdleTime{0};
    /** Within which a new connection must be made. */
    std::chrono::milliseconds connectTimeout{300};
    /**
     * @return whether a response answers this call. One that does not is passed over: it is the late or second answer to
     * a request that was sent before on the same connection. Not set: every response does.
     */
    std::function<bool(const MessageHead &)> isAnswer;
};

/** What a call tells. Nothing more comes after onEnd, nor after a cancel. */
struct CallHooks
{
    std::function<void(const MessageHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(CallEnd)> onEnd;
};

/** A response that was collected whole. */
struct CollectedResponse
{
    CallEnd end = CallEnd::Incomplete;
    MessageHead head;
    std::string body;
};

/** Sends HTTP/1.1 requests over connections that are kept for reuse. Lives on one event loop. */
class OutboundPool
{
public:
    using CallId = std::uint64_t;

    /** @param idlePerAddress idle connections kept to one address */
    OutboundPool(EventLoop &loop, const Clock &clock, std::size_t idlePerAddress);
    ~OutboundPool();
    OutboundPool(const OutboundPool &) = delete;
    OutboundPool &operator=(const OutboundPool &) = delete;

    /** Send a request; the answer comes by the hooks, never from inside this call. */
    CallId start(OutboundCall call, CallHooks hooks);

    /**
     * Send a request and collect the response.
     * @param timeout after which the call is cancelled and ends as Incomplete
     */
    CallId fetch(OutboundCall call, std::chrono::milliseconds timeout, std::function<void(CollectedResponse)> done);

    /** Drop a call and close its connection; its hooks are told nothing more. */
    void cancel(CallId id);

    /**
     * @param maxIdleTime how long a connection may have been idle to be of use
     * @return the addresses to which there is an idle connection that a call may use now
     */
    std::vector<Address> connectedAddresses(std::chrono::milliseconds maxIdleTime) const;

    /** Close the idle connections to an address: who listened there is over. */
    void closeIdle(const Address &address);

    /** @return connections made so far. */
    std::uint64_t connectionsMade() const;

private:
    friend class OutboundConnection;
    using Connections = std::list<std::unique_ptr<OutboundConnection>>;

    bool isUsable(const OutboundConnection &idle, std::chrono::milliseconds maxIdleTime) const;
    std::unique_ptr<OutboundConnection> takeIdle(const OutboundCall &call);
    void finished(CallId id, bool isReusable);
    void freeLater(std::unique_ptr<OutboundConnection> connection);
    void closeIdle(const OutboundConnection &connection);
    void sweep();

    EventLoop &loop;
    const Clock &clock;
    std::size_t idlePerAddress;
    std::map<Address, Connections> idle;
    std::unordered_map<CallId, std::unique_ptr<OutboundConnection>> active;
    CallId lastCall = 0;
    std::uint64_t made = 0;
    TimerId sweepTimer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
