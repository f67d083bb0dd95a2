#pragma once

#include <LibBase/Address.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpTypes.h>
#include <LibTask/EventLoop.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** What one caller saw of one request. */
struct RequestOutcome
{
    int status = 0;
    /** Whether the whole right answer came, in one unbroken piece. */
    bool isWhole = false;
    bool hasRetryAfter = false;
    std::chrono::nanoseconds total{0};
    /** Longest time without a sign of the answer, from the sending on. */
    std::chrono::nanoseconds longestGap{0};
};

/**
 * Sends requests at the times of a Poisson process, whatever becomes of the earlier ones, to a number of nodes in turn:
 * callers do not slow down because a system does.
 */
class OpenLoad
{
public:
    /** What is sent. */
    struct Kind
    {
        double perSecond = 0;
        std::chrono::milliseconds deadline{1000};
        /** Makes request number n, without its deadline. */
        std::function<HttpRequest(std::uint64_t)> make;
        /** @return whether a body of status 200 is the whole right answer to request number n */
        std::function<bool(std::uint64_t, const std::string &)> isWhole;
    };

    /** @param targets nodes, taken in turn */
    OpenLoad(EventLoop &loop, std::vector<Address> targets, Kind kind, std::uint64_t seed);

    /** Send from now on, for a time. @param done told when the last is answered or its deadline is long past */
    void start(std::chrono::milliseconds duration, std::function<void()> done);

    const std::vector<RequestOutcome> &outcomes() const;

private:
    void next();
    void send();
    void ended();

    EventLoop &loop;
    HttpClient client;
    std::vector<Address> targets;
    Kind kind;
    std::mt19937_64 random;
    std::chrono::steady_clock::time_point due;
    std::chrono::steady_clock::time_point end;
    std::function<void()> done;
    std::uint64_t sent = 0;
    std::uint64_t open = 0;
    bool isSending = false;
    std::vector<RequestOutcome> results;
};

} // namespace Dogwoodkeel
