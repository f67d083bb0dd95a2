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

/** Two nodes and two engines, each with room for four streams. */
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

    Json ask(std::size_t process, const std::string &method, const std::string &path, const std::string &body = {})
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
        return this->ask(this->nodes[0], "POST", "/v1/batches", lines).at("id");
    }

    Json status(const std::string &job)
    {
        return this->ask(this->nodes[0], "GET", "/v1/batches/" + job);
    }

    /** @return a count summed over the engines that run. */
    int sum(const std::string &name)
    {
        int total = 0;
        for (const std::size_t engine : this->engines) {
            total += this->ask(engine, "GET", "/counts").value(name, 0);
        }
        return total;
    }

    int starts()
    {
        int total = 0;
        for (const std::size_t engine : this->engines) {
            for (const auto &[prompt, count] : this->ask(engine, "GET", "/counts").at("starts").items()) {
                total += count.get<int>();
            }
        }
        return total;
    }

    int most(const std::string &name)
    {
        int found = 0;
        for (const std::size_t engine : this->engines) {
            found = std::max(found, this->ask(engine, "GET", "/counts").value(name, 0));
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
    constexpr int tries = 300;
    for (int i = 0; i < tries; ++i) {
        if (isReached()) {
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

} // namespace

// A buyer cancels a lot while its items run on the engines and more wait in the lanes. The lot's owner journals the
// cancellation and tells the lanes, which cancel the streams and drop what they have pulled. The engines must end up with
// nothing running, and no item of the lot may start any more.
TEST_CASE("a cancelled job stops: running items are cancelled and no other starts")
{
    Site site;
    const std::string job = site.submit(200, "endless", 1000000);
    REQUIRE(waitUntil([&site] {
        return site.sum("running") >= 6;
    }));
    site.ask(site.nodes[1], "POST", "/v1/batches/" + job + "/cancel");
    CHECK(waitUntil([&site] {
        return site.sum("running") == 0 && site.sum("queued") == 0;
    }));
    const int started = site.starts();
    std::this_thread::sleep_for(1s);
    CHECK(site.starts() == started);
    CHECK(site.sum("running") == 0);
    CHECK(site.status(job).at("status") == "cancelled");
}

// The node that owns a lot is lost, and with it the lane it held, while items run. The other node takes over: every item
// is done exactly once, and the caller reads all results, though some were moved out of memory before.
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

// The node that holds both lanes' items stands still, its connections to the engines open and its items running. The other
// node takes its lanes over. It must not start a full set beside them: an online request would queue behind all of it.
// When the first wakes, it must not start more either before it has seen what runs.
TEST_CASE("a paused holder and its successor do not fill a replica twice")
{
    Site site;
    constexpr int items = 60;
    const std::string job = site.submit(items, "slow", 400);
    REQUIRE(waitUntil([&site] {
        return site.sum("running") >= 6;
    }));
    site.fleet.signal(site.nodes[1], SIGSTOP);
    std::this_thread::sleep_for(4s);
    site.fleet.signal(site.nodes[1], SIGCONT);
    CHECK(waitUntil([&] {
        return hasEnded(site, job);
    }));
    CHECK(site.status(job).value("succeeded", 0) == items);
    CHECK(site.most("most_queued") <= 1);
}

// One item crashes each engine that runs it. The engines come back after a while. The lot must complete: the item ends
// failed after the second engine, and the items that were running beside it are not blamed.
TEST_CASE("an item that crashes engines ends failed and the others complete")
{
    Site site;
    constexpr int items = 40;
    std::string lines;
    for (int i = 0; i < items; ++i) {
        const std::string prompt = i == 10 ? "crash-the-engine" : "bystander " + std::to_string(i);
        lines += Json({{"model", "notes"}, {"prompt", prompt}, {"max_tokens", 60}}).dump() + '\n';
    }
    const std::string job = site.ask(site.nodes[0], "POST", "/v1/batches", lines).at("id");
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

// Every connection to the engines goes silent for good, new ones work. The items that ran there are run again over new
// connections once they have made no progress for a while, and the job completes.
TEST_CASE("a job survives connections that go silent")
{
    Site site;
    constexpr int items = 30;
    const std::string job = site.submit(items, "quiet", 300);
    REQUIRE(waitUntil([&site] {
        return site.sum("running") >= 6;
    }));
    for (const std::size_t engine : site.engines) {
        site.ask(engine, "POST", "/faults", R"({"silent": true})");
    }
    CHECK(waitUntil([&] {
        return hasEnded(site, job);
    }));
    CHECK(site.status(job).value("succeeded", 0) == items);
}
