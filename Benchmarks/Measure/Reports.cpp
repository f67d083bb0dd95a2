// Measures what a node spends to learn the state of endpoints, by numbers of nodes and replicas: it polls the endpoints
// that are assigned to it and requests the reports of all others. The FleetWatch of one node is the real one; the endpoints
// answer from another thread.
#include <Benchmarks/Support/Figures.h>

#include <LibBase/SystemClock.h>
#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpServer.h>
#include <LibTask/TaskHost.h>
#include <Services/Entry/FleetWatch.h>

#include <sys/resource.h>

#include <atomic>
#include <string>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "not used: nothing is started");
DEFINE_int32(seconds, 3, "how long each size is measured");

namespace
{

using namespace Dogwoodkeel;

const Address anyPort{"127.0.0.1", 0};
constexpr const char *report = R"({"running":3,"queued":0,"instance":"1","version":"1"})";

std::atomic<int> polls = 0;

/** One server that stands in for all endpoints. */
struct Endpoints
{
    explicit Endpoints(EventLoop &loop)
        : server(loop, anyPort, {4096}, [](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
            polls += request.path == "/load" ? 1 : 0;
            reply->send({200, {}, report});
        })
    {
    }

    HttpServer server;
};

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_THREAD, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
        + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

void measure(const Address &endpoints, std::size_t nodes, std::size_t replicas)
{
    EventLoop loop;
    SystemClock clock;
    Settings base;
    for (std::size_t i = 0; i < replicas; ++i) {
        base.endpoints.push_back({.name = "model-replica-" + std::to_string(i), .address = endpoints, .model = "m"});
    }
    const SettingsHandle settings(std::make_shared<Settings>(base));
    ReplicaTable table(settings->endpoints);
    FleetState state(clock, settings, table);
    HttpClient http(loop);
    DatagramSocket sink(loop, anyPort, MessageKey("key"), [](const Datagram &) {});
    DatagramSocket datagrams(loop, anyPort, MessageKey("key"), [](const Datagram &) {});
    FleetWatch watch(loop, clock, settings, SessionNumber(1), http, datagrams, table, state);
    std::vector<Member> members(nodes);
    for (std::size_t i = 0; i < nodes; ++i) {
        members[i].session = SessionNumber(i + 1);
        members[i].fleet = sink.address();
    }
    watch.setView(std::make_shared<MemberView>(std::move(members)));
    state.begin(table.all().front());
    polls = 0;
    const double begin = processorSeconds();
    watch.start({});
    loop.schedule(std::chrono::seconds(FLAGS_seconds), [&loop] {
        loop.stop();
    });
    loop.run();
    const double spent = processorSeconds() - begin;
    const std::string name = "reports.nodes_" + std::to_string(nodes) + ".replicas_" + std::to_string(replicas);
    printFigure(name + ".polls", polls / static_cast<double>(FLAGS_seconds), "1/s");
    printFigure(name + ".asking", static_cast<double>(datagrams.bytesSent()) / FLAGS_seconds, "bytes/s");
    printFigure(name + ".processor", 100 * spent / FLAGS_seconds, "% of a core");
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    TaskHost<Endpoints> endpoints("endpoints");
    const Address address = endpoints.ask<Address>([](Endpoints &task) {
        return task.server.address();
    });
    for (const auto &[nodes, replicas] : {std::pair(11, 12), std::pair(50, 230), std::pair(390, 1800)}) {
        measure(address, static_cast<std::size_t>(nodes), static_cast<std::size_t>(replicas));
    }
    return 0;
}
