// Measures the time from the loss of an owner to the first and the last answer for its shards, by its number of records, and
// the time from the resumption of a paused node until it has a new session and owns shards again.
#include <Benchmarks/Support/Figures.h>
#include <Benchmarks/Support/LocalFleet.h>

#include <LibHttp/HttpClient.h>
#include <LibTask/EventLoop.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs");
DEFINE_int32(probes, 128, "number of ids that are requested after the loss");
DEFINE_int32(callers, 32, "requests in flight while records are written");
DEFINE_int32(largest, 10000, "largest number of records");

namespace
{

using namespace Dogwoodkeel;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;

/** Results that are answered sooner did not belong to the lost owner. */
constexpr Milliseconds unaffected{150};
constexpr std::chrono::seconds callTimeout{20};

std::string idOf(int number)
{
    return "record-" + std::to_string(number);
}

/** Has records written, by lookups that carry an id. @return the number of lookups that were answered with 200 */
int writeRecords(const Address &node, int count)
{
    EventLoop loop;
    HttpClient client(loop);
    int next = 0;
    int open = 0;
    int done = 0;
    std::function<void()> send = [&] {
        if (next == count) {
            if (open == 0) {
                loop.stop();
            }
            return;
        }
        ++open;
        const HttpHeaders headers{{"Idempotency-Key", idOf(next++)}};
        client.fetch(node,
                     {.method = "GET", .path = "/v1/services/prices/lookup", .headers = headers},
                     callTimeout,
                     [&](ExchangeEnd end, const HttpResponse &response) {
                         const bool isDone = end == ExchangeEnd::Complete && response.status == 200;
                         done += isDone ? 1 : 0;
                         if (!isDone) {
                             std::fprintf(stderr, "record not written: %d %s\n", response.status, response.body.c_str());
                         }
                         --open;
                         send();
                     });
    };
    for (int i = 0; i < FLAGS_callers; ++i) {
        send();
    }
    loop.run();
    return done;
}

/** Delays of the answers for the probed ids, and the number of ids without an answer of status 200. */
struct Reads
{
    std::vector<Milliseconds> delayed;
    int missing = 0;
};

Reads readAll(const Address &node, int count)
{
    EventLoop loop;
    HttpClient client(loop);
    Reads reads;
    int open = std::min(FLAGS_probes, count);
    const auto start = Clock::now();
    const int probes = open;
    for (int i = 0; i < probes; ++i) {
        const HttpRequest request{.method = "GET", .path = "/v1/results/" + idOf(i * (count / probes))};
        client.fetch(node, request, callTimeout, [&, start](ExchangeEnd end, const HttpResponse &response) {
            const Milliseconds took = Clock::now() - start;
            if (end != ExchangeEnd::Complete || response.status != 200) {
                ++reads.missing;
            } else if (took > unaffected) {
                reads.delayed.push_back(took);
            }
            if (--open == 0) {
                loop.stop();
            }
        });
    }
    loop.run();
    std::ranges::sort(reads.delayed);
    return reads;
}

bool logContains(const LocalFleet::Process &process, const std::string &text)
{
    std::ifstream file(process.logFile);
    for (std::string line; std::getline(file, line);) {
        if (line.find(text) != std::string::npos) {
            return true;
        }
    }
    return false;
}

std::vector<std::size_t> startFleet(LocalFleet &fleet)
{
    fleet.startPlatform();
    fleet.startEndpoint("service", "prices", "one");
    fleet.addSettings("[[service]]\nname = \"prices\"\n[membership]\nsuspicion = \"1s\"\n");
    std::vector<std::size_t> nodes;
    for (const char *const domain : {"one", "two", "three"}) {
        nodes.push_back(fleet.startNode({domain, ""}));
    }
    if (!fleet.waitReady(std::chrono::seconds(15))) {
        std::fputs("the fleet did not become ready\n", stderr);
        return {};
    }
    return nodes;
}

int measureLoss(int records)
{
    LocalFleet fleet(FLAGS_programs);
    const std::vector<std::size_t> nodes = startFleet(fleet);
    if (nodes.empty() || writeRecords(fleet.process(nodes[0]).address, records) != records) {
        std::fputs("the records were not all written\n", stderr);
        return 1;
    }
    fleet.signal(nodes[2], SIGKILL);
    const Reads reads = readAll(fleet.process(nodes[0]).address, records);
    const std::string name = "takeover.records_" + std::to_string(records);
    if (!reads.delayed.empty()) {
        printFigure(name + ".first_answer", reads.delayed.front().count(), "ms");
        printFigure(name + ".last_answer", reads.delayed.back().count(), "ms");
    }
    printFigure(name + ".missing", reads.missing, "results");
    return reads.missing == 0 ? 0 : 1;
}

int measurePause()
{
    LocalFleet fleet(FLAGS_programs);
    const std::vector<std::size_t> nodes = startFleet(fleet);
    constexpr int records = 200;
    if (nodes.empty() || writeRecords(fleet.process(nodes[0]).address, records) != records) {
        std::fputs("the records were not all written\n", stderr);
        return 1;
    }
    const LocalFleet::Process &paused = fleet.process(nodes[2]);
    fleet.signal(nodes[2], SIGSTOP);
    Reads reads = readAll(fleet.process(nodes[0]).address, records);
    fleet.signal(nodes[2], SIGCONT);
    const auto resumed = Clock::now();
    while (!logContains(paused, "session renewed") && Clock::now() - resumed < std::chrono::seconds(15)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    const bool isRenewed = logContains(paused, "session renewed");
    printFigure("takeover.pause_to_new_session", Milliseconds(Clock::now() - resumed).count(), "ms");
    reads.missing += readAll(paused.address, records).missing;
    printFigure("takeover.pause_missing", reads.missing, "results");
    printFigure("takeover.pause_renewed", isRenewed ? 1 : 0, "yes");
    return isRenewed && reads.missing == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    int failures = 0;
    for (int records = 100; records <= FLAGS_largest; records *= 10) {
        failures += measureLoss(records);
    }
    failures += measurePause();
    return failures == 0 ? 0 : 1;
}
