#include <Tests/ServiceGateway/RunningGateway.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

/** Number of crashed replicas after which a request is refused. */
constexpr int crashesToRefuse = 3;

bool isCrashing(const MessageHead &head)
{
    return has(head.target, "crash");
}

/** A gateway with a service whose replicas a test stops, and starts again under other names. */
class StoppableReplicas : public RunningGateway
{
public:
    explicit StoppableReplicas(std::string service)
        : RunningGateway([&service](GatewayBench &bench) {
            bench.addReplica("i-other", service == "api" ? "llm" : "api", &streamWhole);
        })
        , service(std::move(service))
    {
    }

    /** Starts a replica that stops when it gets a crashing request, or later if stopTogether() was called. */
    std::string startReplica()
    {
        std::string name = "i-" + std::to_string(++this->lastReplica);
        this->host.ask<bool>([this, &name](GatewayBench &bench) {
            bench.addReplica(name, this->service, [this, &bench, name](const std::shared_ptr<CallerExchange> &exchange) {
                this->handle(bench, name, exchange);
            });
            return true;
        });
        return name;
    }

    /** Holds crashing requests at their replicas until this many have arrived, and then stops all of these replicas at once. */
    void stopTogether(std::size_t requests)
    {
        this->host.ask<bool>([this, requests](GatewayBench &) {
            this->stoppedTogether = requests;
            return true;
        });
    }

    /** Lets replicas close their connections but continue to run, as after a network reset. */
    void keepReplicasRunning()
    {
        this->host.ask<bool>([this](GatewayBench &) {
            this->stopsReplicas = false;
            return true;
        });
    }

    /** Sets whether requests crash the replicas that run them. */
    void setCrashing(bool isCrashing)
    {
        this->host.ask<bool>([this, isCrashing](GatewayBench &) {
            this->crashes = isCrashing;
            return true;
        });
    }

    void advance(std::chrono::seconds time)
    {
        this->host.ask<bool>([time](GatewayBench &bench) {
            bench.clock.shift(time);
            return true;
        });
    }

    /** @return how many crashing requests have reached replicas. */
    std::size_t crashingRuns()
    {
        return this->host.ask<std::size_t>([](GatewayBench &bench) {
            std::size_t count = 0;
            for (const std::unique_ptr<StandInReplica> &replica : bench.replicas) {
                count += static_cast<std::size_t>(std::ranges::count_if(replica->heads, &isCrashing));
            }
            return count;
        });
    }

    /** Waits until this many lost connections were classified, as crashes or otherwise. */
    void awaitClassified(int count)
    {
        await([this, count] {
            return this->eventCount("request met a crash") + this->eventCount("request met a broken connection") >= count;
        });
    }

    int eventCount(const std::string &event)
    {
        const std::string text = this->metrics();
        const std::string label = event + "\"} ";
        const std::size_t position = text.find(label);
        return position == std::string::npos ? 0 : std::stoi(text.substr(position + label.size()));
    }

    /** Sends a request without reading its answer. */
    std::unique_ptr<RawConnection> send(const std::string &target)
    {
        auto caller = std::make_unique<RawConnection>(this->address(&Gateway::callerAddress));
        caller->send("POST " + target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Request-Id: q"
                     + std::to_string(++this->lastRequest) + "\r\nX-Deadline-Ms: 20000\r\nContent-Length: 1\r\n\r\nx");
        return caller;
    }

    /** Lets a request crash replicas until one more crash would get it refused. */
    void crashOneShortOfRefusal(const std::string &target)
    {
        for (int crash = 1; crash < crashesToRefuse; ++crash) {
            this->startReplica();
            CHECK(this->send(target)->readAll().starts_with("HTTP/1.1 502"));
            this->awaitClassified(crash);
        }
    }

private:
    struct HeldRequest
    {
        std::string replica;
        std::shared_ptr<CallerExchange> exchange;
    };

    void handle(GatewayBench &bench, const std::string &name, const std::shared_ptr<CallerExchange> &exchange)
    {
        if (!this->crashes && exchange->head().target.starts_with("/b/")) {
            streamWhole(exchange);
            return;
        }
        if (!this->crashes) {
            exchange->send(200, signedHeaders(exchange), "ok");
            return;
        }
        this->held.push_back({name, exchange});
        if (this->held.size() < this->stoppedTogether) {
            return;
        }
        for (const HeldRequest &entry : std::exchange(this->held, {})) {
            if (this->stopsReplicas) {
                bench.endReplica(entry.replica);
            }
            entry.exchange->abort();
        }
    }

