// Measures what callers see while endpoints fail under load, with real processes: errors, the longest gap between two
// events of a response, and the attempts that endpoints receive per request.
#include <Benchmarks/Support/Figures.h>
#include <Benchmarks/Support/LocalFleet.h>
#include <Benchmarks/Support/OpenLoad.h>

#include <LibHttp/ServerSentEvents.h>
#include <Tests/Fakes/FakeEngine.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <functional>
#include <map>
#include <numeric>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs");
DEFINE_int32(seconds, 6, "how long each load is offered");
DEFINE_double(per_second, 25, "requests a second");
DEFINE_string(only, "", "measure only this fault");

namespace
{

using namespace Dogwoodkeel;

constexpr std::uint32_t tokens = 16;
constexpr std::chrono::milliseconds deadline{8000};
constexpr std::size_t eventLimit = 1048576;
const std::vector<std::string> domains{"one", "two", "three"};

/** Runs six engines and three nodes in three failure domains. */
struct Fleet
{
    Fleet() : local(FLAGS_programs)
    {
        this->local.startPlatform();
        for (int i = 0; i < 6; ++i) {
            const std::string &domain = domains[static_cast<std::size_t>(i) % 3];
            this->engines.push_back(
                this->local.startEndpoint("engine", "m", domain, {"--step_us=10000", "--capacity=8"}, "capacity = 8\n"));
        }
        for (const std::string &domain : domains) {
            this->local.startNode({domain, ""});
        }
        if (!this->local.waitReady(std::chrono::seconds(20))) {
            std::fputs("the nodes did not become ready\n", stderr);
            std::exit(1);
        }
        for (const std::size_t node : this->local.nodes()) {
            this->targets.push_back(this->local.process(node).address);
        }
    }

    void setFault(std::size_t engine, const std::string &fault)
    {
        LocalFleet::call(this->local.process(this->engines[engine]).address, "POST", "/faults", fault);
    }

    LocalFleet local;
    std::vector<std::size_t> engines;
    std::vector<Address> targets;
};

HttpRequest completion(std::uint64_t number)
{
    const nlohmann::json body{
        {"model", "m"}, {"prompt", "label " + std::to_string(number)}, {"max_tokens", tokens}, {"stream", true}};
    return {.method = "POST", .path = "/v1/completions", .body = body.dump()};
}

bool isWholeStream(std::uint64_t number, const std::string &body)
{
    ServerSentEvents events(eventLimit);
    std::string text;
    bool hasEnd = false;
    for (const std::string &event : events.feed(body)) {
        const auto json = nlohmann::json::parse(event, nullptr, false);
        hasEnd = hasEnd || event == "[DONE]";
        if (json.is_object() && json.contains("choices")) {
            text += json["choices"][0].value("text", std::string());
        }
    }
    return hasEnd && text == FakeEngine::expectedText("label " + std::to_string(number), tokens);
}

/** @return sum of the retries in the metrics of all nodes */
double retriesOf(const Fleet &fleet)
{
    double sum = 0;
    for (const Address &node : fleet.targets) {
        const std::string text = LocalFleet::call(node, "GET", "/metrics").body;
        for (std::size_t position = text.find("\ndogwoodkeel_retries_total{"); position != std::string::npos;
             position = text.find("\ndogwoodkeel_retries_total{", position + 1)) {
            sum += std::strtod(text.c_str() + text.find('}', position) + 1, nullptr);
        }
    }
    return sum;
}

/** Offers the load and injects the fault after a third of its duration. */
void measure(const std::string &name, const std::function<void(Fleet &)> &fault)
{
    if (!FLAGS_only.empty() && FLAGS_only != name) {
        return;
    }
    Fleet fleet;
    EventLoop loop;
    OpenLoad load(loop, fleet.targets, {FLAGS_per_second, deadline, completion, isWholeStream}, 1);
    load.start(std::chrono::seconds(FLAGS_seconds), [&loop] {
        loop.stop();
    });
    loop.schedule(std::chrono::seconds(FLAGS_seconds) / 3, [&] {
        fault(fleet);
    });
    loop.run();
    Durations gaps;
    Durations totals;
    double errors = 0;
    for (const RequestOutcome &outcome : load.outcomes()) {
        errors += outcome.isWhole ? 0 : 1;
        gaps.add(outcome.longestGap);
        totals.add(outcome.total);
    }
    const auto requests = static_cast<double>(load.outcomes().size());
    const std::string prefix = "faults." + name;
    printFigure(prefix + ".requests", requests, "requests");
    printFigure(prefix + ".errors", errors, "requests");
    printFigure(prefix + ".worst_gap", gaps.percentile(1), "ms");
    printFigure(prefix + ".total_p50", totals.percentile(0.5), "ms");
    printFigure(prefix + ".total_p99", totals.percentile(0.99), "ms");
    printFigure(prefix + ".amplification", 1 + retriesOf(fleet) / std::max(1.0, requests), "attempts/request");
}

/** Sends a request that crashes engines under a new id to each node in turn while other requests are served. */
void poison(Fleet &fleet)
{
    const std::string body = R"({"model":"m","prompt":"crash-the-engine now","max_tokens":4})";
    for (int i = 0; i < 9; ++i) {
        LocalFleet::call(fleet.targets[static_cast<std::size_t>(i) % 3], "POST", "/v1/completions", body);
    }
    double lost = 0;
    for (const std::size_t engine : fleet.engines) {
        lost += LocalFleet::call(fleet.local.process(engine).address, "GET", "/load").status == 0 ? 1 : 0;
    }
    printFigure("faults.poison.engines_lost", lost, "engines");
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    measure("none", [](Fleet &) {});
    measure("crash", [](Fleet &fleet) {
        fleet.local.signal(fleet.engines[0], SIGKILL);
    });
    measure("domain", [](Fleet &fleet) {
        fleet.local.signal(fleet.engines[0], SIGKILL);
        fleet.local.signal(fleet.engines[3], SIGKILL);
    });
    measure("silent", [](Fleet &fleet) {
        fleet.setFault(0, R"({"silent":true})");
    });
    measure("slow", [](Fleet &fleet) {
        fleet.setFault(0, R"({"slow":10})");
    });
    measure("leaving", [](Fleet &fleet) {
        fleet.setFault(0, R"({"leaving":true})");
    });
    measure("outage", [](Fleet &fleet) {
        for (const std::size_t engine : fleet.engines) {
            fleet.local.signal(engine, SIGKILL);
        }
    });
    measure("poison", poison);
    return 0;
}
