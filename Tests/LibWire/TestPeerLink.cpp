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
/** Only so that a broken client fails the test instead of hanging it. */
constexpr std::chrono::seconds answerTimeout{30};

PeerSecurity quickSecurity()
{
    return {MessageKey("site"), 65536, std::chrono::milliseconds(20)};
}

/** A listener whose connections are made by the system and then stay silent for good. */
class SilentListener
{
public:
    SilentListener() : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in any = socketAddress({"127.0.0.1", 0});
        (void)bind(this->descriptor, reinterpret_cast<const sockaddr *>(&any), sizeof(any));
        listen(this->descriptor, 8);
    }

    ~SilentListener()
    {
        close(this->descriptor);
    }

    SilentListener(const SilentListener &) = delete;
    SilentListener &operator=(const SilentListener &) = delete;

    Address address() const
    {
        return boundAddress(this->descriptor);
    }

    /** Stop listening, so that a next connection is refused. */
    void refuseMore()
    {
        shutdown(this->descriptor, SHUT_RDWR);
    }

private:
    int descriptor;
};

/** Answers a status call for job "now" at once, and keeps all others waiting. */
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

// A node asks another to join a request that runs there, and may wait minutes for the answer. The connection goes silent:
// it stays open, but nothing comes over it any more. Without a look at it the call would wait until its own timeout. It
// ends with an unknown outcome instead, and the next call makes a new connection, which here is refused.
TEST_CASE("A silent connection ends its calls long before their timeouts")
{
    SilentListener listener;
    TaskHost<ClientTask> host("client", std::nullopt);
    auto first = callStatus(host, listener.address(), "a");
    auto second = callStatus(host, listener.address(), "b");
    CHECK(resultOf(first).outcome == CallOutcome::Unknown);
    CHECK(resultOf(second).outcome == CallOutcome::Unknown);
    listener.refuseMore();
    auto next = callStatus(host, listener.address(), "c");
    CHECK(resultOf(next).outcome == CallOutcome::NotSent);
}

// The other node is well but cannot answer one call yet. Probes come back, so the connection is kept, and neither the wait
// nor another call's timeout takes the answer from the first.
TEST_CASE("A connection that answers probes keeps its waiting calls")
{
    TaskHost<SlowServer> server("server");
    const auto address = server.ask<Address>([](SlowServer &task) {
        return task.server.address();
    });
    TaskHost<ClientTask> host("client", std::nullopt);
    auto waiting = callStatus(host, address, "later");
    auto hurried = callStatus(host, address, "later", std::chrono::milliseconds(200));
    CHECK(resultOf(hurried).outcome == CallOutcome::Unknown);
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
    // An answer that comes after its client has ended is dropped.
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
