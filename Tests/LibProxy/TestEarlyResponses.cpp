#include <LibBase/SystemClock.h>
#include <LibProxy/OutboundPool.h>
#include <LibTask/TaskHost.h>

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <future>
#include <memory>
#include <string>
#include <thread>

using namespace Dogwoodkeel;

namespace
{

constexpr std::size_t uploadBytes = 32'000'000;
const std::string partOfAnswer = "HTTP/1.1 200 OK\r\n\r\npart";

struct Outbound
{
    explicit Outbound(EventLoop &loop) : pool(loop, this->clock, 4)
    {
    }

    SystemClock clock;
    OutboundPool pool;
};

/** When a server closes a connection whose request it has not read whole, which resets the connection. */
enum class Close {
    AtOnce,
    AfterCall,
};

/** A server for one connection that answers after it has read some of the request, and then ends its side of the connection. */
class EarlyServer
{
public:
    EarlyServer(std::size_t readBytes, Close close) : listener(::socket(AF_INET, SOCK_STREAM, 0)), close(close)
    {
        // The client writes to a connection that may be closed.
        std::signal(SIGPIPE, SIG_IGN);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        REQUIRE(::bind(this->listener, reinterpret_cast<const sockaddr *>(&address), size) == 0);
        REQUIRE(::listen(this->listener, 1) == 0);
        ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &size);
        this->port = ntohs(address.sin_port);
        this->thread = std::thread([this, readBytes] {
            this->serve(readBytes);
        });
    }

    ~EarlyServer()
    {
        this->callEnded.set_value();
        this->thread.join();
        ::close(this->listener);
    }

    EarlyServer(const EarlyServer &) = delete;
    EarlyServer &operator=(const EarlyServer &) = delete;

    Address address() const
    {
        return {"127.0.0.1", this->port};
    }

    /** Waits until the connection is closed. */
    void awaitClosed()
    {
        this->closed.get_future().wait();
    }

private:
    void serve(std::size_t readBytes)
    {
        const int connection = ::accept(this->listener, nullptr, nullptr);
        std::array<char, 65536> buffer{};
        for (std::size_t received = 0; received < readBytes;) {
            const ssize_t count = ::recv(connection, buffer.data(), std::min(buffer.size(), readBytes - received), 0);
            if (count <= 0) {
                break;
            }
            received += static_cast<std::size_t>(count);
        }
        ::send(connection, partOfAnswer.data(), partOfAnswer.size(), MSG_NOSIGNAL);
        ::shutdown(connection, SHUT_WR);
        if (this->close == Close::AfterCall) {
            this->callEnded.get_future().wait();
        }
        ::close(connection);
        this->closed.set_value();
    }

    int listener;
    Close close;
    std::uint16_t port = 0;
    std::promise<void> callEnded;
    std::promise<void> closed;
    std::thread thread;
};

CollectedResponse callWithBody(const Address &address, std::size_t bodyBytes)
{
    TaskHost<Outbound> host("early");
    const auto done = std::make_shared<std::promise<CollectedResponse>>();
    host.post([&address, bodyBytes, done](Outbound &outbound) {
        OutboundCall call;
        call.address = address;
        call.head = "POST / HTTP/1.1\r\nHost: h\r\n";
        call.body = std::string(bodyBytes, 'x');
        outbound.pool.fetch(std::move(call), std::chrono::seconds(20), [done](CollectedResponse response) {
            done->set_value(std::move(response));
        });
    });
    return done->get_future().get();
}

} // namespace

// A replica answered a long upload at once, without a length, and broke off: the part that it had sent was taken for its answer.
TEST_CASE("an answer without a length that ends before the request is sent is incomplete")
{
    for (const Close close : {Close::AtOnce, Close::AfterCall}) {
        const EarlyServer server(100, close);
        CHECK(callWithBody(server.address(), uploadBytes).end == CallEnd::Incomplete);
    }
}

// The same with an upload that the buffers of the operating system take whole.
TEST_CASE("an answer without a length that ends with a reset is incomplete")
{
    constexpr std::size_t bufferedBytes = 50'000;
    EarlyServer server(100, Close::AtOnce);
    TaskHost<Outbound> host("early");
    const auto ended = std::make_shared<std::promise<CallEnd>>();
    // The client reads nothing until the reset has arrived.
    const auto id = host.ask<OutboundPool::CallId>([&server, ended](Outbound &outbound) {
        OutboundCall call;
        call.address = server.address();
        call.head = "POST / HTTP/1.1\r\nHost: h\r\n";
        call.body = std::string(bufferedBytes, 'x');
        CallHooks hooks;
        hooks.onHead = [](const MessageHead &) {};
        hooks.onBody = [](std::string_view) {};
        hooks.onEnd = [ended](CallEnd end) {
            ended->set_value(end);
        };
        const OutboundPool::CallId started = outbound.pool.start(std::move(call), std::move(hooks));
        outbound.pool.setReading(started, false);
        return started;
    });
    server.awaitClosed();
    host.ask<bool>([id](Outbound &outbound) {
        outbound.pool.setReading(id, true);
        return true;
    });
    CHECK(ended->get_future().get() == CallEnd::Incomplete);
}

TEST_CASE("an answer without a length that ends after the request was read is complete")
{
    const std::size_t bodyBytes = 1000;
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n";
    const EarlyServer server(head.size() + bodyBytes, Close::AfterCall);
    const CollectedResponse response = callWithBody(server.address(), bodyBytes);
    CHECK(response.end == CallEnd::Complete);
    CHECK(response.body == "part");
}
