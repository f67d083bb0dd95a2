// From the first online request of a burst at a full engine to the cancellation of batch items there, by the engines' own
// notes: entry, lane holder and engine are processes of their own.
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
DEFINE_int32(nodes, 4, "nodes");
DEFINE_int32(engines, 6, "engines");
DEFINE_int32(bursts, 30, "bursts");
DEFINE_int32(requests, 12, "requests of a burst");

namespace
{

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

constexpr int capacity = 8;
const std::vector<std::string> domains{"one", "two", "three"};

struct Note
{
    std::chrono::microseconds at{0};
    std::string what;
    /** Streams running or queueing at that moment. */
    int present = 0;
    bool isBatch = false;
};

std::vector<Note> notesOf(const Address &engine, std::chrono::microseconds after)
{
    std::vector<Note> notes;
    std::istringstream lines(LocalFleet::call(engine, "GET", "/notes").body);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        long long at = 0;
        std::string id;
        Note note;
        words >> at >> note.what >> note.present >> id;
        note.at = std::chrono::microseconds(at);
        note.isBatch = id.starts_with("batch-");
        if (note.at > after) {
            notes.push_back(note);
        }
    }
    return notes;
}

/** What bursts did at the engines. */
struct Reactions
{
    /** From a request that found every place taken to the next cancellation of a batch item. */
    Durations toCancel;
    std::uint64_t foundPlace = 0;
    std::uint64_t foundNone = 0;
};

void take(const std::vector<Note> &notes, Reactions &reactions)
{
    std::optional<std::chrono::microseconds> waiting;
    for (const Note &note : notes) {
        if (note.what == "start" && !note.isBatch) {
            const bool isFull = note.present >= capacity;
            ++(isFull ? reactions.foundNone : reactions.foundPlace);
            waiting = isFull && !waiting ? note.at : waiting;
        }
        if (note.what == "cancel" && note.isBatch && waiting) {
            reactions.toCancel.add(note.at - *waiting);
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
    // A small headroom, so that each burst has to stop items.
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
            take(notesOf(fleet.process(engine).address, begin), reactions);
        }
        std::this_thread::sleep_for(300ms);
    }
    const auto requests = static_cast<double>(reactions.foundPlace + reactions.foundNone);
    printFigure("yield.to_cancel_p50", reactions.toCancel.percentile(0.5), "ms");
    printFigure("yield.to_cancel_p99", reactions.toCancel.percentile(0.99), "ms");
    printFigure("yield.measured", static_cast<double>(reactions.toCancel.count()), "reactions");
    printFigure("yield.found_place", static_cast<double>(reactions.foundPlace) / requests, "share of requests");
    return 0;
}
