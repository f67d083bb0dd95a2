#pragma once

#include <LibBase/Address.h>
#include <LibBase/Scheduler.h>
#include <LibTask/EventLoop.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

struct bufferevent;

namespace Dogwoodkeel
{

/** Result of an attempt to connect to an address. */
enum class ConnectOutcome {
    /** A process listens at the address. */
    Connected,
    /** The VM is reachable, but no process listens at the address. */
    Refused,
    /** Timeout or no network route: the state of the process is unknown. */
    Unanswered,
};

/** Checks whether servers accept connections; closes each connection immediately. Used on one event loop only. */
class ConnectProbe
{
public:
    using Done = std::function<void(ConnectOutcome)>;

    explicit ConnectProbe(EventLoop &loop);
    ~ConnectProbe();
    ConnectProbe(const ConnectProbe &) = delete;
    ConnectProbe &operator=(const ConnectProbe &) = delete;

    /** Starts an attempt to connect. `done` is never called within this call, nor after the probe is destroyed. */
    void start(const Address &target, std::chrono::milliseconds timeout, Done done);

private:
    struct Attempt
    {
        ConnectProbe *probe = nullptr;
        std::uint64_t number = 0;
        bufferevent *stream = nullptr;
        TimerId timer = 0;
        Done done;
    };

    static void onEvent(bufferevent *stream, short what, void *attempt);
    void finish(std::uint64_t number, ConnectOutcome outcome);
    void free(Attempt &attempt);

    EventLoop &loop;
    std::map<std::uint64_t, std::unique_ptr<Attempt>> attempts;
    std::uint64_t lastAttempt = 0;
};

} // namespace Dogwoodkeel
