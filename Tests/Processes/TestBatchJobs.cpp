#include <Benchmarks/Support/LocalFleet.h>

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <functional>
#include <thread>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

using Json = nlohmann::json;

/** Two nodes and two engines with a capacity of four streams each. */
struct Site
{
    Site() : fleet(PROGRAMS_FOLDER)
    {
        this->fleet.startPlatform();
        for (const char *const domain : {"one", "two"}) {
            this->engines.push_back(this->fleet.startEndpoint("engine", "notes", domain, {"--capacity=4"}, "capacity = 4"));
        }
        this->fleet.addSettings("[batch]\nitem_lease = \"5s\"\n[entry]\nprogress_timeout = \"1s\"\n");
        for (const char *const domain : {"one", "two"}) {
            this->nodes.push_back(this->fleet.startNode({domain, ""}));
        }
        REQUIRE(this->fleet.waitReady(20s));
    }

    Json call(std::size_t process, const std::string &method, const std::string &path, const std::string &body = {})
    {
        return Json::parse(LocalFleet::call(this->fleet.process(process).address, method, path, body).body, nullptr, false);
    }

    std::string submit(int items, const std::string &prompt, int tokens)
    {
        std::string lines;
        for (int i = 0; i < items; ++i) {
            const Json line{{"model", "notes"}, {"prompt", prompt + ' ' + std::to_string(i)}, {"max_tokens", tokens}};
            lines += line.dump() + '\n';
        }
        return this->call(this->nodes[0], "POST", "/v1/batches", lines).at("id");
    }

    Json status(const std::string &job)
    {
        return this->call(this->nodes[0], "GET", "/v1/batches/" + job);
    }

    /** @return the sum of a count over the running engines. */
    int sum(const std::string &name)
    {
        int total = 0;
        for (const std::size_t engine : this->engines) {
            total += this->call(engine, "GET", "/counts").value(name, 0);
        }
        return total;
    }

    int starts()
    {
        int total = 0;
        for (const std::size_t engine : this->engines) {
            for (const auto &[prompt, count] : this->call(engine, "GET", "/counts").at("starts").items()) {
                total += count.get<int>();
            }
        }
        return total;
    }

    int maxOf(const std::string &name)
    {
        int found = 0;
        for (const std::size_t engine : this->engines) {
            found = std::max(found, this->call(engine, "GET", "/counts").value(name, 0));
        }
        return found;
    }

    LocalFleet fleet;
    std::vector<std::size_t> engines;
    std::vector<std::size_t> nodes;
};

bool hasEnded(Site &site, const std::string &job)
{
    return site.status(job).value("status", std::string()) == "completed";
}

bool waitUntil(const std::function<bool()> &isReached)
{
    constexpr int tries = 1000;
    for (int i = 0; i < tries; ++i) {
        if (isReached()) {
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

} // namespace

// A job is cancelled while some of its items run on the engines and more wait in the lanes. The job's owner journals the
// cancellation and notifies the lanes, which cancel the streams and drop the items they have pulled. Afterwards nothing may
// run on the engines, and no item of the job may start.
TEST_CASE("a cancelled job stops: running items are cancelled and no other starts")
{
    Site site;
    const std::string job = site.submit(200, "endless", 1000000);
    REQUIRE(waitUntil([&site] {
        return site.sum("running") >= 6;
    }));
    site.call(site.nodes[1], "POST", "/v1/batches/" + job + "/cancel");
    CHECK(waitUntil([&site] {
        return site.sum("running") == 0 && site.sum("queued") == 0;
    }));
    const int started = site.starts();
    std::this_thread::sleep_for(1s);
    CHECK(site.starts() == started);
    CHECK(site.sum("running") == 0);
    CHECK(site.status(job).at("status") == "cancelled");
}

// The node that owns a job, and holds a lane, is killed while items run. The other node takes over: every item must be
// completed exactly once, and the caller must be able to read all results, including those moved out of memory before.
TEST_CASE("a job survives the loss of a node with every item done once")
{
    Site site;
    constexpr int items = 150;
    const std::string job = site.submit(items, "lot", 30);
    REQUIRE(waitUntil([&] {
        return site.status(job).value("succeeded", 0) >= 20;
    }));
    site.fleet.signal(site.nodes[1], SIGKILL);
    REQUIRE(waitUntil([&] {
        return site.status(job).value("status", std::string()) == "completed";
    }));
    CHECK(site.status(job).at("succeeded") == items);
    const auto results
        = LocalFleet::call(site.fleet.process(site.nodes[0]).address, "GET", "/v1/batches/" + job + "/results?limit=1000");
    CHECK(std::count(results.body.begin(), results.body.end(), '\n') == items);
}

// A node that holds lanes is paused while its connections to the engines stay open and its items run. The other node takes
// over its lanes. It must not start a full set of items beside the running ones, because an online request would queue
// behind all of them. The first node must not start more items after it resumes until it knows what runs, and must release
// its remaining items to the new holders of their lanes. Then the same is repeated with the other node.
TEST_CASE("a paused lane holder and its successor do not fill a replica twice")
{
    Site site;
    constexpr int items = 12;
    const std::string job = site.submit(items, "slow", 3000);
    REQUIRE(waitUntil([&site] {
        return site.sum("running") >= 6;
    }));
    for (const std::size_t node : site.nodes) {
        site.fleet.signal(node, SIGSTOP);
        std::this_thread::sleep_for(5s);
        site.fleet.signal(node, SIGCONT);
        std::this_thread::sleep_for(1s);
    }
    CHECK(waitUntil([&] {
        return hasEnded(site, job);
    }));
    CHECK(site.status(job).value("succeeded", 0) == items);
    CHECK(site.maxOf("most_queued") <= 1);
}

// One item crashes each engine that runs it, and the engines are restarted. The job must complete: the item fails after the
// second crash, and the crashes are not attributed to the items that ran beside it.
TEST_CASE("an item that crashes engines ends failed and the others complete")
{
    Site site;
    constexpr int items = 40;
    std::string lines;
    for (int i = 0; i < items; ++i) {
        const std::string prompt = i == 10 ? "crash-the-engine" : "bystander " + std::to_string(i);
        lines += Json({{"model", "notes"}, {"prompt", prompt}, {"max_tokens", 60}}).dump() + '\n';
    }
    const std::string job = site.call(site.nodes[0], "POST", "/v1/batches", lines).at("id");
    int crashes = 0;
    CHECK(waitUntil([&] {
        for (const std::size_t engine : site.engines) {
            if (site.fleet.waitEnd(engine, 1ms) >= 0) {
                ++crashes;
                site.fleet.restart(engine);
            }
        }
        return hasEnded(site, job);
    }));
    CHECK(crashes == 2);
    CHECK(site.status(job).value("failed", 0) == 1);
    CHECK(site.status(job).value("succeeded", 0) == items - 1);
}

// All open connections to the engines become permanently unresponsive, while new ones work. Items that make no progress
// until the timeout must be run again over new connections, and the job must complete.
TEST_CASE("a job completes after its connections become unresponsive")
{
    Site site;
    constexpr int items = 30;
    const std::string job = site.submit(items, "quiet", 300);
    REQUIRE(waitUntil([&site] {
        return site.sum("running") >= 6;
    }));
    for (const std::size_t engine : site.engines) {
        site.call(engine, "POST", "/faults", R"({"silent": true})");
    }
    CHECK(waitUntil([&] {
        return hasEnded(site, job);
    }));
    CHECK(site.status(job).value("succeeded", 0) == items);
}
