#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpServer.h>
#include <LibTask/EventLoop.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

// A caller hangs up in the middle of a streamed answer. Its connection is paused while the answer is made, and libevhtp
// keeps a paused connection that breaks without calling any hook: the server would go on making the answer, for an engine
// that means to the last token. The reply must tell that the caller is gone soon after the next writes.
TEST_CASE("a reply tells that the caller has hung up while it is streamed")
{
    constexpr int mostWrites = 2000;
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
        if (isOver || ++writes == mostWrites) {
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
