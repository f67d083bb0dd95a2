// Measures the time from the first online request of a burst at a full engine to the cancellation of batch items there,
// from the event records of the engines. Nodes and engines are separate processes.
#include <Benchmarks/Support/Figures.h>
#include <Benchmarks/Support/LocalFleet.h>
#include <Benchmarks/Support/OnlineLoad.h>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <optional>
#include <sstream>
#include <thread>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs");
DEFINE_int32(nodes, 4, "number of nodes");
DEFINE_int32(engines, 6, "number of engines");
DEFINE_int32(bursts, 30, "number of bursts");
DEFINE_int32(requests, 12, "requests in each burst");

namespace
{

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

constexpr int capacity = 8;
const std::vector<std::string> domains{"one", "two", "three"};

/** One line of the event record that a stand-in engine returns from /notes. */
struct RecordedEvent
{
    std::chrono::microseconds at{0};
    std::string kind;
    /** Streams that ran or queued at that moment. */
    int streams = 0;
    bool isBatch = false;
};

std::vector<RecordedEvent> eventsOf(const Address &engine, std::chrono::microseconds after)
{
    std::vector<RecordedEvent> events;
    std::istringstream lines(LocalFleet::call(engine, "GET", "/notes").body);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        long long at = 0;
        std::string id;
        RecordedEvent event;
        words >> at >> event.kind >> event.streams >> id;
        event.at = std::chrono::microseconds(at);
        event.isBatch = id.starts_with("batch-");
        if (event.at > after) {
            events.push_back(event);
        }
    }
    return events;
}

/** How the engines reacted to bursts. */
struct Reactions
{
    /** From a request that found no free slot to the next cancellation of a batch item. */
    Durations toCancel;
    std::uint64_t foundSlot = 0;
    std::uint64_t foundNoSlot = 0;
};

void recordReactions(const std::vector<RecordedEvent> &events, Reactions &reactions)
{
    std::optional<std::chrono::microseconds> waiting;
    for (const RecordedEvent &event : events) {
        if (event.kind == "start" && !event.isBatch) {
            const bool isFull = event.streams >= capacity;
            ++(isFull ? reactions.foundNoSlot : reactions.foundSlot);
            waiting = isFull && !waiting ? event.at : waiting;
        }
        if (event.kind == "cancel" && event.isBatch && waiting) {
            reactions.toCancel.add(event.at - *waiting);
            waiting.reset();
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    LocalFleet fleet(FLAGS_programs);
    fleet.startPlatform();
    std::vector<std::size_t> engines;
    engines.reserve(static_cast<std::size_t>(FLAGS_engines));
    for (int i = 0; i < FLAGS_engines; ++i) {
        engines.push_back(fleet.startEndpoint("engine",
                                              "notes",
                                              domains[static_cast<std::size_t>(i) % domains.size()],
                                              {"--capacity=8", "--step_us=10000"},
                                              "capacity = 8"));
    }
    // With a small headroom, each burst has to stop items.
    fleet.addSettings("[batch]\nheadroom = 1\n");
    std::vector<Address> entries;
    entries.reserve(static_cast<std::size_t>(FLAGS_nodes));
    for (int i = 0; i < FLAGS_nodes; ++i) {
        const std::size_t node = fleet.startNode({domains[static_cast<std::size_t>(i) % domains.size()], ""});
        entries.push_back(fleet.process(node).address);
    }
    if (!fleet.waitReady(60s)) {
        std::fputs("the nodes did not become ready\n", stderr);
        return 1;
    }
    std::string lines;
    for (int i = 0; i < 5000; ++i) {
        lines += nlohmann::json({{"model", "notes"}, {"prompt", "item " + std::to_string(i)}, {"max_tokens", 400}}).dump() + '\n';
    }
    LocalFleet::call(entries[0], "POST", "/v1/batches", lines);
    std::this_thread::sleep_for(3s);
    Reactions reactions;
    for (int burst = 0; burst < FLAGS_bursts; ++burst) {
        const auto begin
            = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch());
        OnlineMix mix;
        mix.model = "notes";
        mix.burstEvery = 10s;
        mix.burstLength = 10s;
        mix.burstRequestsPerSecond = FLAGS_requests * 50;
        mix.promptBytes = 64;
        mix.tokens = 8;
        OnlineLoad(entries, mix, static_cast<std::uint64_t>(burst)).run(20ms);
        for (const std::size_t engine : engines) {
            recordReactions(eventsOf(fleet.process(engine).address, begin), reactions);
        }
        std::this_thread::sleep_for(300ms);
    }
    const auto requests = static_cast<double>(reactions.foundSlot + reactions.foundNoSlot);
    printFigure("yield.to_cancel_p50", reactions.toCancel.percentile(0.5), "ms");
    printFigure("yield.to_cancel_p99", reactions.toCancel.percentile(0.99), "ms");
    printFigure("yield.measured", static_cast<double>(reactions.toCancel.count()), "reactions");
    printFigure("yield.found_place", static_cast<double>(reactions.foundSlot) / requests, "share of requests");
    return 0;
}
