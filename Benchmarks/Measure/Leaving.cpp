// Measures, with real processes under load, how long a leaving replica still receives new online and batch work from three
// nodes, and whether requests that run on it are interrupted. The replica announces that it leaves in its load report or in
// the header of a refusal, or the platform's list of VMs marks it as leaving.
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
DEFINE_int32(tokens, 64, "tokens of each response: 0.2 to 0.3 s");
DEFINE_int32(items, 4000, "items of the concurrent batch job");
DEFINE_int32(seconds, 5, "how long each replica is observed after it begins to leave");

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

/** Keeps online requests in flight over all nodes and checks each response. */
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

    std::atomic<int> complete = 0;
    std::atomic<int> failed = 0;

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
                ++(isWhole ? this->complete : this->failed);
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

struct EngineActivity
{
    int starts = 0;
    Micros lastStart{0};
    int interruptions = 0;
};

/** @return what an engine recorded since the given time */
EngineActivity activitySince(const Address &engine, Micros since)
{
    EngineActivity activity;
    std::istringstream lines(LocalFleet::call(engine, "GET", "/notes").body);
    std::int64_t timestamp = 0;
    std::string event;
    for (std::string line; std::getline(lines, line);) {
        std::istringstream(line) >> timestamp >> event;
        if (Micros(timestamp) < since) {
            continue;
        }
        activity.starts += event == "start" ? 1 : 0;
        activity.interruptions += event == "start" ? 0 : 1;
        activity.lastStart = event == "start" ? Micros(timestamp) : activity.lastStart;
    }
    return activity;
}

/** Makes a replica leave, observes it, and prints the work that it received and the requests that were interrupted. */
void observeLeaving(const std::string &announcement, const Address &engine, const std::function<void()> &leave)
{
    const Micros begin = now();
    leave();
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
    const EngineActivity activity = activitySince(engine, begin);
    const double last = activity.starts == 0 ? 0 : std::chrono::duration<double>(activity.lastStart - begin).count();
    printFigure("leaving." + announcement + ".last_new_work", last, "s");
    printFigure("leaving." + announcement + ".new_work", activity.starts, "requests");
    printFigure("leaving." + announcement + ".cut", activity.interruptions, "requests");
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
    observeLeaving("load_report", addressOf(0), [&] {
        LocalFleet::call(addressOf(0), "POST", "/faults", R"({"leaving":true})");
    });
    observeLeaving("refusal", addressOf(1), [&] {
        LocalFleet::call(addressOf(1), "POST", "/faults", R"({"leaving":true,"refuse":true})");
    });
    observeLeaving("vm_list", addressOf(2), [&] {
        const nlohmann::json vm{{"name", fleet.process(engines[2]).name}, {"leaving", true}};
        LocalFleet::call(fleet.process(platform).address, "POST", "/faults", nlohmann::json{{"vms", {vm}}}.dump());
    });
    callers.stop();
    printFigure("leaving.job_submitted", submitted, "status");
    printFigure("leaving.answers", callers.complete, "requests");
    printFigure("leaving.failed", callers.failed, "requests");
    return 0;
}
