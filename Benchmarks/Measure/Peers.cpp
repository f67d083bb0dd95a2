// Measures the latency and processor time of a call to an owner: through a socket, and within the same process.
#include <Benchmarks/Support/Figures.h>

#include <LibTask/TaskHost.h>
#include <LibWire/Generated/Messages.h>
#include <LibWire/PeerClient.h>
#include <LibWire/PeerServer.h>

#include <ctime>

#include <future>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "not used");
DEFINE_uint64(calls, 20000, "number of calls of each kind");

namespace
{

using namespace Dogwoodkeel;
using Clock = std::chrono::steady_clock;

const PeerSecurity security{MessageKey("site"), 1048576};

class Server
{
public:
    explicit Server(EventLoop &loop) : peers(loop, {"127.0.0.1", 0}, security)
    {
        this->peers.handle<JobStatusRequest>([](const JobStatusRequest &, auto respond) {
            respond({});
        });
    }

    PeerServer peers;
};

class Client
{
public:
    Client(EventLoop &loop, std::optional<LocalPeer> local) : peers(loop, security, std::move(local))
    {
    }

    PeerClient peers;
    Durations durations;
    std::uint64_t remaining = 0;
};

double processSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    constexpr double nanosecondsPerSecond = 1e9;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / nanosecondsPerSecond;
}

void callNext(Client &client, const Address &address, std::promise<void> &done)
{
    if (client.remaining-- == 0) {
        done.set_value();
        return;
    }
    const auto start = Clock::now();
    client.peers.call<JobStatusRequest>(
        address, {JobId("job"), WorkspaceName("t")}, std::chrono::seconds(10), [&client, address, &done, start](auto) {
            client.durations.add(Clock::now() - start);
            callNext(client, address, done);
        });
}

void measure(const std::string &name, const Address &address, const std::optional<LocalPeer> &local)
{
    TaskHost<Client> host("client", local);
    std::promise<void> done;
    const double before = processSeconds();
    host.post([&](Client &client) {
        client.remaining = FLAGS_calls;
        callNext(client, address, done);
    });
    done.get_future().wait();
    const double spent = processSeconds() - before;
    auto durations = host.ask<Durations>([](Client &client) {
        return client.durations;
    });
    constexpr double microseconds = 1000;
    printFigure("peers." + name + ".p50", durations.percentile(0.5) * microseconds, "us");
    printFigure("peers." + name + ".p99", durations.percentile(0.99) * microseconds, "us");
    printFigure("peers." + name + ".cpu", spent / static_cast<double>(FLAGS_calls) * 1e6, "us per call");
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    TaskHost<Server> server("server");
    const auto address = server.ask<Address>([](Server &task) {
        return task.peers.address();
    });
    const LocalPeer local{address, [&server](MessageNumber number, std::string payload, LocalPeer::Respond respond) {
                              server.post([number, payload = std::move(payload), respond = std::move(respond)](Server &task) {
                                  task.peers.answer(number, payload, respond);
                              });
                          }};
    measure("socket", address, std::nullopt);
    measure("local", address, local);
    return 0;
}
