#include <LibTask/Sockets.h>
#include <LibTask/TaskHost.h>
#include <LibWire/Generated/Messages.h>
#include <LibWire/PeerClient.h>
#include <LibWire/PeerServer.h>

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>
#include <utility>

using namespace Dogwoodkeel;

namespace
{

using Result = CallResult<JobStatusResponse>;

constexpr std::chrono::hours never{1};
/** Makes the test fail instead of hang if the client never answers. */
constexpr std::chrono::seconds answerTimeout{30};

PeerSecurity quickSecurity()
{
    return {MessageKey("site"), 65536, std::chrono::milliseconds(20)};
}

/** A listener whose connections are established by the system but never carry data. */
class UnresponsiveListener
{
public:
    UnresponsiveListener() : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in any = socketAddress({"127.0.0.1", 0});
        (void)bind(this->descriptor, reinterpret_cast<const sockaddr *>(&any), sizeof(any));
        listen(this->descriptor, 8);
    }

    ~UnresponsiveListener()
    {
        close(this->descriptor);
    }

    UnresponsiveListener(const UnresponsiveListener &) = delete;
    UnresponsiveListener &operator=(const UnresponsiveListener &) = delete;

    Address address() const
    {
        return boundAddress(this->descriptor);
    }

    /** Stops listening, so that the next connection is refused. */
    void refuseConnections()
    {
        shutdown(this->descriptor, SHUT_RDWR);
    }

private:
    int descriptor;
};

/** Answers a status call for job "now" immediately, and all others only on answerWaiting(). */
class SlowServer
{
public:
    explicit SlowServer(EventLoop &loop) : server(loop, {"127.0.0.1", 0}, quickSecurity())
    {
        this->server.handle<JobStatusRequest>([this](const JobStatusRequest &request, auto respond) {
            if (request.jobId.value() == "now") {
                respond({});
            } else {
                this->waiting.push_back(respond);
            }
        });
    }

    void answerWaiting()
    {
        for (const auto &respond : std::exchange(this->waiting, {})) {
            respond({});
        }
    }

    PeerServer server;

private:
    std::vector<PeerServer::Respond<JobStatusResponse>> waiting;
};

/** Answers with a large text, over connections of a limited rate. */
class LargeServer
{
public:
    explicit LargeServer(EventLoop &loop) : server(loop, {"127.0.0.1", 0}, largeSecurity())
    {
        this->server.handle<ChunkRequest>([](const ChunkRequest &, auto respond) {
            respond({{std::string(largeBytes, 'x')}});
        });
        constexpr int maxDescriptor = 1024;
        constexpr std::uint32_t bytesPerSecond = 500'000;
        for (int descriptor = 0; descriptor < maxDescriptor; ++descriptor) {
            sockaddr_in bound{};
            socklen_t size = sizeof(bound);
            const bool isSocket = getsockname(descriptor, reinterpret_cast<sockaddr *>(&bound), &size) == 0;
            if (isSocket && ntohs(bound.sin_port) == this->server.address().port) {
                // The connections that it accepts inherit the option.
                setsockopt(descriptor, SOL_SOCKET, SO_MAX_PACING_RATE, &bytesPerSecond, sizeof(bytesPerSecond));
            }
        }
    }

    static constexpr std::size_t largeBytes = 2'000'000;

    static PeerSecurity largeSecurity()
    {
        return {MessageKey("site"), 2 * largeBytes, std::chrono::milliseconds(1000)};
    }

    PeerServer server;
};

class ClientTask
{
public:
    ClientTask(EventLoop &loop, std::optional<LocalPeer> local, const PeerSecurity &security = quickSecurity())
        : client(loop, security, std::move(local))
    {
    }

    PeerClient client;
};

std::future<Result>
callStatus(TaskHost<ClientTask> &host, const Address &address, const std::string &job, std::chrono::milliseconds timeout = never)
{
    const auto promise = std::make_shared<std::promise<Result>>();
    host.post([=](ClientTask &task) {
        task.client.call<JobStatusRequest>(address, {JobId(job), WorkspaceName("t")}, timeout, [promise](Result result) {
            promise->set_value(std::move(result));
        });
    });
    return promise->get_future();
}

