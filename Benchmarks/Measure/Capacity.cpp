// Measures the costs that docs/CAPACITY.md is based on: the use of an idle node by the number of nodes and replicas, and the
// processor time, memory and platform writes of a lookup, a token, a retained result and a batch item, at three sizes each.
#include <Benchmarks/Support/Figures.h>
#include <Benchmarks/Support/LocalFleet.h>
#include <Benchmarks/Support/ProcessUsage.h>

#include <LibHttp/HttpClient.h>
#include <LibTask/EventLoop.h>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <functional>
#include <memory>
#include <thread>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs");
DEFINE_string(only, "", "measure only this part: nodes, replicas, lookups, tokens, results or items");
DEFINE_int32(seconds, 5, "how long an idle fleet is measured");

namespace
{

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

constexpr double bytesPerKilobyte = 1024;

struct Totals
{
    std::chrono::microseconds processorTime{0};
    double memoryKilobytes = 0;
    double platformReads = 0;
    double platformWrites = 0;
};

/** Runs a separate fleet of a platform, replicas and nodes. */
struct Site
{
    explicit Site(std::size_t nodes, std::size_t engines, std::size_t extraReplicas) : fleet(FLAGS_programs)
    {
        this->fleet.startPlatform();
        this->fleet.startEndpoint("service", "prices", "d0");
        this->fleet.addSettings("[[service]]\nname = \"prices\"\n[batch]\nitem_lease = \"1h\"\n");
        for (std::size_t i = 0; i < engines; ++i) {
            this->fleet.startEndpoint("engine",
                                      "appraisal",
                                      "d" + std::to_string(i % 3),
                                      {"--capacity=64", "--step_us=1000", "--per_stream_us=10", "--prefill_us=1000"},
                                      "capacity = 64\n");
        }
        for (std::size_t i = 0; i < extraReplicas; ++i) {
            // These replicas receive no requests; they only add to the replicas that the nodes track.
            this->fleet.addSettings("[[endpoint]]\nname = \"idle-" + std::to_string(i) + "\"\naddress = \"127.0.0.1:1\"\n"
                                    + "failure_domain = \"d" + std::to_string(i % 7) + "\"\nmodel = \"m" + std::to_string(i % 21)
                                    + "\"\n");
        }
        for (std::size_t i = 0; i < nodes; ++i) {
            this->fleet.startNode({"d" + std::to_string(i % 3), ""});
        }
        this->isReady = this->fleet.waitReady(60s);
        std::this_thread::sleep_for(1s);
    }

    Totals totals() const
    {
        Totals sum;
        for (const std::size_t index : this->fleet.nodes()) {
            const ProcessUsage usage = ProcessUsage::of(this->fleet.process(index).pid);
            sum.processorTime += usage.processorTime;
            sum.memoryKilobytes += static_cast<double>(usage.memoryBytes) / bytesPerKilobyte;
        }
        const auto counts
            = nlohmann::json::parse(LocalFleet::call(this->fleet.platform(), "GET", "/counts").body, nullptr, false);
        if (counts.is_object()) {
            sum.platformReads = counts.value("reads", 0.0);
            sum.platformWrites = counts.value("writes", 0.0);
        }
        return sum;
    }

    Address node(std::size_t number) const
    {
        const auto nodes = this->fleet.nodes();
        return this->fleet.process(nodes[number % nodes.size()]).address;
    }

