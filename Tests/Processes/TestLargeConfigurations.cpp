#include <Tests/Processes/GatewayProcesses.h>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

using namespace Dogwoodkeel;

namespace
{

/** More nodes than a failure domain needs to use relays. */
constexpr std::size_t nodeCount = 12;
constexpr std::size_t relayCount = 2;
/** So few nodes that each follows the store. */
constexpr std::size_t storeFollowerCount = 3;
/** The share of a connection in the link of a relay to which all nodes of its failure domain are connected. */
constexpr std::uint32_t bytesPerSecond = 500'000;
/** The store's answer of 1 MB takes 5 s, which is more than platform.timeout. */
constexpr std::uint32_t slowStoreBytesPerSecond = 200'000;
/** A text of 800 kB. */
constexpr int routeCount = 4200;

std::string configurationOf(int version, int routes, int timeout)
{
    nlohmann::json configuration{
        {"version", version},
        {"routes", nlohmann::json::array()},
        {"services", {{{"name", "api"}}}},
        {"limits", {{"maxHeaderBytes", 4096}, {"maxBodyBytes", 100000}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
    for (int number = 0; number < routes; ++number) {
        const std::string name = "route-" + std::to_string(number * 7919 % 99991);
        configuration["routes"].push_back({{"name", name},
                                           {"host", name + ".example"},
                                           {"prefix", "/" + name + "/"},
                                           {"routeKind", "safe"},
                                           {"timeoutMs", timeout},
                                           {"fullValueMs", 300},
                                           {"service", "api"},
                                           {"maxAttempts", 2},
                                           {"priority", 1}});
    }
    return configuration.dump();
}

class ConfiguredProcesses : public GatewayProcesses
{
public:
    ConfiguredProcesses(std::size_t count, std::size_t relayCount) : GatewayProcesses(count)
    {
        this->configure(1, 3, 5000);
        this->awaitReady();
        this->awaitRelays(relayCount);
    }

    void configure(int version, int routes, int timeout)
    {
        this->put({"op", "", "config"}, configurationOf(version, routes, timeout));
    }

    void awaitVersion(int version)
    {
        awaitProcesses([this, version] {
            return this->all([this, version](std::size_t node) {
                return this->metric(node, "configuration_version") == version;
            });
        });
    }
};

} // namespace

// Guards against copies of a large configuration that hold each other up: each was given up before it had arrived, and another
// one was requested.
TEST_CASE("a configuration that takes longer to arrive than a call may take comes into force on all nodes")
{
    ConfiguredProcesses processes(nodeCount, relayCount);
    processes.setConnectionRate(bytesPerSecond);
    processes.configure(2, routeCount, 5000);
    processes.awaitVersion(2);
    // Each route changes, twice, so that a version is requested while the former one may still be on its way.
    processes.configure(3, routeCount, 6000);
    processes.configure(4, routeCount, 7000);
    processes.awaitVersion(4);
}

// Guards against answers of the store that are requested again, or given up, while they arrive.
TEST_CASE("a configuration that takes longer to arrive from the store than a call may take comes into force")
{
    ConfiguredProcesses processes(storeFollowerCount, storeFollowerCount);
    processes.setConnectionRate(slowStoreBytesPerSecond);
    processes.configure(2, routeCount, 5000);
    processes.awaitVersion(2);
    // Reads the whole table while it starts.
    processes.restart(0);
    processes.awaitVersion(2);
}
