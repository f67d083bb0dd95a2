#include <Tests/ServiceGateway/RunningGateway.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

/** More nodes than a failure domain needs to use relays. */
constexpr std::size_t nodeCount = 16;
constexpr std::size_t relayCount = 2;
/** More replicas than a node other than a relay keeps of one service. */
constexpr std::size_t replicaCount = 150;
constexpr std::size_t setSize = 64;

/** Nodes of one failure domain that share one store. */
class FleetBench : public GatewayBench
{
public:
    explicit FleetBench(EventLoop &loop) : GatewayBench(loop)
    {
        this->configure(benchConfiguration);
        for (std::size_t number = 0; number < replicaCount; ++number) {
            this->registerNumber(number, "ready");
        }
        for (std::size_t number = 0; number < nodeCount; ++number) {
            Settings own = this->settings;
            own.node.vm = "vm-" + std::to_string(number);
            this->nodes.push_back(
                std::make_unique<Gateway>(loop, this->clock, std::make_shared<const Settings>(own), this->newSession));
        }
    }

    /** Registers a replica by number. Nothing listens at its address. */
    void registerNumber(std::size_t number, const std::string &state)
    {
        const std::string name = "i-" + std::to_string(1000 + number);
        this->registerReplica(name, "llm", {"127.0.0.1", static_cast<std::uint16_t>(20000 + number)}, state);
    }

    std::size_t relays() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->nodes, [](const auto &node) {
            return node->isServingAsRelay();
        }));
    }

    bool all(const std::function<bool(const Gateway &)> &holds) const
    {
        return std::ranges::all_of(this->nodes, [&holds](const auto &node) {
            return holds(*node);
        });
    }

    std::vector<std::unique_ptr<Gateway>> nodes;
};

class RunningFleet
{
public:
    RunningFleet()
    {
        this->awaitAll([](const Gateway &node) {
            return node.readyMembers() == nodeCount;
        });
        this->awaitRelays();
    }

    void awaitAll(const std::function<bool(const Gateway &)> &holds)
    {
        await([this, &holds] {
            return this->host.ask<bool>([&holds](FleetBench &bench) {
                return bench.all(holds);
            });
        });
    }

    std::vector<Address> addresses(const Address &(Gateway::*which)() const)
    {
        return this->host.ask<std::vector<Address>>([which](FleetBench &bench) {
            std::vector<Address> found;
            for (const auto &node : bench.nodes) {
                found.push_back((node.get()->*which)());
            }
            return found;
        });
    }

    void awaitRelays()
    {
        await([this] {
            return this->host.ask<bool>([](FleetBench &bench) {
                return bench.relays() == relayCount;
            });
        });
    }

    TaskHost<FleetBench> host{"fleet"};
};

std::string configurationOf(int version)
{
    std::string text = benchConfiguration;
    return text.replace(
        text.find("\"version\":1"), std::string("\"version\":1").size(), "\"version\":" + std::to_string(version));
}

} // namespace

// Guards against a load of the store that grows with the product of replicas and nodes, as it does if each node follows all
// replicas.
TEST_CASE("two nodes of a failure domain follow the tables, and the others know a few replicas and the newest configuration")
{
    RunningFleet fleet;
    fleet.awaitAll([](const Gateway &node) {
        return node.knownReplicas() == (node.isServingAsRelay() ? replicaCount : setSize);
    });
    fleet.host.ask<bool>([](FleetBench &bench) {
        CHECK(bench.relays() == relayCount);
        bench.configure(configurationOf(7));
        return true;
    });
    fleet.awaitAll([](const Gateway &node) {
        return node.configurationVersion() == 7;
    });
}