Result resultOf(std::future<Result> &future)
{
    REQUIRE(future.wait_for(answerTimeout) == std::future_status::ready);
    return future.get();
}

} // namespace

// A call may wait minutes for its response. If its connection stays open but carries no more data, the call must not wait
// until its own timeout: it ends with an unknown outcome, and the next call opens a new connection, which is refused here.
TEST_CASE("Calls on an unresponsive connection end long before their timeouts")
{
    UnresponsiveListener listener;
    TaskHost<ClientTask> host("client", std::nullopt);
    auto first = callStatus(host, listener.address(), "a");
    auto second = callStatus(host, listener.address(), "b");
    CHECK(resultOf(first).outcome == CallOutcome::Unknown);
    CHECK(resultOf(second).outcome == CallOutcome::Unknown);
    listener.refuseConnections();
    auto next = callStatus(host, listener.address(), "c");
    CHECK(resultOf(next).outcome == CallOutcome::NotSent);
}

// The other node is healthy but cannot answer one call yet. It answers the probes, so the connection is kept, and neither
// the wait nor the timeout of another call prevents the response to the first call.
TEST_CASE("A connection that answers probes keeps its waiting calls")
{
    TaskHost<SlowServer> server("server");
    const auto address = server.ask<Address>([](SlowServer &task) {
        return task.server.address();
    });
    TaskHost<ClientTask> host("client", std::nullopt);
    auto waiting = callStatus(host, address, "later");
    auto timedOut = callStatus(host, address, "later", std::chrono::milliseconds(200));
    CHECK(resultOf(timedOut).outcome == CallOutcome::Unknown);
    auto quick = callStatus(host, address, "now");
    CHECK(resultOf(quick).outcome == CallOutcome::Answered);
    server.post([](SlowServer &task) {
        task.answerWaiting();
    });
    CHECK(resultOf(waiting).outcome == CallOutcome::Answered);
}

TEST_CASE("A server of the same process is reached without a socket")
{
    TaskHost<SlowServer> server("server");
    // Nothing listens at this address.
    const LocalPeer local{{"127.0.0.1", 1}, [&server](MessageNumber number, std::string payload, LocalPeer::Respond respond) {
                              server.post([number, payload = std::move(payload), respond = std::move(respond)](SlowServer &task) {
                                  task.server.answer(number, payload, respond);
                              });
                          }};
    auto host = std::make_unique<TaskHost<ClientTask>>("client", local);
    auto quick = callStatus(*host, local.address, "now");
    CHECK(resultOf(quick).outcome == CallOutcome::Answered);
    // A response that arrives after its client was destroyed is dropped.
    auto late = callStatus(*host, local.address, "later");
    host->ask<bool>([](ClientTask &) {
        return true;
    });
    host.reset();
    server.ask<bool>([](SlowServer &task) {
        task.answerWaiting();
        return true;
    });
}

// Guards against a large answer that is dropped because it takes longer to arrive than a small one may.
TEST_CASE("A call whose answer arrives is not given up, nor is one whose answer follows it")
{
    TaskHost<LargeServer> server("server");
    const Address address = server.ask<Address>([](LargeServer &large) {
        return large.server.address();
    });
    TaskHost<ClientTask> host("client", std::nullopt, LargeServer::largeSecurity());
    using LargeResult = CallResult<ChunkAnswer>;
    const auto call = [&host, &address] {
        const auto promise = std::make_shared<std::promise<LargeResult>>();
        host.post([promise, address](ClientTask &task) {
            task.client.call<ChunkRequest>(address, {}, std::chrono::milliseconds(700), [promise](LargeResult result) {
                promise->set_value(std::move(result));
            });
        });
        return promise->get_future();
    };
    auto first = call();
    auto second = call();
    for (std::future<LargeResult> *const future : {&first, &second}) {
        REQUIRE(future->wait_for(answerTimeout) == std::future_status::ready);
        const LargeResult result = future->get();
        CHECK(result.outcome == CallOutcome::Answered);
        CHECK((result.response && result.response->chunks.at(0).size() == LargeServer::largeBytes));
    }
}
