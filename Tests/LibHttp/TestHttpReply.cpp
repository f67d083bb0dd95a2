#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpServer.h>
#include <LibTask/EventLoop.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

// A caller disconnects during a streamed response. Its connection is paused while the response is produced, and libevhtp calls
// no hook when a paused connection is lost; the server would go on to produce the whole response, for an engine up to the
// last token. The reply must report the disconnect soon after the next writes.
TEST_CASE("a reply reports that the caller has disconnected while it is streamed")
{
    constexpr int maxWrites = 2000;
    EventLoop loop;
    std::shared_ptr<HttpReply> open;
    HttpServer server(loop, {"127.0.0.1", 0}, {1024}, [&](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
        loop.schedule(std::chrono::milliseconds(5), [&open, reply] {
            reply->start(200, {});
            open = reply;
        });
    });
    HttpClient client(loop);
    HttpClient::ExchangeId exchange = 0;
    exchange = client.start(server.address(),
                            {.method = "GET", .path = "/"},
                            ConnectionChoice::Fresh,
                            {.onHeaders =
                                 [&](int, const HttpHeaders &) {
                                     client.cancel(exchange);
                                 },
                             .onData = [](std::string_view) {},
                             .onEnd = [](ExchangeEnd) {}});
    int writes = 0;
    std::function<void()> write = [&] {
        const bool isOver = open && !open->isConnected();
        if (isOver || ++writes == maxWrites) {
            loop.stop();
            return;
        }
        if (open) {
            open->write("token ");
        }
        loop.schedule(std::chrono::milliseconds(1), write);
    };
    write();
    loop.run();
    REQUIRE(open);
    CHECK_FALSE(open->isConnected());
    open.reset();
}
