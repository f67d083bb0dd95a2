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

/** A server whose handler throws for each request for /bad/. */
class Served
{
public:
    explicit Served(EventLoop &loop)
        : server(loop, this->clock, {"127.0.0.1", 0}, {}, [](const std::shared_ptr<CallerExchange> &exchange) {
            if (exchange->head().target == "/bad/") {
                throw std::runtime_error("a fault of the handler");
            }
            exchange->send(200, {}, "good");
        })
    {
    }

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
