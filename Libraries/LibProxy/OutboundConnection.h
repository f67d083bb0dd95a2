#pragma once

#include <LibProxy/OutboundPool.h>

struct bufferevent;

namespace Dogwoodkeel
{

/** One connection to another server: carries one call at a time. */
class OutboundConnection
{
public:
    OutboundConnection(OutboundPool &pool, const Address &address);
    ~OutboundConnection();
    OutboundConnection(const OutboundConnection &) = delete;
    OutboundConnection &operator=(const OutboundConnection &) = delete;

    /** Begin a call; the connection is made if it is not yet. */
    void begin(OutboundPool::CallId id, OutboundCall call, CallHooks hooks);

    /** Tell the call nothing more. */
    void forget();

    const Address &address() const;

    /** @return when the last call on it ended. */
    SteadyTime idleSince() const;

    /**
     * @return until when the other side surely keeps it open while idle: half of what its Keep-Alive header says, or a
     * short while after the last answer if it says nothing. Half, because it counts from when it sent the answer, and the
     * next request has to arrive in time.
     */
    SteadyTime keptUntil() const;

private:
    static void onReadable(bufferevent *stream, void *self);
    static void onEvent(bufferevent *stream, short what, void *self);
    void handle(const std::function<void(OutboundConnection &)> &event);
    void takeEvent(short what);

    void connect(std::chrono::milliseconds timeout);
    void read();
    bool readHead();
    bool readBody();
    void finish(CallEnd end);
    bool isReusable() const;

    OutboundPool &pool;
    Address target;
    bufferevent *stream = nullptr;
    TimerId connectTimer = 0;
    bool isConnected = false;
    MessageReader reader;
    OutboundPool::CallId current = 0;
    OutboundCall call;
    /** Held beside the connection while one of them runs: it may cancel the call, and must not be destroyed by that. */
    std::shared_ptr<const CallHooks> hooks;
    bool isHeadRead = false;
    bool isSkipping = false;
    int skipped = 0;
    SteadyTime idleStart{};
    SteadyTime keepUntil{};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
