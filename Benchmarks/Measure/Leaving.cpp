// A replica that is about to go, under load, on real processes: how long it still gets new work from three nodes, online
// and batch, and whether anything that runs on it is cut. It says so itself, or refuses with the header, or the
// platform's list of VMs says it.
#include <Benchmarks/Support/Figures.h>
#include <Benchmarks/Support/LocalFleet.h>

#include <LibHttp/HttpClient.h>
#include <LibTask/EventLoop.h>
#include <Tests/Fakes/FakeEngine.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <sstream>
#include <thread>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs");
DEFINE_int32(callers, 24, "online requests in flight");
DEFINE_int32(tokens, 64, "of each answer: 0.2 to 0.3 s");
DEFINE_int32(items, 4000, "of the batch job behind");
DEFINE_int32(seconds, 5, "how long each replica is watched after it was told to leave");

namespace
{

using namespace Dogwoodkeel;
using Micros = std::chrono::microseconds;

constexpr std::chrono::seconds callTimeout{20};
constexpr const char *model = "notes";

Micros now()
{
    return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

/** Keeps online requests in flight over all nodes, and checks each answer. */
class Callers
{
public:
    explicit Callers(std::vector<Address> nodes)
        : nodes(std::move(nodes)), thread([this] {
            this->run();
        })
    {
    }

    void stop()
    {
        this->isStopping = true;
        this->thread.join();
    }

    std::atomic<int> whole = 0;
    std::atomic<int> bad = 0;

private:
    void run()
    {
        EventLoop loop;
        HttpClient client(loop);
        int open = FLAGS_callers;
        int number = 0;
        std::function<void()> next = [&] {
            if (this->isStopping) {
                if (--open == 0) {
                    loop.stop();
                }
                return;
            }
            const std::string prompt = "online " + std::to_string(++number);
            const nlohmann::json body{{"model", model}, {"prompt", prompt}, {"max_tokens", FLAGS_tokens}};
            const Address &node = this->nodes[static_cast<std::size_t>(number) % this->nodes.size()];
            const HttpRequest request{.method = "POST", .path = "/v1/completions", .body = body.dump()};
            client.fetch(node, request, callTimeout, [&, prompt](ExchangeEnd, const HttpResponse &response) {
                const std::string text = FakeEngine::expectedText(prompt, static_cast<std::uint32_t>(FLAGS_tokens));
                const bool isWhole = response.status == 200 && response.body.find(text) != std::string::npos;
                ++(isWhole ? this->whole : this->bad);
                next();
            });
        };
        for (int i = 0; i < FLAGS_callers; ++i) {
            next();
        }
        loop.run();
    }

    std::vector<Address> nodes;
    std::atomic<bool> isStopping = false;
    std::thread thread;
};

struct Notes
{
    int starts = 0;
    Micros lastStart{0};
    int cuts = 0;
};

/** @return what an engine noted from a moment on */
Notes notesSince(const Address &engine, Micros since)
{
    Notes notes;
    std::istringstream lines(LocalFleet::call(engine, "GET", "/notes").body);
    std::int64_t at = 0;
    std::string what;
    for (std::string line; std::getline(lines, line);) {
        std::istringstream(line) >> at >> what;
        if (Micros(at) < since) {
            continue;
        }
        notes.starts += what == "start" ? 1 : 0;
        notes.cuts += what == "start" ? 0 : 1;
        notes.lastStart = what == "start" ? Micros(at) : notes.lastStart;
    }
    return notes;
}

/** Make a replica leave, watch it, and print what it got. */
void watch(const std::string &way, const Address &engine, const std::function<void()> &leave)
{
    const Micros begin = now();
    leave();
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
    const Notes notes = notesSince(engine, begin);
    const double last = notes.starts == 0 ? 0 : std::chrono::duration<double>(notes.lastStart - begin).count();
    printFigure("leaving." + way + ".last_new_work", last, "s");
    printFigure("leaving." + way + ".new_work", notes.starts, "requests");
    printFigure("leaving." + way + ".cut", notes.cuts, "requests");
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    LocalFleet fleet(FLAGS_programs);
    const std::size_t platform = fleet.startPlatform();
    std::vector<std::size_t> engines;
    for (const char *const domain : {"one", "two", "three", "one", "two", "three"}) {
        engines.push_back(fleet.startEndpoint("engine", model, domain, {"--capacity=16"}, "capacity = 16\n"));
    }
    std::vector<Address> nodes;
    fleet.addSettings("[peers]\nsite_key = \"leaving\"\n");
    for (const char *const domain : {"one", "two", "three"}) {
        nodes.push_back(fleet.process(fleet.startNode({domain, ""})).address);
    }
    if (!fleet.waitReady(std::chrono::seconds(20))) {
        std::fputs("the nodes did not become ready\n", stderr);
        return 1;
    }
    std::string items;
    for (int i = 0; i < FLAGS_items; ++i) {
        const nlohmann::json item{{"model", model}, {"prompt", "item " + std::to_string(i)}, {"max_tokens", FLAGS_tokens}};
        items += item.dump() + '\n';
    }
    const int submitted = LocalFleet::call(nodes.front(), "POST", "/v1/batches", items).status;
    Callers callers(nodes);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto addressOf = [&](std::size_t engine) {
        return fleet.process(engines[engine]).address;
    };
    watch("load_report", addressOf(0), [&] {
        LocalFleet::call(addressOf(0), "POST", "/faults", R"({"leaving":true})");
    });
    watch("refusal", addressOf(1), [&] {
        LocalFleet::call(addressOf(1), "POST", "/faults", R"({"leaving":true,"refuse":true})");
    });
    watch("vm_list", addressOf(2), [&] {
        const nlohmann::json vm{{"name", fleet.process(engines[2]).name}, {"leaving", true}};
        LocalFleet::call(fleet.process(platform).address, "POST", "/faults", nlohmann::json{{"vms", {vm}}}.dump());
    });
    callers.stop();
    printFigure("leaving.job_submitted", submitted, "status");
    printFigure("leaving.answers", callers.whole, "requests");
    printFigure("leaving.failed", callers.bad, "requests");
    return 0;
}
