#include <LibTask/Sockets.h>
#include <Tests/ServiceGateway/RunningGateway.h>

#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

constexpr int slots = 400;
const std::string largeEvent = "data: " + std::string(16000, 'x') + "\n\n";

/** A caller with a small receive buffer that reads nothing or a byte at a time. */
class SlowCaller
{
public:
    explicit SlowCaller(const Address &address) : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        constexpr int receiveBufferBytes = 4096;
        setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        const sockaddr_in target = socketAddress(address);
        REQUIRE(connect(this->descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) == 0);
        const std::string request = "GET /o/endless HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 20000\r\n\r\n";
        REQUIRE(send(this->descriptor, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size()));
    }

    ~SlowCaller()
    {
        close(this->descriptor);
    }

    SlowCaller(const SlowCaller &) = delete;
    SlowCaller &operator=(const SlowCaller &) = delete;

    void readByte()
    {
        char byte = 0;
        static_cast<void>(recv(this->descriptor, &byte, 1, MSG_DONTWAIT));
    }

private:
    int descriptor;
};

/** A replica that sends streams without end as fast as they are read, and other streams event by event. */
class EndlessReplica
{
public:
    EndlessReplica(EventLoop &loop, const Clock &clock)
        : loop(loop)
        , server(loop, clock, {"127.0.0.1", 0}, patientLimits(), [this](const std::shared_ptr<CallerExchange> &exchange) {
            exchange->begin(200, signedHeaders(exchange));
            if (exchange->head().target != "/o/endless") {
                this->stepwise.push_back(exchange);
                return;
            }
            this->endless.push_back(exchange);
            exchange->onPause([this, number = this->endless.size() - 1](bool) {
                this->pump(this->endless[number]);
            });
            this->pump(exchange);
        })
    {
    }

    static CallerLimits patientLimits()
    {
        CallerLimits limits;
        limits.unread.maxPause = std::chrono::hours(1);
        limits.unread.totalBytes = 1 << 30;
        return limits;
    }

    /** Writes one event in each turn of the loop until the stream is paused. */
    void pump(const std::shared_ptr<CallerExchange> &exchange)
    {
        if (exchange->isOver() || exchange->isPaused()) {
            return;
        }
        exchange->write(largeEvent);
        this->loop.post([this, exchange] {
            this->pump(exchange);
        });
    }

    std::size_t openStreams() const
    {
        std::size_t open = 0;
        for (const std::shared_ptr<CallerExchange> &exchange : this->endless) {
            open += exchange->isOver() ? 0 : 1;
        }
        return open;
    }

    EventLoop &loop;
    std::vector<std::shared_ptr<CallerExchange>> endless;
    std::vector<std::shared_ptr<CallerExchange>> stepwise;
    CallerServer server;
};

/** A gateway in front of one replica that has slots for all callers. */
class SlowPeersBench
{
public:
    explicit SlowPeersBench(const std::function<void(GatewaySettings &)> &change)
        : gateway([this, &change](GatewayBench &bench) {
            std::string text = benchConfiguration;
            const std::string few = R"("slots":2)";
            bench.configure(text.replace(text.find(few), few.size(), R"("slots":400)"));
            bench.slots = slots;
            bench.settings.gateway.memoryMb = 120;
            change(bench.settings.gateway);
            this->replica = std::make_unique<EndlessReplica>(bench.loop, bench.clock);
            bench.registerReplica("m", "llm", this->replica->server.address(), "ready");
        })
    {
    }

    ~SlowPeersBench()
    {
        this->onLoop<bool>([this](GatewayBench &bench) {
            bench.gateway.reset();
            this->replica.reset();
            return true;
        });
    }

    template <typename Result>
    Result onLoop(const std::function<Result(GatewayBench &)> &action)
    {
        return this->gateway.host.ask<Result>(action);
    }

    void startSlowCallers(int count)
    {
        for (int caller = 0; caller < count; ++caller) {
            this->slow.push_back(std::make_unique<SlowCaller>(this->gateway.address(&Gateway::callerAddress)));
        }
    }

    std::size_t openStreams()
    {
        for (std::size_t caller = 0; caller < this->slow.size(); caller += 2) {
            this->slow[caller]->readByte();
        }
        return this->onLoop<std::size_t>([this](GatewayBench &) {
            return this->replica->openStreams();
        });
    }

    std::size_t startedStreams()
    {
        return this->onLoop<std::size_t>([this](GatewayBench &) {
            return this->replica->endless.size();
        });
    }

    /** Sends the next event of the only stream that is not endless. */
    void sendEvent(int number)
    {
        this->onLoop<bool>([this, number](GatewayBench &) {
            const std::string text = std::to_string(number);
            this->replica->stepwise.front()->write("id: " + text + "\ndata: t" + text + "\n\n");
            return true;
        });
    }

    double metric(const std::string &series)
    {
        const std::string text = this->gateway.metrics();
        const std::size_t position = text.find(series);
        return position == std::string::npos ? 0 : std::strtod(text.c_str() + position + series.size(), nullptr);
    }

    std::unique_ptr<EndlessReplica> replica;
    RunningGateway gateway;
    std::vector<std::unique_ptr<SlowCaller>> slow;
};

} // namespace

