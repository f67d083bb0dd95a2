#include <LibTask/Sockets.h>
#include <LibTask/TaskHost.h>
#include <LibWire/Generated/Messages.h>
#include <LibWire/PeerClient.h>
#include <LibWire/PeerServer.h>

#include <doctest/doctest.h>

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

class ClientTask
{
public:
    ClientTask(EventLoop &loop, std::optional<LocalPeer> local) : client(loop, quickSecurity(), std::move(local))
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
