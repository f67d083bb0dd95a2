#include <LibBase/SystemClock.h>
#include <LibProxy/CallerServer.h>
#include <LibTask/TaskHost.h>
#include <Tests/Fakes/RawConnection.h>

#include <doctest/doctest.h>

#include <memory>
#include <stdexcept>
#include <string>

using namespace Dogwoodkeel;

namespace
{

constexpr std::size_t largeBytes = 300000;
/** More than the buffers of the operating system take. */
constexpr std::size_t hugeBytes = 20'000'000;

/** A server whose handler throws for each request for /bad/, and sends a large answer to each for /large/. */
class Served
{
public:
    explicit Served(EventLoop &loop)
        : server(loop, this->clock, {"127.0.0.1", 0}, {}, [this](const std::shared_ptr<CallerExchange> &exchange) {
            if (exchange->head().target == "/bad/") {
                throw std::runtime_error("a fault of the handler");
            }
            ++this->handled;
            const std::string &target = exchange->head().target;
            const std::size_t bytes = target == "/huge/" ? hugeBytes : largeBytes;
            exchange->send(200, {}, target == "/huge/" || target == "/large/" ? std::string(bytes, 'x') : "good");
        })
    {
    }

    int handled = 0;
    SystemClock clock;
    CallerServer server;
};

} // namespace

// A bug in the handler makes one request throw. Only that caller's connection is closed; other callers, including those whose
// connections are already open, are not affected.
TEST_CASE("a request whose handler throws closes only its own connection")
{
    TaskHost<Served> host("server");
    const Address address = host.ask<Address>([](Served &served) {
        return served.server.address();
    });
    RawConnection good(address);
    good.send("GET /first/ HTTP/1.1\r\nHost: h\r\n\r\n");
    good.readUntil("good");
    RawConnection bad(address);
    bad.send("GET /bad/ HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(bad.readAll().empty());
    good.send("GET /second/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(good.readAll().ends_with("good"));
}

// A caller pipelines requests and reads no answer; the node would hold all of the answers.
TEST_CASE("requests of a caller with much unread data wait until it has read, and are all answered")
{
    TaskHost<Served> host("server");
    const Address address = host.ask<Address>([](Served &served) {
        return served.server.address();
    });
    constexpr int requests = 50;
    RawConnection caller(address);
    std::string pipelined;
    for (int request = 1; request < requests; ++request) {
        pipelined.append("GET /large/ HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    caller.send(pipelined + "GET /large/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    caller.readUntil("HTTP/1.1 200");
    // Half of the answers are more than the buffers of the operating system take.
    CHECK(host.ask<int>([](Served &served) {
        return served.handled;
    }) < requests / 2);
    CHECK(caller.readAll().size() > requests * largeBytes);
    CHECK(host.ask<std::size_t>([](Served &served) {
        return served.server.unreadData().total();
    }) == 0);
}

// A caller read a large answer slowly while its node stopped: the connection was closed as idle with most of the answer unsent.
TEST_CASE("a server that stops sends the rest of its answers before it closes their connections")
{
    TaskHost<Served> host("server");
    const Address address = host.ask<Address>([](Served &served) {
        return served.server.address();
    });
    RawConnection caller(address);
    caller.send("GET /huge/ HTTP/1.1\r\nHost: h\r\n\r\n");
    caller.readUntil("\r\n\r\n");
    const std::size_t busy = host.ask<std::size_t>([](Served &served) {
        served.server.stopAccepting();
        return served.server.busyConnections();
    });
    CHECK(busy == 1);
    CHECK(caller.readBytes(hugeBytes).size() >= hugeBytes);
    const std::size_t busyAfterwards = host.ask<std::size_t>([](Served &served) {
        served.server.stopAccepting();
        return served.server.busyConnections();
    });
    CHECK(busyAfterwards == 0);
    CHECK(caller.readAll().size() >= hugeBytes);
}
