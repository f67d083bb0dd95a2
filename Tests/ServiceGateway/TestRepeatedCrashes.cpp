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

/** A request is refused once it has crashed so many replicas. */
constexpr int crashesToRefuse = 3;

bool isCrashing(const MessageHead &head)
{
    return has(head.target, "crash");
}

/** A node before a service whose replicas end, and come back under other names, as a test says. */
class EndingReplicas : public RunningGateway
{
public:
    explicit EndingReplicas(std::string service)
        : RunningGateway([&service](GatewayBench &bench) {
            bench.addReplica("i-other", service == "api" ? "llm" : "api", &streamWhole);
        })
        , service(std::move(service))
    {
    }

    /** Start a replica that ends under the first crashing request, unless a test makes it wait. */
    std::string startReplica()
    {
        std::string name = "i-" + std::to_string(++this->lastReplica);
        this->host.ask<bool>([this, &name](GatewayBench &bench) {
            bench.addReplica(name, this->service, [this, &bench, name](const std::shared_ptr<CallerExchange> &exchange) {
                this->take(bench, name, exchange);
            });
            return true;
        });
        return name;
    }

    /** Crashing requests wait at their replicas until so many are there, and end all of these at the same moment. */
    void endTogether(std::size_t requests)
    {
        this->host.ask<bool>([this, requests](GatewayBench &) {
            this->together = requests;
            return true;
        });
    }

    /** Replicas break off, but live on: the network has reset their connections. */
    void liveOn()
    {
        this->host.ask<bool>([this](GatewayBench &) {
            this->endsReplicas = false;
            return true;
        });
    }

    /** Whether requests end the replicas that run them. */
    void setCrashing(bool isCrashing)
    {
        this->host.ask<bool>([this, isCrashing](GatewayBench &) {
            this->crashes = isCrashing;
            return true;
        });
    }

    /** @return how many crashing requests reached replicas. */
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

    /** Wait until so many breaks were judged, as crashes or otherwise. */
    void awaitJudged(int count)
    {
        await([this, count] {
            return this->counted("request met a crash") + this->counted("request met a broken connection") >= count;
        });
    }

    int counted(const std::string &event)
    {
        const std::string text = this->metrics();
        const std::string label = event + "\"} ";
        const std::size_t place = text.find(label);
        return place == std::string::npos ? 0 : std::stoi(text.substr(place + label.size()));
    }

    /** Send a request, without reading its answer. */
    std::unique_ptr<RawConnection> send(const std::string &target)
    {
        auto caller = std::make_unique<RawConnection>(this->address(&Gateway::callerAddress));
        caller->send("POST " + target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Request-Id: q"
                     + std::to_string(++this->lastRequest) + "\r\nX-Deadline-Ms: 20000\r\nContent-Length: 1\r\n\r\nx");
        return caller;
    }

    /** Let a request crash replicas until it lacks one crash to be refused. */
    void crashAllButOnce(const std::string &target)
    {
        for (int crash = 1; crash < crashesToRefuse; ++crash) {
            this->startReplica();
            CHECK(this->send(target)->readAll().starts_with("HTTP/1.1 502"));
            this->awaitJudged(crash);
        }
    }

private:
    struct Held
    {
        std::string replica;
        std::shared_ptr<CallerExchange> exchange;
    };

    void take(GatewayBench &bench, const std::string &name, const std::shared_ptr<CallerExchange> &exchange)
    {
        if (!this->crashes) {
            exchange->send(200, signedHeaders(exchange), "ok");
            return;
        }
        this->held.push_back({name, exchange});
        if (this->held.size() < this->together) {
            return;
        }
        for (const Held &entry : std::exchange(this->held, {})) {
            if (this->endsReplicas) {
                bench.endReplica(entry.replica);
            }
            entry.exchange->breakOff();
        }
    }

    std::string service;
    int lastReplica = 0;
    int lastRequest = 0;
    std::size_t together = 1;
    bool endsReplicas = true;
    bool crashes = true;
    std::vector<Held> held;
};

} // namespace

// Two copies of a request are at the third replica, and two more wait for a place at it: they would take a fourth one with them.
TEST_CASE("a request that waits for a place is refused once its like has crashed three replicas")
{
    EndingReplicas running("llm");
    running.crashAllButOnce("/o/crash");
    constexpr std::size_t slots = 2;
    running.endTogether(slots);
    running.startReplica();
    std::vector<std::unique_ptr<RawConnection>> callers;
    callers.reserve(slots * 2);
    for (std::size_t copy = 0; copy < slots * 2; ++copy) {
        callers.push_back(running.send("/o/crash"));
    }
    running.awaitJudged(crashesToRefuse);
    running.endTogether(1);
    running.startReplica();
    int refused = 0;
    for (const std::unique_ptr<RawConnection> &caller : callers) {
        const std::string answer = caller->readAll();
        refused += answer.starts_with("HTTP/1.1 503") && has(answer, "Retry-After:") ? 1 : 0;
    }
    CHECK(refused == slots);
    CHECK(running.crashingRuns() == crashesToRefuse - 1 + slots);
}

