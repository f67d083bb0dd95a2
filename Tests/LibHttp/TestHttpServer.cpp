#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpServer.h>
#include <LibTask/TaskHost.h>
#include <Tests/Fakes/RawConnection.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <thread>
#include <utility>

using namespace Dogwoodkeel;

namespace
{

constexpr std::uint64_t bodyLimit = 1000;

HttpLimits echoLimits()
{
    HttpLimits limits{bodyLimit};
    limits.headerTimeout = std::chrono::milliseconds(500);
    return limits;
}

/** A server that responds with the method, target and body that it parsed. */
class EchoServer
{
public:
    explicit EchoServer(EventLoop &loop)
        : server(loop, {"127.0.0.1", 0}, echoLimits(), [](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
            reply->send({200, {}, "[" + request.method + ' ' + request.target() + ' ' + request.body + ']'});
        })
    {
    }

    const Address &address() const
    {
        return this->server.address();
    }

private:
    HttpServer server;
};

Address addressOf(TaskHost<EchoServer> &host)
{
    return host.ask<Address>([](EchoServer &server) {
        return server.address();
    });
}

std::string bodyOf(std::size_t size)
{
    return std::string(size, 'x');
}

} // namespace

// A caller posts a form to a path without a query. libevhtp parses such a body as the query, so a plain service would receive
// a query that the caller did not send.
TEST_CASE("A form in the body does not become the query")
{
    TaskHost<EchoServer> host("http");
    const std::string form = "Host: a\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: 7\r\n\r\nkey=now";
    RawConnection without(addressOf(host));
    without.send("POST /lookup HTTP/1.1\r\n" + form);
    CHECK(without.readUntil("]").find("[POST /lookup key=now]") != std::string::npos);
    RawConnection with(addressOf(host));
    with.send("POST /lookup?console=snes HTTP/1.1\r\n" + form);
    CHECK(with.readUntil("]").find("[POST /lookup?console=snes key=now]") != std::string::npos);
}

TEST_CASE("A body larger than the limit is refused by its stated length, before it is sent")
{
    TaskHost<EchoServer> host("http");
    RawConnection caller(addressOf(host));
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n");
    const std::string answer = caller.readUntil("not_run");
    CHECK(answer.starts_with("HTTP/1.1 413 "));
    CHECK(answer.find("\"run\":\"not_run\"") != std::string::npos);
}

TEST_CASE("A chunked body that exceeds the limit is refused")
{
    TaskHost<EchoServer> host("http");
    RawConnection caller(addressOf(host));
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    caller.send("3e8\r\n" + bodyOf(1000) + "\r\n");
    caller.send("1\r\nx\r\n0\r\n\r\n");
    CHECK(caller.readAll().starts_with("HTTP/1.1 413 "));
}

// The caller sends all of a large body before it reads. If the server closed the connection with a part of the body unread,
// the kernel would reset it and discard the error response; the caller would see a lost connection and retry.
TEST_CASE("A caller that sends its whole body first still reads the refusal")
{
    TaskHost<EchoServer> host("http");
    RawConnection caller(addressOf(host));
    constexpr std::size_t large = 5000000;
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(large) + "\r\n\r\n");
    CHECK(caller.send(bodyOf(large)));
    const std::string answer = caller.readAll();
    CHECK(answer.starts_with("HTTP/1.1 413 "));
    CHECK(answer.ends_with("\n"));
}

TEST_CASE("A body as large as the limit is accepted, whole and in chunks")
{
    TaskHost<EchoServer> host("http");
    RawConnection whole(addressOf(host));
    whole.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n" + bodyOf(1000));
    CHECK(whole.readUntil("]").starts_with("HTTP/1.1 200 "));
    RawConnection chunked(addressOf(host));
    chunked.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n" + bodyOf(1000) + "\r\n0\r\n\r\n");
    CHECK(chunked.readUntil("]").starts_with("HTTP/1.1 200 "));
}

TEST_CASE("Too many and too large headers are refused")
{
    TaskHost<EchoServer> host("http");
    std::string many = "GET / HTTP/1.1\r\nHost: a\r\n";
    for (int i = 0; i < 150; ++i) {
        many += "X-" + std::to_string(i) + ": y\r\n";
    }
    RawConnection caller(addressOf(host));
    caller.send(many + "\r\n");
    CHECK(caller.readAll().starts_with("HTTP/1.1 431 "));
}

