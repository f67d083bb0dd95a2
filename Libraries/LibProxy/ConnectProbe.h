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

/** What an attempt to connect shows of the process that listened at an address. */
enum class ConnectOutcome {
    /** Something listens there. */
    Connected,
    /** The VM answers, and nothing listens there. */
    Refused,
    /** No answer in time, or no path: nothing is known. */
    Unanswered,
};

/** Connects to servers and closes the connections at once. Lives on one event loop. */
class ConnectProbe
{
public:
    using Done = std::function<void(ConnectOutcome)>;

    explicit ConnectProbe(EventLoop &loop);
    ~ConnectProbe();
    ConnectProbe(const ConnectProbe &) = delete;
    ConnectProbe &operator=(const ConnectProbe &) = delete;

    /** Try to connect; the outcome never comes from inside this call, nor after this object is gone. */
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
