// Measures how batch work affects the latency of online requests, and how much of the idle capacity it uses: without
// yielding, with a static split of the replicas, with a fixed limit, and with the yield policy. Each variant first serves
// online requests alone and then with a concurrent batch job, in the same fleet, so that both run on the same machine.
#include <Benchmarks/Support/Figures.h>
#include <Benchmarks/Support/LocalFleet.h>
#include <Benchmarks/Support/OnlineLoad.h>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <thread>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs");
DEFINE_int32(nodes, 6, "nodes; the users run 10 to 11");
DEFINE_int32(seconds, 8, "how long each phase of a variant is measured");
DEFINE_string(mix, "trocamundo", "trocamundo (notes, bursts) or hoshizora (labels, steady)");
DEFINE_string(variants, "unlimited,static,fixed,yield", "variants to compare");
DEFINE_bool(debug, false, "nodes log at debug level; KEEP_LOGS=1 keeps the logs");
DEFINE_int32(capacity, 8, "concurrent streams of an engine; the load scales with it");
DEFINE_uint64(seed, 1, "seed of the arrivals");

namespace
{

using namespace Dogwoodkeel;
using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr int replicas = 9;
constexpr int services = 3;
constexpr int jobItems = 20000;
constexpr int jobTokens = 48;
constexpr int staticBatchReplicas = 3;
const std::vector<std::string> domains{"one", "two", "three"};

OnlineMix mixOf(const std::string &name)
{
    constexpr double usualCapacity = 8;
    const double scale = FLAGS_capacity / usualCapacity;
    OnlineMix mix;
    mix.model = "online";
    mix.service = "prices";
    mix.lookupsPerSecond = 50;
    if (name == "hoshizora") {
        mix.requestsPerSecond = 70 * scale;
        mix.burstRequestsPerSecond = 70 * scale;
        mix.tokens = 8;
        mix.promptBytes = 128;
        return mix;
    }
    mix.requestsPerSecond = 15 * scale;
    mix.burstRequestsPerSecond = 90 * scale;
    mix.tokens = 24;
    mix.promptBytes = 768;
    return mix;
}

/** Runs one fleet with the settings of a variant. */
class Site
{
public:
    explicit Site(const std::string &variant) : fleet(FLAGS_programs), isStatic(variant == "static")
    {
        this->fleet.startPlatform();
        for (int i = 0; i < replicas; ++i) {
            const bool isForBatch = this->isStatic && i % domains.size() == 0;
            this->engines.push_back(this->fleet.startEndpoint(
                "engine",
                isForBatch ? "batch" : "online",
                domains[static_cast<std::size_t>(i / services)],
                {"--capacity=" + std::to_string(FLAGS_capacity), "--step_us=20000", "--per_stream_us=150"},
                "capacity = " + std::to_string(FLAGS_capacity)));
        }
        for (int i = 0; i < services; ++i) {
            this->fleet.startEndpoint("service", "prices", domains[static_cast<std::size_t>(i)]);
        }
        this->fleet.addSettings("[[service]]\nname = \"prices\"\n[batch]\n");
        this->fleet.addSettings(this->isStatic || variant == "unlimited" ? "policy = \"unlimited\"\n" : "");
        this->fleet.addSettings(
            variant == "fixed" ? "policy = \"fixed_limit\"\nfixed_limit = " + std::to_string(FLAGS_capacity / 2) + "\n" : "");
        const std::string overlay = FLAGS_debug ? "[node]\nlog = \"debug\"\n" : "";
        for (int i = 0; i < FLAGS_nodes; ++i) {
            this->nodes.push_back(this->fleet.startNode({domains[static_cast<std::size_t>(i) % domains.size()], overlay}));
        }
        this->isReady = this->fleet.waitReady(60s);
    }

    std::vector<Address> entries() const
    {
        std::vector<Address> addresses;
        for (const std::size_t node : this->nodes) {
            addresses.push_back(this->fleet.process(node).address);
        }
        return addresses;
    }

    void submitJob()
    {
        std::string lines;
        for (int i = 0; i < jobItems; ++i) {
            lines += Json({{"model", this->isStatic ? "batch" : "online"},
                           {"prompt", std::string(256, 'b') + " item " + std::to_string(i)},
                           {"max_tokens", jobTokens}})
                         .dump()
                + '\n';
        }
        LocalFleet::call(this->fleet.process(this->nodes[0]).address, "POST", "/v1/batches", lines);
    }

