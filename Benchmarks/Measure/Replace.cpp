// Measures the effect on callers while the nodes are replaced one after another, and then two at once while a third is killed:
// interrupted, retried and refused requests, the 99th percentile compared with steady state in the same run, and duplicate runs.
#include <Benchmarks/Support/FollowingCallers.h>
#include <Benchmarks/Support/LocalFleet.h>

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <deque>
#include <thread>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs");
DEFINE_int32(nodes, 11, "number of nodes, all of which are replaced");
DEFINE_int32(steady, 10, "seconds of steady state before the replacement");
DEFINE_int32(items, 3000, "number of items of the batch job");

namespace
{

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

const std::vector<std::string> domains{"mvd-centro", "mvd-carrasco", "mvd-prado"};

bool hasBody(const HttpResponse &response)
{
    return !response.body.empty();
}

std::vector<FollowingCallers::Kind> makeKinds()
{
    const auto lookup = [](std::uint64_t number) {
        return HttpRequest{.method = "GET", .path = "/v1/services/prices/lookup", .query = "n=" + std::to_string(number)};
    };
    const auto offer = [](std::uint64_t number) {
        return HttpRequest{.method = "POST",
                           .path = "/v1/services/offers/issue",
                           .headers = {{"Idempotency-Key", "offer-" + std::to_string(number)}},
                           .body = "{\"offer\":" + std::to_string(number) + "}"};
    };
    const auto stream = [](std::uint64_t number) {
        const nlohmann::json body{{"model", "appraisal"},
                                  {"stream", true},
                                  {"max_tokens", 40},
                                  {"messages", {{{"role", "user"}, {"content", "console " + std::to_string(number)}}}}};
        return HttpRequest{.method = "POST",
                           .path = "/v1/chat/completions",
                           .headers = {{"Content-Type", "application/json"}},
                           .body = body.dump()};
    };
    const auto isDone = [](const HttpResponse &response) {
        return response.body.find("[DONE]") != std::string::npos;
    };
    return {{"lookup", 30, 50ms, lookup, hasBody}, {"offer", 6, 100ms, offer, hasBody}, {"stream", 24, 100ms, stream, isDone}};
}

bool waitReady(const Address &address, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (LocalFleet::call(address, "GET", "/readyz").status == 200) {
            return true;
        }
        std::this_thread::sleep_for(10ms);
    }
    return false;
}

/** Starts and stops the nodes; keeps the running ones, oldest first. */
struct Fleet
{
    explicit Fleet(const std::string &programs) : fleet(programs)
    {
    }

    std::size_t startNode()
    {
        const auto begin = std::chrono::steady_clock::now();
        const std::size_t node = this->fleet.startNode({domains[this->started++ % domains.size()], ""});
        if (!waitReady(this->fleet.process(node).address, 20s)) {
            std::puts("a new node did not become ready");
        }
        this->ready.add(std::chrono::steady_clock::now() - begin);
        this->running.push_back(node);
        return node;
    }

    std::size_t removeOldest()
    {
        const std::size_t node = this->running.front();
        this->running.pop_front();
        return node;
    }

    /** Waits for the exit of a node that was signalled to stop. */
    void awaitExit(std::size_t node)
    {
        const auto begin = std::chrono::steady_clock::now();
        this->failedStops += this->fleet.waitEnd(node, 60s) == 0 ? 0 : 1;
        this->stops.add(std::chrono::steady_clock::now() - begin);
    }

    LocalFleet fleet;
    std::deque<std::size_t> running;
    std::vector<std::size_t> engines;
    std::vector<std::size_t> services;
    std::size_t started = 0;
    int failedStops = 0;
    Durations ready;
    Durations stops;
};

void startEndpoints(Fleet &fleet)
{
    fleet.fleet.startPlatform();
    for (std::size_t i = 0; i < 9; ++i) {
        fleet.engines.push_back(
            fleet.fleet.startEndpoint("engine", "appraisal", domains[i % 3], {"--capacity=16"}, "capacity = 16"));
    }
    for (const std::string &domain : domains) {
        fleet.services.push_back(fleet.fleet.startEndpoint("service", "prices", domain));
        fleet.services.push_back(fleet.fleet.startEndpoint("service", "offers", domain));
    }
    fleet.fleet.addSettings("[[service]]\nname = \"prices\"\n[[service]]\nname = \"offers\"\nis_idempotent = false\n"
                            "[peers]\nsite_key = \"measurement\"\n[entry]\nentry_ttl = \"2s\"\n");
}

std::string submitJob(Fleet &fleet)
{
    std::string items;
    for (int i = 0; i < FLAGS_items; ++i) {
        items += "{\"model\":\"appraisal\",\"max_tokens\":60,\"prompt\":\"lot item ";
        items += std::to_string(i);
        items += "\"}\n";
    }
    const Address address = fleet.fleet.process(fleet.running.front()).address;
    const auto answer = LocalFleet::call(address, "POST", "/v1/batches", items);
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    return body.is_object() && body.contains("id") ? body["id"].get<std::string>() : std::string();
}

