#include <LibBase/SystemClock.h>
#include <LibProxy/CallerServer.h>
#include <LibProxy/OutboundPool.h>
#include <LibTask/TaskHost.h>

#include <doctest/doctest.h>

#include <future>
#include <memory>

using namespace Dogwoodkeel;

namespace
{

/** A pool and a server that keeps its connections open. */
class Pooled
{
public:
    explicit Pooled(EventLoop &loop)
        : server(loop,
                 this->clock,
                 {"127.0.0.1", 0},
                 {},
                 [](const std::shared_ptr<CallerExchange> &exchange) {
                     HeaderList headers;
                     headers.add("Keep-Alive", "timeout=60");
                     exchange->send(200, headers, "good");
                 })
        , pool(loop, this->clock, 4)
    {
    }

    SystemClock clock;
    CallerServer server;
    OutboundPool pool;
};

int callOnce(TaskHost<Pooled> &host)
{
    std::promise<int> status;
    host.post([&status](Pooled &pooled) {
        OutboundCall call;
        call.address = pooled.server.address();
        call.head = "GET / HTTP/1.1\r\nHost: h\r\n";
        call.maxIdleTime = std::chrono::seconds(60);
        pooled.pool.fetch(std::move(call), std::chrono::seconds(20), [&status](const CollectedResponse &response) {
            status.set_value(response.head.status);
        });
    });
    return status.get_future().get();
}

std::uint64_t connectionsMade(TaskHost<Pooled> &host)
{
    return host.ask<std::uint64_t>([](Pooled &pooled) {
        return pooled.pool.connectionsMade();
    });
}

} // namespace

// A replica restarts at the same address. A request on a connection to the previous process gets no response, and a request
// that may run only once cannot be retried.
TEST_CASE("a connection to a stopped server is not reused")
{
    TaskHost<Pooled> host("pool");
    CHECK(callOnce(host) == 200);
    CHECK(callOnce(host) == 200);
    CHECK(connectionsMade(host) == 1);
    host.ask<bool>([](Pooled &pooled) {
        pooled.pool.closeIdle(pooled.server.address());
        return true;
    });
    CHECK(callOnce(host) == 200);
    CHECK(connectionsMade(host) == 2);
}
