#pragma once

#include <LibBase/Clock.h>
#include <LibHttp/HttpClient.h>
#include <LibTask/EventLoop.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

namespace Dogwoodkeel
{

/** Limits how long an attempt may go without progress, in each of its phases. */
struct ProgressLimits
{
    /** Until the connection is established. */
    std::chrono::milliseconds connect{1000};
    /** From then until the first byte of the answer. */
    std::chrono::milliseconds firstByte{10000};
    /** From one part of the answer to the next. */
    std::chrono::milliseconds between{2000};
};

/** How an attempt ended. */
enum class AttemptEnd {
    /** The endpoint's complete answer arrived. */
    Complete,
    /** No connection was established, so certainly nothing was sent. */
    NotConnected,
    /** The connection was lost; the request may have run. */
    ConnectionLost,
    /** No progress over a connection that had been idle before; new connections may still work. */
    UnresponsiveReused,
    /** No progress over a connection made for this attempt: the endpoint itself is unresponsive. */
    UnresponsiveFresh,
};

/**
 * Runs one attempt of a request at one endpoint. No hook is called after it has ended or was destroyed, so that a
 * late reply never reaches another attempt.
 */
class Attempt
{
public:
    /** Callbacks of an attempt. */
    struct Hooks
    {
        std::function<void(int status, const HttpHeaders &headers)> onHeaders;
        std::function<void(std::string_view data)> onData;
        /** Called once, as the last hook; the attempt may be destroyed in it. */
        std::function<void(AttemptEnd end)> onEnd;
    };

    Attempt(EventLoop &loop, const Clock &clock, HttpClient &http, ProgressLimits limits);
    ~Attempt();
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    void start(const Address &address, const HttpRequest &request, ConnectionChoice choice, Hooks hooks);

private:
    void progress();
    void scheduleCheck(std::chrono::milliseconds wait);
    void check();
    std::chrono::milliseconds limit() const;
    void endUnresponsive();
    void end(AttemptEnd how);

    EventLoop &loop;
    const Clock &clock;
    HttpClient &http;
    ProgressLimits limits;
    Address address;
    Hooks hooks;
    HttpClient::ExchangeId exchange = 0;
    TimerId timer = 0;
    SteadyTime lastProgress{};
    bool isConnected = false;
    bool hasBytes = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