// A request may be repeated, and its own crash is the third: it would take another replica with it.
TEST_CASE("a request whose own crash is the third is not repeated")
{
    EndingReplicas running("api");
    const auto first = running.send("/s/crash");
    for (int crash = 1; crash < crashesToRefuse; ++crash) {
        running.startReplica();
        running.awaitJudged(crash);
    }
    CHECK(first->readAll().starts_with("HTTP/1.1 502"));
    const auto second = running.send("/s/crash");
    running.startReplica();
    running.awaitJudged(crashesToRefuse);
    running.startReplica();
    CHECK(second->readAll().starts_with("HTTP/1.1 502"));
    CHECK(running.crashingRuns() == crashesToRefuse);
}

// Other replicas are there, and a repeat finds one before the crash that it has just met is counted.
TEST_CASE("a request is repeated only once its last crash is judged if that may be the third")
{
    EndingReplicas running("api");
    for (int replica = 0; replica <= crashesToRefuse; ++replica) {
        running.startReplica();
    }
    CHECK(running.send("/s/crash")->readAll().starts_with("HTTP/1.1 502"));
    running.awaitJudged(crashesToRefuse - 1);
    CHECK(running.send("/s/crash")->readAll().starts_with("HTTP/1.1 502"));
    running.awaitJudged(crashesToRefuse);
    CHECK(running.crashingRuns() == crashesToRefuse);
}

// Two requests crash their replicas at the same moment, which looks like a reset of the network: neither would ever be refused.
TEST_CASE("requests that crash two replicas at the same moment are refused after three of them each")
{
    EndingReplicas running("api");
    running.endTogether(2);
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
        running.awaitJudged(crash * 2);
    }
    running.endTogether(1);
    running.startReplica();
    running.startReplica();
    const std::size_t before = running.crashingRuns();
    CHECK(running.send("/u/crash/a")->readAll().starts_with("HTTP/1.1 503"));
    CHECK(running.send("/u/crash/b")->readAll().starts_with("HTTP/1.1 503"));
    CHECK(running.crashingRuns() == before);
}

// The network resets the connections of a node again and again: no request has crashed anything, and all are served afterwards.
TEST_CASE("requests whose connections to several replicas were reset at once are still served")
{
    EndingReplicas running("api");
    running.liveOn();
    running.endTogether(2);
    running.startReplica();
    running.startReplica();
    constexpr int resets = 4;
    for (int reset = 1; reset <= resets; ++reset) {
        const auto first = running.send("/u/crash/a");
        const auto second = running.send("/u/crash/b");
        CHECK(first->readAll().starts_with("HTTP/1.1 502"));
        CHECK(second->readAll().starts_with("HTTP/1.1 502"));
        running.awaitJudged(reset * 2);
    }
    CHECK(running.crashingRuns() == resets * 2);
    CHECK(running.counted("request met a crash") == 0);
}

// A failure domain is lost with several replicas, each with a copy of a request that many callers send: it has crashed none.
TEST_CASE("a request that was served a moment ago is served on after replicas that ran it ended together")
{
    EndingReplicas running("api");
    running.setCrashing(false);
    for (int replica = 0; replica < crashesToRefuse; ++replica) {
        running.startReplica();
    }
    CHECK(has(running.send("/u/crash")->readAll(), "ok"));
    running.setCrashing(true);
    running.endTogether(crashesToRefuse);
    std::vector<std::unique_ptr<RawConnection>> copies;
    copies.reserve(crashesToRefuse);
    for (int copy = 0; copy < crashesToRefuse; ++copy) {
        copies.push_back(running.send("/u/crash"));
    }
    for (const std::unique_ptr<RawConnection> &copy : copies) {
        CHECK(copy->readAll().starts_with("HTTP/1.1 502"));
    }
    running.awaitJudged(crashesToRefuse);
    running.setCrashing(false);
    running.startReplica();
    CHECK(has(running.send("/u/crash")->readAll(), "ok"));
}

// Items of one content run two at a time, and two more wait for a place: they would take a fourth replica with them.
TEST_CASE("an item that waits for a place is held once its like has crashed three replicas")
{
    EndingReplicas running("llm");
    constexpr std::size_t slots = 2;
    running.endTogether(slots);
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
        return running.counted("batch item held") >= static_cast<int>(slots);
    });
    running.startReplica();
    await([&running] {
        return running.counted("batch item held") >= static_cast<int>(slots * 2);
    });
    CHECK(running.crashingRuns() == crashesToRefuse * slots);
}