nlohmann::json jobStatus(Fleet &fleet, const std::string &job)
{
    const Address address = fleet.fleet.process(fleet.running.back()).address;
    return nlohmann::json::parse(LocalFleet::call(address, "GET", "/v1/batches/" + job).body, nullptr, false);
}

void replaceOneByOne(Fleet &fleet)
{
    for (int i = 0; i < FLAGS_nodes; ++i) {
        fleet.startNode();
        const std::size_t old = fleet.removeOldest();
        fleet.fleet.signal(old, SIGTERM);
        fleet.awaitExit(old);
    }
}

void replaceTwoAndKillOne(Fleet &fleet)
{
    const std::size_t first = fleet.removeOldest();
    const std::size_t second = fleet.removeOldest();
    const std::size_t third = fleet.removeOldest();
    fleet.startNode();
    fleet.startNode();
    fleet.fleet.signal(first, SIGTERM);
    fleet.fleet.signal(second, SIGTERM);
    std::this_thread::sleep_for(500ms);
    fleet.fleet.signal(third, SIGKILL);
    fleet.startNode();
    fleet.awaitExit(first);
    fleet.awaitExit(second);
    std::this_thread::sleep_for(3s);
}

void printTallies(FollowingCallers &callers)
{
    for (auto &[phase, kinds] : callers.tallies()) {
        for (auto &[kind, tally] : kinds) {
            std::string prefix = "replace.";
            prefix.append(phase).append(".").append(kind).append(".");
            std::uint64_t refused = 0;
            for (const auto &[reason, count] : tally.refused) {
                std::printf("note %srefused %s: %llu\n", prefix.c_str(), reason.c_str(), static_cast<unsigned long long>(count));
                refused += count;
            }
            printFigure(prefix + "answered", static_cast<double>(tally.answered.count()), "requests");
            printFigure(prefix + "cut", static_cast<double>(tally.interrupted), "requests");
            printFigure(prefix + "retried", static_cast<double>(tally.retried), "requests");
            printFigure(prefix + "refused", static_cast<double>(refused), "requests");
            printFigure(prefix + "p50", tally.answered.percentile(0.5), "ms");
            printFigure(prefix + "p99", tally.answered.percentile(0.99), "ms");
            printFigure(prefix + "p999", tally.answered.percentile(0.999), "ms");
        }
    }
}

/** Prints how many calls of the plain services and starts of batch items came after the first of each. */
void printDuplicates(Fleet &fleet)
{
    double offers = 0;
    for (const std::size_t service : fleet.services) {
        const auto runs
            = nlohmann::json::parse(LocalFleet::call(fleet.fleet.process(service).address, "GET", "/runs").body, nullptr, false);
        for (const auto &[call, count] : runs.items()) {
            offers += call.find("issue") != std::string::npos ? count.get<double>() - 1 : 0;
        }
    }
    std::map<std::string, double> starts;
    for (const std::size_t engine : fleet.engines) {
        const auto counts
            = nlohmann::json::parse(LocalFleet::call(fleet.fleet.process(engine).address, "GET", "/counts").body, nullptr, false);
        for (const auto &[prompt, count] : counts["starts"].items()) {
            starts[prompt] += prompt.find("lot item") != std::string::npos ? count.get<double>() : 0;
        }
    }
    double repeated = 0;
    for (const auto &[prompt, count] : starts) {
        repeated += count > 1 ? count - 1 : 0;
    }
    printFigure("replace.offers_run_twice", offers, "calls");
    printFigure("replace.items_started_again", repeated, "starts");
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Fleet fleet(FLAGS_programs);
    startEndpoints(fleet);
    for (int i = 0; i < FLAGS_nodes; ++i) {
        fleet.startNode();
    }
    if (!fleet.fleet.waitReady(20s)) {
        std::puts("the nodes did not all become ready");
        return 1;
    }
    std::vector<Address> bootstrap;
    for (const std::size_t node : fleet.running) {
        bootstrap.push_back(fleet.fleet.process(node).address);
    }
    FollowingCallers callers(bootstrap, domains);
    const std::string job = submitJob(fleet);
    callers.start(makeKinds());
    std::this_thread::sleep_for(3s);
    callers.enterPhase("steady");
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_steady));
    callers.enterPhase("rolling");
    replaceOneByOne(fleet);
    callers.enterPhase("after");
    std::printf("note job after rolling: %s\n", jobStatus(fleet, job).dump().c_str());
    callers.enterPhase("two_and_kill");
    replaceTwoAndKillOne(fleet);
    callers.stop();
    for (int i = 0; i < 200 && jobStatus(fleet, job).value("status", "") != "completed"; ++i) {
        std::this_thread::sleep_for(100ms);
    }
    std::printf("note job in the end: %s\n", jobStatus(fleet, job).dump().c_str());
    printTallies(callers);
    printDuplicates(fleet);
    printFigure("replace.start_to_ready_p50", fleet.ready.percentile(0.5), "ms");
    printFigure("replace.start_to_ready_worst", fleet.ready.percentile(1), "ms");
    printFigure("replace.stop_p50", fleet.stops.percentile(0.5), "ms");
    printFigure("replace.stop_worst", fleet.stops.percentile(1), "ms");
    printFigure("replace.bad_ends", fleet.failedStops, "nodes");
    return 0;
}