TEST_CASE("A body whose length is ambiguous is refused")
{
    TaskHost<EchoServer> host("http");
    for (const char *const headers : {"Content-Length: 3\r\nContent-Length: 4\r\n",
                                      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                                      "Transfer-Encoding: gzip\r\n"}) {
        RawConnection caller(addressOf(host));
        caller.send(std::string("POST / HTTP/1.1\r\nHost: a\r\n") + headers + "\r\n0\r\n\r\n");
        caller.endSending();
        const std::string answer = caller.readAll();
        CHECK((answer.empty() || answer.starts_with("HTTP/1.1 400 ")));
    }
}

TEST_CASE("Pipelined requests are answered in order")
{
    TaskHost<EchoServer> host("http");
    RawConnection caller(addressOf(host));
    caller.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxy"
                "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string answers = caller.readUntil("/3 ]");
    const std::size_t first = answers.find("[GET /1 ]");
    const std::size_t second = answers.find("[POST /2 xy]");
    const std::size_t third = answers.find("[GET /3 ]");
    CHECK(first < second);
    CHECK(second < third);
    CHECK(third != std::string::npos);
}

TEST_CASE("HEAD is answered with the length only")
{
    TaskHost<EchoServer> host("http");
    RawConnection caller(addressOf(host));
    caller.send("HEAD /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string answers = caller.readUntil("[GET /b ]");
    CHECK(answers.find("Content-Length: 10\r\n") != std::string::npos);
    CHECK(answers.find("\r\n\r\nHTTP/1.1 200") != std::string::npos);
    CHECK(answers.find("[HEAD") == std::string::npos);
}

TEST_CASE("A caller that expects 100 Continue receives it or is refused")
{
    TaskHost<EchoServer> host("http");
    RawConnection small(addressOf(host));
    small.send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CHECK(small.readUntil("\r\n\r\n").starts_with("HTTP/1.1 100 "));
    small.send("xy");
    CHECK(small.readUntil("]").find("[POST / xy]") != std::string::npos);
    RawConnection large(addressOf(host));
    large.send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2000\r\n\r\n");
    CHECK(large.readUntil("not_run").starts_with("HTTP/1.1 413 "));
}

TEST_CASE("After arbitrary input the server still answers the next caller")
{
    TaskHost<EchoServer> host("http");
    const Address address = addressOf(host);
    CHECK(rc::check([&address] {
        const auto lines = *rc::gen::container<std::vector<std::string>>(
            rc::gen::element<std::string>("GET / HTTP/1.1\r\n",
                                          "POST /x?a=%zz HTTP/1.1\r\n",
                                          "Content-Length: -1\r\n",
                                          "Content-Length: 99999999999999999999\r\n",
                                          "Transfer-Encoding: chunked\r\n",
                                          "ffffffffffffffff\r\n",
                                          "0\r\n",
                                          ": \r\n",
                                          "a:\r\n b\r\n",
                                          "\r\n",
                                          "\n",
                                          "xyz",
                                          "OPTIONS * HTTP/1.0\r\n",
                                          "GET  HTTP/9.9\r\n",
                                          std::string("\0\x01\xff", 3)));
        std::string bytes;
        for (const std::string &line : lines) {
            bytes += line;
        }
        bytes += *rc::gen::string<std::string>();
        RawConnection caller(address);
        caller.send(bytes);
        caller.endSending();
        caller.readAll();
        RawConnection next(address);
        next.send("GET /alive HTTP/1.1\r\nHost: a\r\n\r\n");
        RC_ASSERT(next.readUntil("]").find("[GET /alive ]") != std::string::npos);
    }));
}

namespace
{

/** A server that streams request bodies and responds with the number of bytes received. */
class StreamServer
{
public:
    explicit StreamServer(EventLoop &loop)
        : loop(loop)
        , server(
              loop,
              {"127.0.0.1", 0},
              limits(),
              [](const HttpRequest &, const std::shared_ptr<HttpReply> &) {},
              [this](const HttpRequest &) {
                  return BodyAdmission{maxBytes, [this](const HttpRequest &head, const std::shared_ptr<HttpReply> &reply) {
                                           return this->admit(head, reply);
                                       }};
              })
    {
    }

    const Address &address() const
    {
        return this->server.address();
    }

    static constexpr std::uint64_t maxBytes = 3000000;
    bool isFlooding() const
    {
        return !this->isFloodCut;
    }

    bool isAborted = false;
    /** Bytes received while the body was paused: only data that had already been read from the connection. */
    std::size_t whilePaused = 0;

private:
    static HttpLimits limits()
    {
        HttpLimits limits{bodyLimit};
        limits.unreadBytes = 100000;
        return limits;
    }

    BodyHooks admit(const HttpRequest &head, const std::shared_ptr<HttpReply> &reply)
    {
        if (head.path == "/flood") {
            reply->start(200, {});
            this->flood(reply);
            return {};
        }
        this->isSlow = head.path == "/slow";
        this->seen = 0;
        return {.onData =
                    [this, reply](std::string_view data) {
                        this->onData(data, reply);
                    },
                .onEnd =
                    [this, reply] {
                        reply->send({200, {}, "[" + std::to_string(this->seen) + "]"});
                    },
                .onAborted =
                    [this] {
                        this->isAborted = true;
                    }};
    }

    void onData(std::string_view data, const std::shared_ptr<HttpReply> &reply)
    {
        this->seen += data.size();
        if (!this->isSlow) {
            return;
        }
        this->whilePaused += this->isPaused ? data.size() : 0;
        reply->pauseBody();
        if (!std::exchange(this->isPaused, true)) {
            this->loop.schedule(std::chrono::milliseconds(1), [this, reply] {
                this->isPaused = false;
                reply->resumeBody();
            });
        }
    }

    void flood(const std::shared_ptr<HttpReply> &reply)
    {
        reply->write(bodyOf(10000));
        this->isFloodCut = !reply->isConnected();
        if (!this->isFloodCut) {
            this->loop.post([this, reply] {
                this->flood(reply);
            });
        }
    }

    EventLoop &loop;
    std::size_t seen = 0;
    bool isSlow = false;
    bool isPaused = false;
    bool isFloodCut = false;
    HttpServer server;
};

Address addressOf(TaskHost<StreamServer> &host)
{
    return host.ask<Address>([](StreamServer &server) {
        return server.address();
    });
}

} // namespace

// A caller sends a large body faster than its consumer can store it. The server pauses reading until it is resumed, so that
// the remaining data is not buffered in the memory of the node.
TEST_CASE("A streamed body is paused while its consumer is slow")
{
    TaskHost<StreamServer> host("http");
    RawConnection caller(addressOf(host));
    caller.send("POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n");
    CHECK(caller.send(bodyOf(2000000)));
    CHECK(caller.readUntil("]").find("[2000000]") != std::string::npos);
    const auto whilePaused = host.ask<std::size_t>([](StreamServer &server) {
        return server.whilePaused;
    });
    CHECK(whilePaused < 200000);
}

TEST_CASE("A streamed chunked body over its limit is refused, and its consumer is notified")
{
    TaskHost<StreamServer> host("http");
    RawConnection caller(addressOf(host));
    caller.send("POST /fast HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 4; ++i) {
        caller.send("f4240\r\n" + bodyOf(1000000) + "\r\n");
    }
    caller.send("0\r\n\r\n");
    CHECK(caller.readAll().starts_with("HTTP/1.1 413 "));
    CHECK(host.ask<bool>([](StreamServer &server) {
        return server.isAborted;
    }));
}

TEST_CASE("The consumer is notified of a caller that disconnects within its body")
{
    TaskHost<StreamServer> host("http");
    {
        RawConnection caller(addressOf(host));
        caller.send("POST /fast HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nxyz");
    }
    bool isAborted = false;
    for (int i = 0; i < 10000 && !isAborted; ++i) {
        isAborted = host.ask<bool>([](StreamServer &server) {
            return server.isAborted;
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(isAborted);
}

// A caller requests a long stream and reads none of it. The unread data is buffered in this process, and without a limit
// would grow to the whole response for each such caller. The connection is closed once the limit is exceeded.
TEST_CASE("A caller that reads nothing is disconnected")
{
    TaskHost<StreamServer> host("http");
    RawConnection caller(addressOf(host));
    caller.send("GET /flood HTTP/1.1\r\nHost: a\r\n\r\n");
    bool isOpen = true;
    for (int i = 0; i < 10000 && isOpen; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        isOpen = host.ask<bool>([](StreamServer &server) {
            return server.isFlooding();
        });
    }
    CHECK(!isOpen);
}

// A caller sends its headers so slowly that each byte alone is within the timeout. Without a limit on their total time, each
// such connection would stay open forever.
TEST_CASE("A connection whose headers never end is closed")
{
    TaskHost<EchoServer> host("http");
    RawConnection caller(addressOf(host));
    caller.send("GET /a HTTP/1.1\r\n");
    CHECK(caller.readAll().empty());
    CHECK(caller.isClosed());
}