TEST_CASE("replicas that leave go out of all nodes' sets, and others take their places")
{
    RunningFleet fleet;
    fleet.host.ask<bool>([](FleetBench &bench) {
        // Exactly as many replicas stay ready as one node keeps.
        for (std::size_t number = 0; number < replicaCount - setSize; ++number) {
            bench.registerNumber(number, "draining");
        }
        return true;
    });
    fleet.awaitAll([](const Gateway &node) {
        return node.knownReplicas() == (node.isServingAsRelay() ? replicaCount : setSize);
    });
    fleet.host.ask<bool>([](FleetBench &bench) {
        for (std::size_t number = replicaCount - setSize; number < replicaCount - 1; ++number) {
            bench.registerNumber(number, "draining");
        }
        return true;
    });
    fleet.awaitAll([](const Gateway &node) {
        return node.isServingAsRelay() || node.knownReplicas() == 1;
    });
}

// A node without relays would keep an old configuration, and send requests to replicas that have left.
TEST_CASE("when both relays of a failure domain are lost, others take their place and the nodes follow these")
{
    RunningFleet fleet;
    fleet.host.ask<bool>([](FleetBench &bench) {
        std::erase_if(bench.nodes, [](const auto &node) {
            return node->isServingAsRelay();
        });
        bench.configure(configurationOf(9));
        return true;
    });
    fleet.awaitAll([](const Gateway &node) {
        return node.configurationVersion() == 9;
    });
    fleet.awaitRelays();
}

// A node keeps only some of the replicas. Without the address that the dispatcher sends with a slot, it would treat the slot as
// one of a removed replica.
TEST_CASE("a place at a replica that its node does not know is used as the dispatcher tells of it")
{
    constexpr std::size_t liveCount = 2 * setSize;
    RunningFleet fleet;
    fleet.host.ask<bool>([](FleetBench &bench) {
        for (std::size_t number = 0; number < replicaCount; ++number) {
            bench.registerNumber(number, "draining");
        }
        for (std::size_t number = 0; number < liveCount; ++number) {
            bench.addReplica("i-live-" + std::to_string(number), "llm", streamWhole);
        }
        return true;
    });
    fleet.awaitAll([](const Gateway &node) {
        return node.knownReplicas() == (node.isServingAsRelay() ? replicaCount + liveCount : setSize);
    });
    const std::vector<Address> callers = fleet.addresses(&Gateway::callerAddress);
    const std::vector<Address> metricsAddresses = fleet.addresses(&Gateway::metricsAddress);
    for (const Address &address : callers) {
        RawConnection caller(address);
        caller.send("POST /r/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Request-Id: q\r\nX-Deadline-Ms: 20000\r\n"
                    "Content-Length: 1\r\n\r\nx");
        CHECK(has(caller.readAll(), "HTTP/1.1 200"));
    }
    // Each node lists half of the replicas. No slot was refused because its replica is not among them.
    for (const Address &address : metricsAddresses) {
        RawConnection reader(address);
        reader.send("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        CHECK_FALSE(has(reader.readAll(), "request was not run at its place"));
    }
}

// A relay does not send a list that the requesting node has already. If the node treated that answer as an empty list, the
// dispatcher would have no replicas, and all requests would wait until their deadlines.
TEST_CASE("a node that becomes a relay while the store is unavailable keeps the replicas that it knows")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "api", answerWhole);
        bench.addReplica("i-2", "llm", streamWhole);
        bench.otherStoreRoute.setUnavailableTable("servers");
    });
    const auto isRelay = [&running](std::unique_ptr<Gateway> GatewayBench::*node) {
        return running.host.ask<bool>([node](GatewayBench &bench) {
            return (bench.*node)->isServingAsRelay();
        });
    };
    await([&isRelay] {
        return isRelay(&GatewayBench::gateway);
    });
    running.host.ask<bool>([](GatewayBench &bench) {
        bench.startOther();
        return true;
    });
    await([&isRelay] {
        return isRelay(&GatewayBench::other);
    });
    CHECK(running.host.ask<std::size_t>([](GatewayBench &bench) {
        return bench.other->knownReplicas();
    }) == 2);
}
