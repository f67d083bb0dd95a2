#pragma once

#include <LibProxy/OutboundPool.h>

struct bufferevent;

namespace Dogwoodkeel
{

/** A connection to another server. Carries one call at a time. */
class OutboundConnection
{
public:
    OutboundConnection(OutboundPool &pool, const Address &address);
    ~OutboundConnection();
    OutboundConnection(const OutboundConnection &) = delete;
    OutboundConnection &operator=(const OutboundConnection &) = delete;

    /** Starts a call; connects first if necessary. */
    void begin(OutboundPool::CallId id, OutboundCall call, CallHooks hooks);

    /** Detaches the current call; its hooks are not called any more. */
    void detachCall();

    /** Pauses or resumes reading the response of the current call. */
    void setReading(bool isReading);

    const Address &address() const;

    /** @return when the last call on this connection ended. */
    SteadyTime idleSince() const;

    /**
     * @return until when the server is expected to keep the idle connection open: half the timeout in its Keep-Alive header,
     * or a short default without one. Half, because the server counts from when it sent its response, and the next request
     * has to arrive before the timeout.
     */
    SteadyTime keptUntil() const;

private:
    static void onReadable(bufferevent *stream, void *self);
    static void onEvent(bufferevent *stream, short what, void *self);
    void handle(const std::function<void(OutboundConnection &)> &event);
    void handleEvent(short what);

    void connect(std::chrono::milliseconds timeout);
    void read();
    bool readHead();
    bool readBody();
    /** Prepares for the head of the next response to the same request. */
    void startResponse();
    /** @return the maximum size of the body that follows the current head. */
    std::uint64_t findBodyBound() const;
    /** Ends the call if the body exceeds a bound. @return whether it does */
    bool cutLargeBody();
    /** Reports that the response exceeded a bound, and ends the call. */
    void cut(std::string_view reason);
    /** Ends the call whose response ended with its connection, once a reset that follows the end would have arrived. */
    void finishAtEnd();
    /**
     * @return whether a part of the request is unsent, or the connection was reset since the last call: the server has not read
     *         all of it
     */
    bool isRequestLost();
    void finish(CallEnd end);
    bool isReusable() const;

    OutboundPool &pool;
    Address target;
    bufferevent *stream = nullptr;
    TimerId connectTimer = 0;
    TimerId endTimer = 0;
    bool isConnected = false;
    MessageReader reader;
    OutboundPool::CallId current = 0;
    OutboundCall call;
    bool hasRequestBody = false;
    /** Shared, because a hook that cancels the call must not be destroyed while it runs. */
    std::shared_ptr<const CallHooks> hooks;
    bool isHeadRead = false;
    bool isSkipping = false;
    int skipped = 0;
    /** Size of the interim responses and empty lines before the head. */
    std::size_t interimBytes = 0;
    std::uint64_t bodyBytes = 0;
    std::uint64_t maxBodyBytes = 0;
    /** Bytes of chunk framing since the last data of the body. */
    std::size_t framingBytes = 0;
    SteadyTime idleStart{};
    SteadyTime keepUntil{};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
