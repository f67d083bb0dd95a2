#pragma once

#include <Tests/Fakes/RawConnection.h>
#include <Tests/ServiceGateway/GatewayBench.h>

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace Dogwoodkeel
{

/** Limits each wait in these tests; no test measures time by it. */
inline constexpr std::chrono::seconds waitLimit{10};

inline void await(const std::function<bool()> &isReached)
{
    const auto end = std::chrono::steady_clock::now() + waitLimit;
    while (!isReached() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    REQUIRE(isReached());
}

/** A gateway that is ready for callers: it has received its configuration and its replicas. */
class RunningGateway
{
public:
    explicit RunningGateway(const std::function<void(GatewayBench &)> &prepare) : host("gateway")
    {
        this->host.ask<bool>([&prepare](GatewayBench &bench) {
            bench.configure(benchConfiguration);
            prepare(bench);
            bench.start();
            return true;
        });
        await([this] {
            return this->isReady();
        });
    }

    bool isReady()
    {
        RawConnection probe(this->address(&Gateway::readyAddress));
        probe.send("GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
        return probe.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200");
    }

    std::string metrics()
    {
        RawConnection reader(this->address(&Gateway::metricsAddress));
        reader.send("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        return reader.readAll();
    }

    Address address(const Address &(Gateway::*which)() const)
    {
        return this->host.ask<Address>([which](GatewayBench &bench) {
            return (bench.gateway.get()->*which)();
        });
    }

    /** Sends one request on a connection of its own. @return all bytes received until the connection was closed */
    std::string call(const std::string &startLine, const std::string &headers = {}, const std::string &body = {})
    {
        RawConnection caller(this->address(&Gateway::callerAddress));
        caller.send(startLine + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Request-Id: q1\r\nX-Deadline-Ms: 20000\r\n"
                    + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        return caller.readAll();
    }

    TaskHost<GatewayBench> host;
};

inline bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

inline void answerWhole(const std::shared_ptr<CallerExchange> &exchange)
{
    exchange->send(200, signedHeaders(exchange), "[" + exchange->body() + "]");
}

inline void streamWhole(const std::shared_ptr<CallerExchange> &exchange)
{
    sendEvents(exchange, 3);
    exchange->end();
}

inline void ignore(const std::shared_ptr<CallerExchange> &)
{
}

} // namespace Dogwoodkeel
