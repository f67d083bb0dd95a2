#include <Tests/ServiceGateway/RunningGateway.h>

#include <memory>
#include <string>

using namespace Dogwoodkeel;

namespace
{

std::string configurationOf(int version)
{
    nlohmann::json configuration = nlohmann::json::parse(benchConfiguration);
    configuration["version"] = version;
    return configuration.dump();
}

const char *const oneItem = R"({"requests":[{"id":"a","path":"/b/a","body":"","tokens":9}]})";

/** A gateway, and later a node that has a newer configuration in force but does not send it. */
class OutdatedGateway : public RunningGateway
{
public:
    OutdatedGateway()
        : RunningGateway([](GatewayBench &bench) {
            bench.settings.gateway.applyBound = std::chrono::milliseconds(400);
            bench.addReplica("i-1", "api", answerWhole);
        })
    {
    }

    ~OutdatedGateway()
    {
        this->host.ask<bool>([this](GatewayBench &) {
            this->newer.reset();
            return true;
        });
    }

    /** Starts the other node. @param version the version that it has in force */
    void startNewer(std::uint64_t version)
    {
        this->host.ask<bool>([this, version](GatewayBench &bench) {
            Settings settings = bench.settings;
            settings.node.vm = "newer";
            PeerNetwork::Hooks hooks{
                .onView = [](const MemberViewPointer &) {}, .onDatagram = [](const Datagram &) {}, .newSession = &randomSession};
            this->newer = std::make_unique<PeerNetwork>(
                bench.loop, bench.clock, bench.store.rows(), settings, this->traffic, std::move(hooks));
            this->newer->setConfigurationVersion(version);
            return true;
        });
    }

    /** Starts the other node, and waits until the gateway stops serving. */
    void awaitOutdated()
    {
        this->startNewer(2);
        await([this] {
            return !this->isReady();
        });
    }

    /** Writes a configuration to the store. */
    void configure(int version)
    {
        this->host.ask<bool>([version](GatewayBench &bench) {
            bench.configure(configurationOf(version));
            return true;
        });
    }

    /** Writes the newer configuration to the store, and waits until the gateway serves again. */
    void awaitUpdated()
    {
        this->configure(2);
        await([this] {
            return this->isReady();
        });
    }

    /** @return how many requests the replicas of a service received. */
    std::size_t requestsAt(std::size_t replica)
    {
        return this->host.ask<std::size_t>([replica](GatewayBench &bench) {
            return bench.replicas.at(replica)->heads.size();
        });
    }

private:
    TrafficMeter traffic;
    std::unique_ptr<PeerNetwork> newer;
};

} // namespace

// Guards against requests that are handled by a configuration which a newer one has replaced long ago.
TEST_CASE("a node that knows of a newer configuration and can't get it stops serving until it has it")
{
    OutdatedGateway running;
    CHECK(running.call("POST /s/x").starts_with("HTTP/1.1 200"));
    running.awaitOutdated();
    const std::string answer = running.call("POST /s/x");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(has(answer, "Retry-After:"));
    CHECK(running.call("POST /b/job", {}, oneItem).starts_with("HTTP/1.1 503"));
    running.awaitUpdated();
    CHECK(running.call("POST /s/x").starts_with("HTTP/1.1 200"));
}

// Guards against nodes that serve by one outdated configuration after the other.
TEST_CASE("a node that gets one version after the other, but none in time, stops serving")
{
    constexpr int newest = 1000;
    OutdatedGateway running;
    running.startNewer(newest);
    int version = 1;
    await([&running, &version] {
        running.configure(++version);
        return !running.isReady();
    });
    CHECK(version < newest);
    running.configure(newest);
    await([&running] {
        return running.isReady();
    });
}

// The same for the items of jobs that it runs.
TEST_CASE("items wait while their node can't get a newer configuration")
{
    OutdatedGateway running;
    REQUIRE(running.call("POST /b/job", {}, oneItem).starts_with("HTTP/1.1 202"));
    running.awaitOutdated();
    running.host.ask<bool>([](GatewayBench &bench) {
        bench.addReplica("i-2", "llm", streamWhole);
        return true;
    });
    await([&running] {
        return running.host.ask<bool>([](GatewayBench &bench) {
            return bench.gateway->knownReplicas() == 2;
        });
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(running.requestsAt(1) == 0);
    running.awaitUpdated();
    await([&running] {
        return has(running.call("GET /lots/q1?afterRev=0"), R"("state":"completed")");
    });
}