    std::string service;
    int lastReplica = 0;
    int lastRequest = 0;
    std::size_t stoppedTogether = 1;
    bool stopsReplicas = true;
    bool crashes = true;
    std::vector<HeldRequest> held;
};

} // namespace

// Two copies of a request crash the third replica while two more wait for a slot there. Sent on, these would crash a fourth one.
TEST_CASE("a request that waits for a slot is refused once copies of it have crashed three replicas")
{
    StoppableReplicas running("llm");
    running.crashOneShortOfRefusal("/o/crash");
    constexpr std::size_t slots = 2;
    running.stopTogether(slots);
    running.startReplica();
    std::vector<std::unique_ptr<RawConnection>> callers;
    callers.reserve(slots * 2);
    for (std::size_t copy = 0; copy < slots * 2; ++copy) {
        callers.push_back(running.send("/o/crash"));
    }
    running.awaitClassified(crashesToRefuse);
    running.stopTogether(1);
    running.startReplica();
    int refused = 0;
    for (const std::unique_ptr<RawConnection> &caller : callers) {
        const std::string answer = caller->readAll();
        refused += answer.starts_with("HTTP/1.1 503") && has(answer, "Retry-After:") ? 1 : 0;
    }
    CHECK(refused == slots);
    CHECK(running.crashingRuns() == crashesToRefuse - 1 + slots);
}

// A request that may be repeated causes the third crash itself. Repeated, it would crash another replica.
TEST_CASE("a request is not repeated if its own crash is the third")
{
    StoppableReplicas running("api");
    const auto first = running.send("/s/crash");
    for (int crash = 1; crash < crashesToRefuse; ++crash) {
        running.startReplica();
        running.awaitClassified(crash);
    }
    CHECK(first->readAll().starts_with("HTTP/1.1 502"));
    const auto second = running.send("/s/crash");
    running.startReplica();
    running.awaitClassified(crashesToRefuse);
    running.startReplica();
    CHECK(second->readAll().starts_with("HTTP/1.1 502"));
    CHECK(running.crashingRuns() == crashesToRefuse);
}

// Other replicas are available, so a repeat could be placed before the crash that the request has just met is counted.
TEST_CASE("a request whose last crash may be the third is repeated only after that crash is classified")
{
    StoppableReplicas running("api");
    for (int replica = 0; replica <= crashesToRefuse; ++replica) {
        running.startReplica();
    }
    CHECK(running.send("/s/crash")->readAll().starts_with("HTTP/1.1 502"));
    running.awaitClassified(crashesToRefuse - 1);
    CHECK(running.send("/s/crash")->readAll().starts_with("HTTP/1.1 502"));
    running.awaitClassified(crashesToRefuse);
    CHECK(running.crashingRuns() == crashesToRefuse);
}

// Two requests crash their replicas at the same moment. Mistaken for a network reset, neither would ever be refused.
TEST_CASE("requests that crash two replicas at the same moment are refused after three crashes each")
{
    StoppableReplicas running("api");
    running.stopTogether(2);
    for (int crash = 1; crash <= crashesToRefuse; ++crash) {
        running.startReplica();
        running.startReplica();
        const auto first = running.send("/u/crash/a");
        await([&running, crash] {
            return running.crashingRuns() == static_cast<std::size_t>(crash * 2 - 1);
        });
        const auto second = running.send("/u/crash/b");
        CHECK(first->readAll().starts_with("HTTP/1.1 502"));
        CHECK(second->readAll().starts_with("HTTP/1.1 502"));
        running.awaitClassified(crash * 2);
    }
    running.stopTogether(1);
    running.startReplica();
    running.startReplica();
    const std::size_t before = running.crashingRuns();
    CHECK(running.send("/u/crash/a")->readAll().starts_with("HTTP/1.1 503"));
    CHECK(running.send("/u/crash/b")->readAll().starts_with("HTTP/1.1 503"));
    CHECK(running.crashingRuns() == before);
}

