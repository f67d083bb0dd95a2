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

/** How long an attempt may go without progress, in each of its phases. */
struct ProgressLimits
{
    /** Until the connection is made. */
    std::chrono::milliseconds connect{1000};
    /** From then until the first byte of the answer. */
    std::chrono::milliseconds firstByte{10000};
    /** From one part of the answer to the next. */
    std::chrono::milliseconds between{2000};
};

/** How an attempt ended. */
enum class AttemptEnd {
    /** The endpoint's whole answer arrived. */
    Complete,
    /** Proved: no connection was made, so nothing was sent. */
    NotConnected,
    /** The connection broke; the request may have run. */
    Broken,
    /** No progress, over a connection that had been idle before: it may have gone silent while new ones work. */
    SilentReused,
    /** No progress, over a connection made for this attempt: the endpoint itself does not get on. */
    SilentFresh,
};

/**
 * One try of a request at one endpoint. Its hooks are told nothing once it has ended or was destroyed, so that a late
 * reply never meets another attempt.
 */
class Attempt
{
public:
    /** What an attempt tells. */
    struct Hooks
    {
        std::function<void(int status, const HttpHeaders &headers)> onHeaders;
        std::function<void(std::string_view data)> onData;
        /** Told once, as the last; the attempt may be destroyed in it. */
        std::function<void(AttemptEnd end)> onEnd;
    };

    Attempt(EventLoop &loop, const Clock &clock, HttpClient &http, ProgressLimits limits);
    ~Attempt();
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    void start(const Address &address, const HttpRequest &request, ConnectionChoice choice, Hooks hooks);

private:
    void progress();
    void watch(std::chrono::milliseconds wait);
    void check();
    std::chrono::milliseconds limit() const;
    void giveUp();
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