    LocalFleet fleet;
    bool isReady = false;
};

double microseconds(std::chrono::microseconds time)
{
    return static_cast<double>(time.count());
}

/** Prints the processor time, memory and platform calls of each node without requests. */
void printIdle(const Site &site, const std::string &name)
{
    if (!site.isReady) {
        std::printf("note %s: not every node became ready\n", name.c_str());
        return;
    }
    const double nodes = static_cast<double>(site.fleet.nodes().size());
    const Totals before = site.totals();
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
    const Totals after = site.totals();
    const double seconds = FLAGS_seconds;
    printFigure(
        name + ".core_share", microseconds(after.processorTime - before.processorTime) / (seconds * nodes * 1e6) * 100, "%/node");
    printFigure(name + ".memory", after.memoryKilobytes / bytesPerKilobyte / nodes, "MB/node");
    printFigure(name + ".platform_reads", (after.platformReads - before.platformReads) / (seconds * nodes), "1/s/node");
    printFigure(name + ".platform_writes", (after.platformWrites - before.platformWrites) / (seconds * nodes), "1/s/node");
}

/** Sends `wanted` requests with at most `inFlight` at a time. @return the number of responses with status 200 */
std::size_t
sendMany(const Site &site, std::size_t wanted, std::size_t inFlight, const std::function<HttpRequest(std::size_t)> &make)
{
    EventLoop loop;
    HttpClient client(loop);
    std::size_t sent = 0;
    std::size_t ended = 0;
    std::size_t succeeded = 0;
    std::function<void()> next = [&] {
        if (sent == wanted) {
            return;
        }
        const std::size_t number = sent++;
        client.fetch(site.node(number), make(number), 30s, [&](ExchangeEnd end, const HttpResponse &response) {
            succeeded += end == ExchangeEnd::Complete && response.status == 200 ? 1 : 0;
            if (++ended == wanted) {
                loop.stop();
            }
            next();
        });
    };
    for (std::size_t i = 0; i < std::min(inFlight, wanted); ++i) {
        next();
    }
    loop.run();
    return succeeded;
}

HttpRequest completion(std::size_t number, int tokens, bool isStream)
{
    const nlohmann::json body{
        {"model", "appraisal"}, {"max_tokens", tokens}, {"stream", isStream}, {"prompt", "console " + std::to_string(number)}};
    return {.method = "POST",
            .path = "/v1/completions",
            .headers = {{"Content-Type", "application/json"}, {"Idempotency-Key", "k" + std::to_string(number)}},
            .body = body.dump()};
}

void measureNodes()
{
    for (const std::size_t nodes : {3U, 6U, 11U, 22U}) {
        const Site site(nodes, 3, 0);
        printIdle(site, "idle.nodes_" + std::to_string(nodes));
    }
}

void measureReplicas()
{
    for (const std::size_t replicas : {9U, 180U, 1800U}) {
        const Site site(3, 3, replicas);
        printIdle(site, "idle.replicas_" + std::to_string(replicas));
    }
    // The same replicas over more nodes: separates the cost per lane of a node from the cost per replica that it tracks.
    const Site spread(11, 3, 1800);
    printIdle(spread, "idle.replicas_1800_nodes_11");
}

void measureLookups()
{
    const Site site(3, 1, 0);
    for (const std::size_t count : {5000U, 20000U, 60000U}) {
        const Totals before = site.totals();
        const std::size_t succeeded = sendMany(site, count, 16, [](std::size_t) {
            return HttpRequest{.method = "GET", .path = "/v1/services/prices/lookup"};
        });
        const Totals after = site.totals();
        const std::string name = "lookups_" + std::to_string(count);
        printFigure(name + ".succeeded", static_cast<double>(succeeded), "lookups");
        printFigure(
            name + ".cpu", microseconds(after.processorTime - before.processorTime) / static_cast<double>(count), "us/lookup");
        printFigure(name + ".platform_writes", after.platformWrites - before.platformWrites, "writes");
    }
}

void measureTokens()
{
    const Site site(3, 6, 0);
    std::size_t offset = 0;
    for (const int tokens : {16, 128, 512}) {
        constexpr std::size_t count = 600;
        const Totals before = site.totals();
        const std::size_t succeeded = sendMany(site, count, 64, [&](std::size_t number) {
            return completion(offset + number, tokens, true);
        });
        const Totals after = site.totals();
        offset += count;
        const std::string name = "tokens_" + std::to_string(tokens);
        printFigure(name + ".succeeded", static_cast<double>(succeeded), "completions");
        printFigure(name + ".cpu",
                    microseconds(after.processorTime - before.processorTime) / static_cast<double>(count),
                    "us/completion");
    }
}

void measureResults()
{
    const Site site(3, 6, 0);
    std::size_t offset = 0;
    for (const std::size_t count : {2000U, 8000U, 24000U}) {
        const Totals before = site.totals();
        const std::size_t succeeded = sendMany(site, count, 128, [&](std::size_t number) {
            return completion(offset + number, 8, false);
        });
        const Totals after = site.totals();
        offset += count;
        const std::string name = "results_" + std::to_string(count);
        printFigure(name + ".succeeded", static_cast<double>(succeeded), "results");
        printFigure(
            name + ".cpu", microseconds(after.processorTime - before.processorTime) / static_cast<double>(count), "us/result");
        printFigure(name + ".memory",
                    (after.memoryKilobytes - before.memoryKilobytes) * bytesPerKilobyte / static_cast<double>(count),
                    "B/result");
        printFigure(name + ".platform_writes",
                    (after.platformWrites - before.platformWrites) / static_cast<double>(count),
                    "writes/result");
    }
}

/** Submits a job and waits until all items succeed. @return whether they did within the time limit */
bool runJob(const Site &site, std::size_t items)
{
    std::string body;
    for (std::size_t i = 0; i < items; ++i) {
        body
            += nlohmann::json({{"model", "appraisal"}, {"max_tokens", 4}, {"prompt", "item " + std::to_string(i)}}).dump() + '\n';
    }
    const LocalFleet::Answer accepted = LocalFleet::call(site.node(0), "POST", "/v1/batches", body);
    const auto job = nlohmann::json::parse(accepted.body, nullptr, false);
    if (!job.is_object() || !job.contains("id")) {
        std::printf("note job of %zu items: %s\n", items, accepted.body.c_str());
        return false;
    }
    const std::string path = "/v1/batches/" + job["id"].get<std::string>();
    for (int attempt = 0; attempt < 1200; ++attempt) {
        const auto state = nlohmann::json::parse(LocalFleet::call(site.node(1), "GET", path).body, nullptr, false);
        if (state.is_object() && state.value("succeeded", 0U) == items) {
            return true;
        }
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

void measureItems()
{
    const Site site(3, 6, 0);
    for (const std::size_t items : {1000U, 5000U, 20000U}) {
        const auto start = std::chrono::steady_clock::now();
        const Totals before = site.totals();
        const bool isDone = runJob(site, items);
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
        const Totals after = site.totals();
        const std::string name = "items_" + std::to_string(items);
        const auto count = static_cast<double>(items);
        printFigure(name + ".done", isDone ? 1 : 0, "jobs");
        printFigure(name + ".rate", count / elapsed.count(), "items/s");
        printFigure(name + ".cpu", microseconds(after.processorTime - before.processorTime) / count, "us/item");
        printFigure(name + ".memory", (after.memoryKilobytes - before.memoryKilobytes) * bytesPerKilobyte / count, "B/item");
        printFigure(name + ".platform_writes", (after.platformWrites - before.platformWrites) / count, "writes/item");
        printFigure(name + ".platform_reads", (after.platformReads - before.platformReads) / count, "reads/item");
    }
}

struct Part
{
    std::string name;
    void (*measure)();
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<Part> parts{{"nodes", measureNodes},
                                  {"replicas", measureReplicas},
                                  {"lookups", measureLookups},
                                  {"tokens", measureTokens},
                                  {"results", measureResults},
                                  {"items", measureItems}};
    for (const Part &part : parts) {
        if (FLAGS_only.empty() || FLAGS_only == part.name) {
            part.measure();
        }
    }
    return 0;
}