// Callers that do not read use up the memory of a small node, or keep its event loop from serving the others.
TEST_CASE("300 slow callers on a node of 120 MB do not affect the stream of another caller")
{
    SlowPeersBench bench([](GatewaySettings &settings) {
        settings.unreadPause = std::chrono::hours(1);
    });
    RawConnection sound(bench.gateway.address(&Gateway::callerAddress));
    sound.send("GET /o/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nX-Deadline-Ms: 29000\r\n\r\n");
    await([&bench] {
        return bench.onLoop<bool>([&bench](GatewayBench &) {
            return bench.replica->stepwise.size() == 1;
        });
    });
    bench.sendEvent(1);
    sound.readUntil("data: t1\n\n");
    bench.startSlowCallers(300);
    await([&bench] {
        return bench.startedStreams() == 300;
    });
    bench.sendEvent(2);
    sound.readUntil("data: t2\n\n");
    // A caller that is still connected has at least 256 kB unread, so no more than 120 of them fit into a quarter of 120 MB.
    await([&bench] {
        return bench.openStreams() <= 120;
    });
    CHECK(bench.metric("dogwoodkeel_events_total{event=\"slow caller disconnected for its share of memory\"} ") >= 180);
    bench.sendEvent(3);
    const std::string received = sound.readUntil("data: t3\n\n");
    for (const char *const part : {"data: t1\n\n", "data: t2\n\n", "data: t3\n\n"}) {
        CHECK(received.find(part) != std::string::npos);
        CHECK(received.find(part) == received.rfind(part));
    }
}

// A slow caller occupies a slot of a replica until its deadline, although the replica cannot send.
TEST_CASE("a caller for which a stream is paused too long is disconnected and its call is cancelled")
{
    SlowPeersBench bench([](GatewaySettings &) {});
    bench.startSlowCallers(10);
    await([&bench] {
        return bench.startedStreams() == 10;
    });
    await([&bench] {
        return bench.openStreams() == 0;
    });
    CHECK(bench.metric("dogwoodkeel_events_total{event=\"slow caller disconnected after a pause\"} ") == 10);
    CHECK(bench.metric("dogwoodkeel_events_total{event=\"request repeated\"} ") == 0);
}

// A replica sends a whole answer without end, and the node holds it until its memory is used up. The request may have run.
TEST_CASE("a whole answer beyond its bound is answered as a failure, or repeated if the request is idempotent")
{
    RunningGateway gateway([](GatewayBench &bench) {
        bench.settings.gateway.answerBytes = 65536;
        bench.addReplica("a", "api", [](const std::shared_ptr<CallerExchange> &exchange) {
            exchange->begin(200, signedHeaders(exchange));
            for (int part = 0; part < 5; ++part) {
                exchange->write(largeEvent);
            }
        });
    });
    CHECK(gateway.call("POST /u/a").starts_with("HTTP/1.1 502 "));
    CHECK(has(gateway.metrics(), "dogwoodkeel_events_total{event=\"response cut\"} 1"));
    gateway.host.ask<bool>([](GatewayBench &bench) {
        bench.addReplica("b", "api", &answerWhole);
        return bench.replicas.front()->heads.size() == 1;
    });
    await([&gateway] {
        return gateway.host.ask<bool>([](GatewayBench &bench) {
            return bench.gateway->knownReplicas() == 2;
        });
    });
    CHECK(gateway.call("POST /s/a", {}, "body").ends_with("[body]"));
}

// A stream whose events are each small is longer than a whole answer may be, and is cut although nothing is held of it.
TEST_CASE("a stream longer than the bound of a whole answer reaches a caller that reads it")
{
    RunningGateway gateway([](GatewayBench &bench) {
        bench.settings.gateway.answerBytes = 65536;
        bench.addReplica("m", "llm", [](const std::shared_ptr<CallerExchange> &exchange) {
            exchange->begin(200, signedHeaders(exchange));
            for (int part = 0; part < 50; ++part) {
                exchange->write(largeEvent);
            }
            exchange->end();
        });
    });
    const std::string received = gateway.call("GET /o/a");
    CHECK(received.size() > 50 * largeEvent.size());
    CHECK(received.ends_with("0\r\n\r\n"));
}

// A replica sends events of a batch item without end, and another one would continue behind them.
TEST_CASE("a batch item whose output exceeds the bound fails at each attempt and is abandoned")
{
    RunningGateway gateway([](GatewayBench &bench) {
        bench.settings.gateway.answerBytes = 65536;
        bench.addReplica("m", "llm", [](const std::shared_ptr<CallerExchange> &exchange) {
            exchange->begin(200, signedHeaders(exchange));
            for (int part = 1; part <= 5; ++part) {
                exchange->write("id: " + std::to_string(part) + "\n" + largeEvent);
            }
        });
    });
    const std::string job = R"({"requests":[{"id":"a","path":"/b/a","body":"","tokens":9}]})";
    CHECK(gateway.call("POST /b/job", {}, job).starts_with("HTTP/1.1 202"));
    await([&gateway] {
        return has(gateway.call("GET /lots/q1?afterRev=0"), R"("id":"a","output":"","state":"abandoned")");
    });
    CHECK(has(gateway.metrics(), "dogwoodkeel_events_total{event=\"output of a batch item cut\"} 2"));
}
