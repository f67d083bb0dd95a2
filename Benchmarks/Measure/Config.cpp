// Measures the time from an operator's request until the configuration is in force at every node, by the number of nodes:
// with a healthy platform, and with a platform that fails as soon as the version is inserted.
#include <Benchmarks/Support/Figures.h>
#include <Benchmarks/Support/LocalFleet.h>

#include <LibBase/Encoding.h>
#include <LibHttp/HttpClient.h>
#include <LibTask/EventLoop.h>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <sstream>
#include <thread>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs");
DEFINE_string(sizes, "3,11,40", "numbers of nodes");
DEFINE_int32(rounds, 5, "versions applied for each figure");
DEFINE_uint64(tenants, 0, "number of tenants in the configuration, to measure a large one");

namespace
{

using namespace Dogwoodkeel;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds pollPause{5};
constexpr std::chrono::seconds maxWait{30};
constexpr std::chrono::seconds callTimeout{20};
constexpr int statusOk = 200;
constexpr const char *operatorKey = "measurement";

/** Sends a request with the operator's key. */
LocalFleet::Answer call(const Address &node, const std::string &method, const std::string &path, const std::string &body = {})
{
    EventLoop loop;
    HttpClient client(loop);
    LocalFleet::Answer answer;
    const HttpRequest request{
        .method = method, .path = path, .headers = {{"Authorization", std::string("Bearer ") + operatorKey}}, .body = body};
    client.fetch(node, request, callTimeout, [&](ExchangeEnd end, const HttpResponse &response) {
        answer = {end == ExchangeEnd::Complete ? response.status : 0, response.body};
        loop.stop();
    });
    loop.run();
    return answer;
}

std::string contentOf(std::uint64_t number)
{
    std::string base = "[entry]\nentry_ttl = \"1s\"\nentry_count = " + std::to_string(number % 60 + 1) + "\n";
    if (FLAGS_tenants > 0) {
        base += "[[tenant]]\nname = \"operators\"\nis_operator = true\nkey_hashes = [\"" + hashOfKey(operatorKey) + "\"]\n";
    }
    for (std::uint64_t i = 0; i < FLAGS_tenants; ++i) {
        base += "[[tenant]]\nname = \"workspace-" + std::to_string(i) + "\"\n";
    }
    return base;
}

/** Runs one fleet and applies configuration versions to it. */
class Trial
{
public:
    explicit Trial(int nodes) : fleet(FLAGS_programs)
    {
        this->fleet.startPlatform();
        for (int i = 0; i < nodes; ++i) {
            this->fleet.startNode({"domain-" + std::to_string(i % 3), ""});
        }
    }

    bool isReady()
    {
        return this->fleet.waitReady(std::chrono::seconds(60));
    }

    /** @return time from the operator's request until the last node reports the version as in force, or nothing if it fails */
    std::optional<Clock::duration> apply(bool isDownAfterwards)
    {
        const Address node = this->fleet.process(this->fleet.nodes().front()).address;
        const Json body{{"edited", this->number},
                        {"nonce", "nonce-" + std::to_string(this->number)},
                        {"reason", "measurement"},
                        {"base", contentOf(this->number)}};
        const auto start = Clock::now();
        if (const auto answer = call(node, "POST", "/v1/config", body.dump()); answer.status != statusOk) {
            std::fprintf(stderr, "apply: %d %s\n", answer.status, answer.body.c_str());
            return std::nullopt;
        }
        ++this->number;
        if (isDownAfterwards) {
            LocalFleet::call(this->fleet.platform(), "POST", "/faults", "{\"down\":true}");
        }
        while (!this->isInForce(node)) {
            if (Clock::now() - start > maxWait) {
                return std::nullopt;
            }
            std::this_thread::sleep_for(pollPause);
        }
        const auto duration = Clock::now() - start;
        if (isDownAfterwards) {
            LocalFleet::call(this->fleet.platform(), "POST", "/faults", "{\"down\":false}");
        }
        return duration;
    }

private:
    bool isInForce(const Address &node)
    {
        const auto answer = call(node, "GET", "/v1/config/nodes");
        const Json json = Json::parse(answer.body, nullptr, false);
        if (answer.status != statusOk || json["nodes"].size() < this->fleet.nodes().size()) {
            return false;
        }
        for (const Json &state : json["nodes"]) {
            if (!state.contains("site") || state.value("in_force", std::uint64_t{0}) < this->number) {
                return false;
            }
        }
        return true;
    }

    LocalFleet fleet;
    std::uint64_t number = 0;
};

bool measure(int nodes)
{
    Trial trial(nodes);
    if (!trial.isReady()) {
        std::fprintf(stderr, "%d nodes did not become ready\n", nodes);
        return false;
    }
    for (const bool isDown : {false, true}) {
        Durations durations;
        for (int round = 0; round < FLAGS_rounds; ++round) {
            const auto duration = trial.apply(isDown);
            if (!duration) {
                std::fprintf(stderr, "a version did not come into force at %d nodes\n", nodes);
                return false;
            }
            durations.add(*duration);
        }
        const std::string name = std::string(isDown ? "config.platform_down_" : "config.healthy_") + std::to_string(nodes);
        printFigure(name + "_p50", durations.percentile(0.5), "ms");
        printFigure(name + "_worst", durations.percentile(1), "ms");
    }
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::istringstream sizes(FLAGS_sizes);
    for (std::string size; std::getline(sizes, size, ',');) {
        if (!measure(std::stoi(size))) {
            return 1;
        }
    }
    return 0;
}
