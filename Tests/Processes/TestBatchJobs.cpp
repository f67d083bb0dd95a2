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
        this->fleet.addSettings("[batch]\nitem_lease = \"5s\"\n");
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

    LocalFleet fleet;
    std::vector<std::size_t> engines;
    std::vector<std::size_t> nodes;
};

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
