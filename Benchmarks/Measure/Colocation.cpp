// What batch work does to interactive callers, and how much of the idle capacity it uses: without yielding, with a static
// split of the replicas, with a fixed limit, and as it is. Each variant first serves online requests alone and then with a
// batch job beside them, in one fleet, so that both see the same machine.
#include <Benchmarks/Support/Figures.h>
#include <Benchmarks/Support/LocalFleet.h>
#include <Benchmarks/Support/OnlineLoad.h>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <thread>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs");
DEFINE_int32(nodes, 6, "nodes; the users have 10 to 11");
DEFINE_int32(seconds, 8, "how long each half of a variant is measured");
DEFINE_string(mix, "trocamundo", "trocamundo (notes, bursts) or hoshizora (labels, steady)");
DEFINE_string(variants, "unlimited,static,fixed,yield", "what to compare");
DEFINE_bool(debug, false, "let the nodes log what the lanes do; KEEP_LOGS=1 keeps the logs");
DEFINE_int32(capacity, 8, "streams an engine runs side by side; the load grows with it");
DEFINE_uint64(seed, 1, "of the arrivals");

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

/** One fleet, with the settings of a variant. */
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

struct Half
{
    OnlineFigures online;
    double batchTokensPerSecond = 0;
    double onlineTokensPerSecond = 0;
};

Half measureHalf(Site &site)
{
    const std::uint64_t before = site.tokens();
    const auto start = std::chrono::steady_clock::now();
    Half half;
    half.online = OnlineLoad(site.entries(), mixOf(FLAGS_mix), FLAGS_seed).run(std::chrono::seconds(FLAGS_seconds));
    const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - start;
    half.onlineTokensPerSecond = static_cast<double>(half.online.tokens) / passed.count();
    half.batchTokensPerSecond = static_cast<double>(site.tokens() - before) / passed.count() - half.onlineTokensPerSecond;
    return half;
}

void print(const std::string &name, Half &half)
{
    for (const auto &[label, share] : {std::pair("p50", 0.5), std::pair("p95", 0.95), std::pair("p99", 0.99)}) {
        printFigure(name + ".first_token_" + label, half.online.firstToken.percentile(share), "ms");
        printFigure(name + ".between_tokens_" + label, half.online.betweenTokens.percentile(share), "ms");
        printFigure(name + ".total_" + label, half.online.total.percentile(share), "ms");
        printFigure(name + ".lookup_" + label, half.online.lookup.percentile(share), "ms");
    }
    printFigure(name + ".online_tokens", half.onlineTokensPerSecond, "1/s");
    printFigure(name + ".batch_tokens", half.batchTokensPerSecond, "1/s");
    printFigure(name + ".failed", static_cast<double>(half.online.failed), "requests");
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
    // What the engines make when nothing but batch items run, all places taken: what is idle is this less the online tokens.
    double most = 0;
    {
        Site site("unlimited");
        site.submitJob();
        std::this_thread::sleep_for(3s);
        const std::uint64_t before = site.tokens();
        std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
        most = static_cast<double>(site.tokens() - before) / FLAGS_seconds;
        printFigure("colocation.batch_alone.batch_tokens", most, "1/s");
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
        Half alone = measureHalf(site);
        print(name + ".without_batch", alone);
        site.submitJob();
        std::this_thread::sleep_for(2s);
        Half both = measureHalf(site);
        print(name + ".with_batch", both);
        printFigure(name + ".first_token_p99_ratio", ratio(both.online.firstToken, alone.online.firstToken), "x");
        printFigure(name + ".between_tokens_p99_ratio", ratio(both.online.betweenTokens, alone.online.betweenTokens), "x");
        printFigure(name + ".total_p99_ratio", ratio(both.online.total, alone.online.total), "x");
        printFigure(name + ".lookup_p99_ratio", ratio(both.online.lookup, alone.online.lookup), "x");
        printFigure(name + ".idle_used", both.batchTokensPerSecond / (most - both.onlineTokensPerSecond), "share");
    }
    return 0;
}
