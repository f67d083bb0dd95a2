// Measures platform writes per accepted request at several rates, and the latency that durability adds to a request,
// compared with the latency of a platform write in the same run.
#include <Benchmarks/Support/Figures.h>
#include <Benchmarks/Support/LocalFleet.h>

#include <LibHttp/HttpClient.h>
#include <LibPlatform/HttpPlatform.h>
#include <LibTask/EventLoop.h>

#include <nlohmann/json.hpp>

#include <cstdio>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs");
DEFINE_int32(seconds, 5, "how long each request rate is kept up");
DEFINE_int32(nodes, 3, "nodes that share the load");
DEFINE_int32(platform_delay, 2, "delay of the fake platform in milliseconds");
DEFINE_string(gather, "75ms", "owner.group_gather");

namespace
{

using namespace Dogwoodkeel;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds callTimeout{10};

struct Counts
{
    double reads = 0;
    double writes = 0;
};

Counts countsOf(const LocalFleet &fleet)
{
    const auto parsed = nlohmann::json::parse(LocalFleet::call(fleet.platform(), "GET", "/counts").body);
    return {parsed.at("reads"), parsed.at("writes")};
}

struct Run
{
    Durations durations;
    int answered = 0;
    int failed = 0;
};

/** Sends lookups at a constant rate, independent of how fast they are answered. */
Run load(const std::vector<Address> &nodes, int perSecond, const std::string &idPrefix)
{
    EventLoop loop;
    HttpClient client(loop);
    Run run;
    const int total = perSecond * FLAGS_seconds;
    const auto start = Clock::now();
    int sent = 0;
    std::function<void()> tick = [&] {
        const double elapsed = std::chrono::duration<double>(Clock::now() - start).count();
        for (; sent < total && sent < elapsed * perSecond; ++sent) {
            HttpRequest request{.method = "GET", .path = "/v1/services/prices/lookup"};
            if (!idPrefix.empty()) {
                request.headers["Idempotency-Key"] = idPrefix + std::to_string(sent);
            }
            const Address &node = nodes[static_cast<std::size_t>(sent) % nodes.size()];
            const auto callStart = Clock::now();
            client.fetch(node, request, callTimeout, [&, callStart](ExchangeEnd end, const HttpResponse &response) {
                const bool isDone = end == ExchangeEnd::Complete && response.status == 200;
                ++(isDone ? run.answered : run.failed);
                run.durations.add(Clock::now() - callStart);
                if (run.answered + run.failed == total) {
                    loop.stop();
                }
            });
        }
        if (sent < total) {
            loop.schedule(std::chrono::milliseconds(1), tick);
        }
    };
    tick();
    loop.run();
    return run;
}

/** Measures platform writes that run one after the other. */
Durations platformWrites(const Address &platform)
{
    EventLoop loop;
    HttpPlatform client(loop, platform, callTimeout);
    Durations durations;
    constexpr int writes = 200;
    int number = 0;
    std::function<void()> next = [&] {
        if (number == writes) {
            loop.stop();
            return;
        }
        const auto callStart = Clock::now();
        client.tables().insertIfAbsent("measure/" + std::to_string(number++), "row", [&, callStart](WriteOutcome) {
            durations.add(Clock::now() - callStart);
            next();
        });
    };
    next();
    loop.run();
    return durations;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    LocalFleet fleet(FLAGS_programs);
    fleet.startPlatform();
    fleet.startEndpoint("service", "prices", "one");
    fleet.addSettings("[[service]]\nname = \"prices\"\n[owner]\ngroup_gather = \"" + FLAGS_gather + "\"\n");
    std::vector<Address> nodes;
    for (int i = 0; i < FLAGS_nodes; ++i) {
        const std::size_t node = fleet.startNode({"domain-" + std::to_string(i % 3), ""});
        nodes.push_back(fleet.process(node).address);
    }
    if (!fleet.waitReady(std::chrono::seconds(20))) {
        std::fputs("the fleet did not become ready\n", stderr);
        return 1;
    }
    LocalFleet::call(fleet.platform(), "POST", "/faults", "{\"delay_ms\":" + std::to_string(FLAGS_platform_delay) + "}");
    Durations writes = platformWrites(fleet.platform());
    printFigure("journal.platform_write_p50", writes.percentile(0.5), "ms");
    printFigure("journal.platform_write_p99", writes.percentile(0.99), "ms");
    int failed = 0;
    for (const int rate : {10, 100, 1000}) {
        Run plain = load(nodes, rate, {});
        const Counts before = countsOf(fleet);
        Run durable = load(nodes, rate, "at-" + std::to_string(rate) + '-');
        const Counts after = countsOf(fleet);
        const std::string name = "journal.rate_" + std::to_string(rate);
        printFigure(name + ".writes_per_request", (after.writes - before.writes) / durable.answered, "1");
        printFigure(name + ".reads_per_request", (after.reads - before.reads) / durable.answered, "1");
        printFigure(name + ".writes", (after.writes - before.writes) / FLAGS_seconds, "1/s");
        printFigure(name + ".plain_p50", plain.durations.percentile(0.5), "ms");
        printFigure(name + ".plain_p99", plain.durations.percentile(0.99), "ms");
        printFigure(name + ".durable_p50", durable.durations.percentile(0.5), "ms");
        printFigure(name + ".durable_p99", durable.durations.percentile(0.99), "ms");
        printFigure(name + ".failed", durable.failed + plain.failed, "requests");
        failed += durable.failed;
    }
    return failed == 0 ? 0 : 1;
}
