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
    /** No connection was established, so the request was certainly not sent. */
    NotSent,
    /** The connection was lost, or the response was invalid; the server may have executed the request. */
    Incomplete,
};

/** A request to another server. */
struct OutboundCall
{
    Address address;
    /** Request line and headers, without Content-Length and the final empty line. */
    std::string head;
    std::string body;
    /**
     * Maximum idle time of a connection that is reused for this call; zero requires a new connection. The other side may
     * close an idle connection just as it is reused; it is then unknown whether the request was executed.
     */
    std::chrono::milliseconds maxIdleTime{0};
    /** Timeout for establishing a new connection. */
    std::chrono::milliseconds connectTimeout{300};
    /**
     * @return whether a response belongs to this call. Others are skipped: they are late or duplicate responses to an
     * earlier request on the same connection. If not set, every response belongs to the call.
     */
    std::function<bool(const MessageHead &)> isAnswer;
    /** Maximum size of the response's body; a larger response ends the call as Incomplete. */
    std::size_t bodyBytes = 16777216;
    /**
     * @return whether the body of this response may be of any size, because the caller of the pool holds only parts of it. If
     * not set, every body is bounded.
     */
    std::function<bool(const MessageHead &)> isStream;
};

/** A response that exceeded one of its bounds, so that its connection was closed. */
struct CutResponse
{
    /** The server that sent it. */
    Address address;
    /** Which bound it exceeded. */
    std::string_view reason;
};

/** Callbacks of a call. None is called after onEnd or after the call is cancelled. */
struct CallHooks
{
    std::function<void(const MessageHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(CallEnd)> onEnd;
};

/** A response with its complete body. */
struct CollectedResponse
{
    CallEnd end = CallEnd::Incomplete;
    MessageHead head;
    std::string body;
};

/** Sends HTTP/1.1 requests over pooled connections. Used on one event loop only. */
class OutboundPool
{
public:
    using CallId = std::uint64_t;

    /**
     * @param idlePerAddress maximum number of idle connections per address
     * @param onCut called for each response that exceeded a bound, before its call ends
     */
    OutboundPool(EventLoop &loop,
                 const Clock &clock,
                 std::size_t idlePerAddress,
                 std::function<void(const CutResponse &)> onCut = nullptr);
    ~OutboundPool();
    OutboundPool(const OutboundPool &) = delete;
    OutboundPool &operator=(const OutboundPool &) = delete;

    /** Sends a request. The hooks are never called within this call. */
    CallId start(OutboundCall call, CallHooks hooks);

    /** When a call without progress is cancelled and ends as Incomplete. */
    struct FetchTimeouts
    {
        /** Until the first byte of the response. */
        std::chrono::milliseconds response{0};
        /** Without a further byte of it. A response may take several times this long: the link may be slow, or full. */
        std::chrono::milliseconds silence{0};
    };

    /**
     * Sends a request and collects the response.
     * @param progressed called whenever a part of the response has arrived
     */
    CallId fetch(OutboundCall call,
                 const FetchTimeouts &timeouts,
                 std::function<void(CollectedResponse)> done,
                 std::function<void()> progressed = nullptr);

    /** The same with one timeout for the first byte of the response and for each silence. */
    CallId fetch(OutboundCall call, std::chrono::milliseconds timeout, std::function<void(CollectedResponse)> done);

    /** Cancels a call and closes its connection. Its hooks are not called any more. */
    void cancel(CallId id);

    /**
     * Pauses or resumes reading the response of a call, so that the server has to keep what the caller of the pool cannot pass
     * on. No end of the connection is noticed during a pause. Does nothing if the call has ended.
     */
    void setReading(CallId id, bool isReading);

    /**
     * @param maxIdleTime maximum idle time of a connection to be counted
     * @return the addresses with an idle connection that a call can reuse now
     */
    std::vector<Address> connectedAddresses(std::chrono::milliseconds maxIdleTime) const;

    /** Closes the idle connections to an address whose server has stopped. */
    void closeIdle(const Address &address);

    /** @return the number of calls that have not ended. */
    std::size_t openCalls() const;

    /** @return the number of connections created so far. */
    std::uint64_t connectionsMade() const;

private:
    friend class OutboundConnection;
    struct PendingFetch;

    using Connections = std::list<std::unique_ptr<OutboundConnection>>;

    void watchFetch(const std::shared_ptr<PendingFetch> &fetch, std::chrono::milliseconds timeout);
    bool isUsable(const OutboundConnection &idle, std::chrono::milliseconds maxIdleTime) const;
    std::unique_ptr<OutboundConnection> acquireIdle(const OutboundCall &call);
    void finished(CallId id, bool isReusable);
    void freeLater(std::unique_ptr<OutboundConnection> connection);
    void closeIdle(const OutboundConnection &connection);
    void sweep();

    EventLoop &loop;
    const Clock &clock;
    std::size_t idlePerAddress;
    std::function<void(const CutResponse &)> onCut;
    std::map<Address, Connections> idle;
    std::unordered_map<CallId, std::unique_ptr<OutboundConnection>> active;
    /** Connections that are freed after the current event. */
    Connections released;
    CallId lastCall = 0;
    std::uint64_t made = 0;
    TimerId sweepTimer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