// The network resets the connections of a node repeatedly. No request has crashed a replica, so none is refused afterwards.
TEST_CASE("requests whose connections to several replicas were reset at once are still served")
{
    StoppableReplicas running("api");
    running.keepReplicasRunning();
    running.stopTogether(2);
    running.startReplica();
    running.startReplica();
    constexpr int resets = 4;
    for (int reset = 1; reset <= resets; ++reset) {
        const auto first = running.send("/u/crash/a");
        const auto second = running.send("/u/crash/b");
        CHECK(first->readAll().starts_with("HTTP/1.1 502"));
        CHECK(second->readAll().starts_with("HTTP/1.1 502"));
        running.awaitClassified(reset * 2);
    }
    CHECK(running.crashingRuns() == resets * 2);
    CHECK(running.eventCount("request met a crash") == 0);
}

// A failure domain is lost with several replicas, each of which runs a copy of a request that many callers send. The request is
// not the cause.
TEST_CASE("a request that was served recently is still served after several replicas that ran it stopped together")
{
    StoppableReplicas running("api");
    running.setCrashing(false);
    for (int replica = 0; replica < crashesToRefuse; ++replica) {
        running.startReplica();
    }
    CHECK(has(running.send("/u/crash")->readAll(), "ok"));
    running.setCrashing(true);
    running.stopTogether(crashesToRefuse);
    std::vector<std::unique_ptr<RawConnection>> copies;
    copies.reserve(crashesToRefuse);
    for (int copy = 0; copy < crashesToRefuse; ++copy) {
        copies.push_back(running.send("/u/crash"));
    }
    for (const std::unique_ptr<RawConnection> &copy : copies) {
        CHECK(copy->readAll().starts_with("HTTP/1.1 502"));
    }
    running.awaitClassified(crashesToRefuse);
    running.setCrashing(false);
    running.startReplica();
    CHECK(has(running.send("/u/crash")->readAll(), "ok"));
}

// Items of the same content run two at a time, and two more wait for a slot. Sent on, these would crash a fourth replica.
TEST_CASE("a batch item that waits for a slot is held once copies of it have crashed three replicas")
{
    StoppableReplicas running("llm");
    constexpr std::size_t slots = 2;
    running.stopTogether(slots);
    nlohmann::json items = nlohmann::json::array();
    for (const char *const id : {"a", "b", "c", "d"}) {
        items.push_back({{"id", id}, {"path", "/b/crash"}, {"body", ""}, {"tokens", 9}});
    }
    REQUIRE(running.call("POST /b/job", {}, nlohmann::json{{"requests", items}}.dump()).starts_with("HTTP/1.1 202"));
    for (std::size_t crash = 1; crash <= crashesToRefuse; ++crash) {
        running.startReplica();
        await([&running, crash] {
            return running.crashingRuns() == crash * slots;
        });
    }
    await([&running] {
        return running.eventCount("batch item held") >= static_cast<int>(slots);
    });
    running.startReplica();
    await([&running] {
        return running.eventCount("batch item held") >= static_cast<int>(slots * 2);
    });
    CHECK(running.crashingRuns() == crashesToRefuse * slots);
}

// Nine replicas crash one after another under the same valid item. With all replicas sound again, it was held for minutes.
TEST_CASE("an item that met a burst of crashes is sent again within seconds after them and completed")
{
    constexpr int burst = 9;
    constexpr std::chrono::seconds maxHold{10};
    StoppableReplicas running("llm");
    const nlohmann::json job{{"requests", {{{"id", "a"}, {"path", "/b/crash"}, {"body", ""}, {"tokens", 9}}}}};
    REQUIRE(running.call("POST /b/job", {}, job.dump()).starts_with("HTTP/1.1 202"));
    for (int crash = 1; crash <= burst; ++crash) {
        running.startReplica();
        await([&running, crash] {
            return running.crashingRuns() == static_cast<std::size_t>(crash);
        });
        running.awaitClassified(crash);
        running.advance(crash >= crashesToRefuse ? maxHold : std::chrono::seconds(0));
    }
    running.setCrashing(false);
    running.startReplica();
    await([&running] {
        return has(running.call("GET /lots/q1?afterRev=0"), R"("state":"completed")");
    });
}
