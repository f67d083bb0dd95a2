// Measures the latency that a node adds to a lookup, compared with direct calls to the same fake service in the same run.
#include <Benchmarks/Support/Figures.h>
#include <Benchmarks/Support/LocalFleet.h>

#include <LibHttp/HttpClient.h>
#include <LibTask/EventLoop.h>

#include <cstdio>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs");
DEFINE_int32(seconds, 3, "how long direct calls and calls through a node are each measured");
DEFINE_int32(callers, 8, "requests in flight");

namespace
{

using namespace Dogwoodkeel;
using Clock = std::chrono::steady_clock;

/** Keeps a fixed number of lookups in flight for the configured time. @return their durations */
Durations measure(const Address &address, const std::string &path)
{
    EventLoop loop;
    HttpClient client(loop);
    Durations durations;
    const auto end = Clock::now() + std::chrono::seconds(FLAGS_seconds);
    int open = FLAGS_callers;
    std::function<void()> next = [&] {
        if (Clock::now() >= end) {
            if (--open == 0) {
                loop.stop();
            }
            return;
        }
        const auto start = Clock::now();
        client.fetch(
            address, {.method = "GET", .path = path}, std::chrono::seconds(5), [&, start](ExchangeEnd, const HttpResponse &) {
                durations.add(Clock::now() - start);
                next();
            });
    };
    for (int i = 0; i < FLAGS_callers; ++i) {
        next();
    }
    loop.run();
    return durations;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    LocalFleet fleet(FLAGS_programs);
    fleet.startPlatform();
    const std::size_t service = fleet.startEndpoint("service", "prices", "one");
    fleet.addSettings("[[service]]\nname = \"prices\"\n");
    const std::size_t node = fleet.startNode({"one", ""});
    if (!fleet.waitReady(std::chrono::seconds(10))) {
        std::fputs("the node did not become ready\n", stderr);
        return 1;
    }
    Durations direct = measure(fleet.process(service).address, "/lookup");
    Durations throughNode = measure(fleet.process(node).address, "/v1/services/prices/lookup");
    printFigure("overhead.added_p50", throughNode.percentile(0.5) - direct.percentile(0.5), "ms");
    printFigure("overhead.added_p99", throughNode.percentile(0.99) - direct.percentile(0.99), "ms");
    printFigure("overhead.direct_requests", static_cast<double>(direct.count()) / FLAGS_seconds, "1/s");
    printFigure("overhead.through_requests", static_cast<double>(throughNode.count()) / FLAGS_seconds, "1/s");
    return 0;
}
