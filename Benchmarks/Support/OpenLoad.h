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

/** The outcome of one request, as its caller observes it. */
struct RequestOutcome
{
    int status = 0;
    /** Whether the complete and correct answer arrived over one connection. */
    bool isWhole = false;
    bool hasRetryAfter = false;
    std::chrono::nanoseconds total{0};
    /** Longest time in which no part of the answer arrived, counted from the sending on. */
    std::chrono::nanoseconds longestGap{0};
};

/**
 * Generates an open load: sends requests to a number of nodes in turn, at the times of a Poisson process that does not depend
 * on earlier requests, because callers do not slow down when the system does.
 */
class OpenLoad
{
public:
    /** The kind of requests that are sent. */
    struct Kind
    {
        double perSecond = 0;
        std::chrono::milliseconds deadline{1000};
        /** Makes request number n, without its deadline. */
        std::function<HttpRequest(std::uint64_t)> make;
        /** @return whether a body of status 200 is the complete and correct answer to request number n */
        std::function<bool(std::uint64_t, const std::string &)> isWhole;
    };

    /** @param targets nodes that are used in turn */
    OpenLoad(EventLoop &loop, std::vector<Address> targets, Kind kind, std::uint64_t seed);

    /** Sends requests for a time. @param done called when the last request is answered or has timed out */
    void start(std::chrono::milliseconds duration, std::function<void()> done);

    const std::vector<RequestOutcome> &outcomes() const;

private:
    void next();
    void send();
    void finishIfIdle();

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