    std::uint64_t tokens() const
    {
        std::uint64_t sum = 0;
        for (const std::size_t engine : this->engines) {
            sum += Json::parse(LocalFleet::call(this->fleet.process(engine).address, "GET", "/counts").body)
                       .value("tokens", 0ULL);
        }
        return sum;
    }

    LocalFleet fleet;
    bool isStatic;
    bool isReady = false;
    std::vector<std::size_t> engines;
    std::vector<std::size_t> nodes;
};

struct Phase
{
    OnlineFigures online;
    double batchTokensPerSecond = 0;
    double onlineTokensPerSecond = 0;
};

Phase measurePhase(Site &site)
{
    const std::uint64_t before = site.tokens();
    const auto start = std::chrono::steady_clock::now();
    Phase phase;
    phase.online = OnlineLoad(site.entries(), mixOf(FLAGS_mix), FLAGS_seed).run(std::chrono::seconds(FLAGS_seconds));
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    phase.onlineTokensPerSecond = static_cast<double>(phase.online.tokens) / elapsed.count();
    phase.batchTokensPerSecond = static_cast<double>(site.tokens() - before) / elapsed.count() - phase.onlineTokensPerSecond;
    return phase;
}

void print(const std::string &name, Phase &phase)
{
    for (const auto &[label, share] : {std::pair("p50", 0.5), std::pair("p95", 0.95), std::pair("p99", 0.99)}) {
        printFigure(name + ".first_token_" + label, phase.online.firstToken.percentile(share), "ms");
        printFigure(name + ".between_tokens_" + label, phase.online.betweenTokens.percentile(share), "ms");
        printFigure(name + ".total_" + label, phase.online.total.percentile(share), "ms");
        printFigure(name + ".lookup_" + label, phase.online.lookup.percentile(share), "ms");
    }
    printFigure(name + ".online_tokens", phase.onlineTokensPerSecond, "1/s");
    printFigure(name + ".batch_tokens", phase.batchTokensPerSecond, "1/s");
    printFigure(name + ".failed", static_cast<double>(phase.online.failed), "requests");
}

double ratio(Durations &with, Durations &without)
{
    constexpr double share = 0.99;
    return with.percentile(share) / std::max(without.percentile(share), 0.001);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    // Tokens per second with only batch items and all slots in use; the idle capacity is this minus the online tokens.
    double maxTokensPerSecond = 0;
    {
        Site site("unlimited");
        site.submitJob();
        std::this_thread::sleep_for(3s);
        const std::uint64_t before = site.tokens();
        std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
        maxTokensPerSecond = static_cast<double>(site.tokens() - before) / FLAGS_seconds;
        printFigure("colocation.batch_alone.batch_tokens", maxTokensPerSecond, "1/s");
    }
    std::string variants = FLAGS_variants + ',';
    for (std::size_t comma = variants.find(','); comma != std::string::npos; comma = variants.find(',')) {
        const std::string variant = variants.substr(0, comma);
        variants.erase(0, comma + 1);
        Site site(variant);
        if (!site.isReady) {
            std::fprintf(stderr, "the nodes of %s did not become ready\n", variant.c_str());
            return 1;
        }
        const std::string name = "colocation." + variant;
        Phase alone = measurePhase(site);
        print(name + ".without_batch", alone);
        site.submitJob();
        std::this_thread::sleep_for(2s);
        Phase both = measurePhase(site);
        print(name + ".with_batch", both);
        printFigure(name + ".first_token_p99_ratio", ratio(both.online.firstToken, alone.online.firstToken), "x");
        printFigure(name + ".between_tokens_p99_ratio", ratio(both.online.betweenTokens, alone.online.betweenTokens), "x");
        printFigure(name + ".total_p99_ratio", ratio(both.online.total, alone.online.total), "x");
        printFigure(name + ".lookup_p99_ratio", ratio(both.online.lookup, alone.online.lookup), "x");
        printFigure(name + ".idle_used", both.batchTokensPerSecond / (maxTokensPerSecond - both.onlineTokensPerSecond), "share");
    }
    return 0;
}
