#pragma once

#include <Benchmarks/Support/LocalFleet.h>
#include <Benchmarks/Support/PeerPartition.h>
#include <Benchmarks/Support/ProcessSocket.h>
#include <LibBase/SystemClock.h>
#include <LibTask/TaskHost.h>
#include <Tests/Fakes/RawConnection.h>
#include <Tests/Fakes/ScriptedEndpoint.h>
#include <Tests/Fakes/StandInStore.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <unistd.h>

namespace Dogwoodkeel
{

/** Limits each wait in these tests; no test measures time by it. */
inline constexpr std::chrono::seconds processWaitLimit{60};

inline void awaitProcesses(const std::function<bool()> &isReached)
{
    const auto end = std::chrono::steady_clock::now() + processWaitLimit;
    while (!isReached() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    REQUIRE(isReached());
}

/** The environment of the nodes in the process of the test: a stand-in for the platform's store, and replicas. */
class PlatformHost
{
public:
    explicit PlatformHost(EventLoop &loop) : loop(loop), store(loop, this->clock)
    {
        // A node may have closed the connection on which it is answered.
        std::signal(SIGPIPE, SIG_IGN);
    }

    /** Starts a replica and registers it in the store. */
    void addReplica(const std::string &instance,
                    const std::string &service,
                    const std::string &version,
                    ScriptedEndpoint::Script script)
    {
        this->endpoints.push_back(std::make_unique<ScriptedEndpoint>(this->loop, std::move(script)));
        this->store.rows().put({"servers", "", instance}, entryOf(service, version, this->endpoints.back()->address()).dump());
    }

    /** @return the entry of a replica that is ready. */
    static nlohmann::json entryOf(const std::string &service, const std::string &version, const Address &address)
    {
        return {{"service", service},
                {"address", address.toString()},
                {"zone", "z"},
                {"version", version},
                {"slots", 8},
                {"state", "ready"},
                {"coldLeftMs", 0},
                {"born", 1764700000000},
                {"seq", 1}};
    }

    EventLoop &loop;
    SystemClock clock;
    StandInStore store;
    /** The ways of the nodes to the store, each with a response mode of its own. */
    std::vector<std::unique_ptr<StandInStore>> routes;
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
};

/** @return a configuration with routes of all kinds; "/r/" is a stream that may be resumed, "/o/" one that runs once. */
inline nlohmann::json processConfiguration(int version)
{
    nlohmann::json routes = nlohmann::json::array();
    const auto add
        = [&routes](const char *name, const char *kind, const char *service, std::uint32_t attempts) -> nlohmann::json & {
        routes.push_back({{"name", name},
                          {"host", "h"},
                          {"prefix", std::string("/") + name + "/"},
                          {"routeKind", kind},
                          {"timeoutMs", 5000},
                          {"fullValueMs", 300},
                          {"service", service},
                          {"maxAttempts", attempts}});
        return routes.back();
    };
    add("r", "streaming", "llm", 2).update({{"resumable", true}, {"gapTargetMs", 300}});
    add("o", "streaming", "llm", 1).update({{"resumable", false}, {"gapTargetMs", 300}});
    add("s", "safe", "api", 2);
    add("u", "unsafe", "api", 2);
    add("b", "batch", "llm", 3).update({{"completionTargetMs", 18000}, {"maxCount", 100000}, {"retentionS", 60}});
    return {
        {"version", version},
        {"routes", routes},
        {"services", {{{"name", "llm"}, {"engine", {{"slots", 8}}}}, {{"name", "api"}}}},
        {"limits", {{"maxHeaderBytes", 4096}, {"maxBodyBytes", 100000}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
}

/** Gateway nodes as processes of their own, in front of a stand-in store. */
class GatewayProcesses
{
public:
    /**
     * Starts the nodes, each with a route of its own to the store. They become ready once the store has a configuration.
     * @param storeScript answers the calls to the store in place of the stand-in, if set
     * @param gatewaySettings further lines of the section "gateway" of the settings
     */
    explicit GatewayProcesses(std::size_t count,
                              const ScriptedEndpoint::Script &storeScript = nullptr,
                              const std::string &gatewaySettings = {})
        : fleet(PROGRAMS_FOLDER)
    {
        std::vector<Address> addresses;
        std::string seeds;
        for (std::size_t number = 0; number < count; ++number) {
            addresses.push_back(this->fleet.nextAddress());
            seeds += (seeds.empty() ? "\"" : ", \"") + Address{addresses.back().ip, peerPort}.toString() + '"';
        }
        for (std::size_t number = 0; number < count; ++number) {
            const Address &own = addresses[number];
            const std::string name = "node-" + std::to_string(number);
            const std::string store = this->openRoute(storeScript).toString();
            const std::string peer = Address{own.ip, peerPort}.toString();
            std::ostringstream settings;
            settings << "[node]\nvm = \"" << name << "\"\nfailure_domain = \"z\"\n[listen]\nhttp = \"" << own.toString()
                     << "\"\ngossip = \"" << peer << "\"\nowner = \"" << peer << "\"\n[platform]\naddress = \"" << store
                     << "\"\ntimeout = \"2s\"\n[peers]\nsite_key = \"test\"\nseeds = [" << seeds << "]\n[gateway]\nready = \""
                     << Address{own.ip, readyPort}.toString() << "\"\nmetrics = \"" << Address{own.ip, metricsPort}.toString()
                     << "\"\n"
                     << gatewaySettings;
            const std::string file = this->fleet.writeFile(name + ".toml", settings.str());
            this->nodes.push_back(
                this->fleet.start(name, {PROGRAMS_FOLDER "/Programs/dogwoodkeel", "gateway", "--settings=" + file}, own));
        }
    }

    std::size_t count() const
    {
        return this->nodes.size();
    }

    /** Writes a row to the store, as the operator or a replica does. */
    void put(const RowKey &key, const std::string &value)
    {
        this->host.ask<bool>([&key, &value](PlatformHost &host) {
            host.store.rows().put(key, value);
            return true;
        });
    }

    /** Sets how the store responds to one node. */
    void setStoreMode(std::size_t node, StandInStore::ResponseMode responseMode)
    {
        this->host.ask<bool>([node, responseMode](PlatformHost &platform) {
            platform.routes.at(node)->setResponseMode(responseMode);
            return true;
        });
    }

    /** Drops all traffic between a node and the others, on the sockets that are open now. */
    void cutFromPeers(std::size_t node)
    {
        std::set<PeerPartition::Pair> pairs;
        for (std::size_t other = 0; other < this->count(); ++other) {
            if (other != node) {
                pairs.insert({{node, other}, {other, node}});
            }
        }
        this->partition.apply(this->peers(), pairs);
    }

    /** Kills all nodes at once and starts them again. */
    void restartAll()
    {
        for (const std::size_t node : this->nodes) {
            this->fleet.signal(node, SIGKILL);
        }
        for (const std::size_t node : this->nodes) {
            this->fleet.restart(node);
        }
    }

    /** Kills a node and starts it again. */
    void restart(std::size_t node)
    {
        this->fleet.signal(this->nodes.at(node), SIGKILL);
        this->fleet.restart(this->nodes.at(node));
    }

    /** Waits until all nodes are ready and know each other. */
    void awaitReady() const
    {
        awaitProcesses([this] {
            return this->all([this](std::size_t node) {
                return this->isReady(node) && this->metric(node, "members") == static_cast<double>(this->count());
            });
        });
    }

    /** Waits until a number of nodes follow the tables of the store for the others. */
    void awaitRelays(std::size_t relays) const
    {
        awaitProcesses([this, relays] {
            double serving = 0;
            for (std::size_t node = 0; node < this->count(); ++node) {
                serving += this->metric(node, "is_relay");
            }
            return serving == static_cast<double>(relays);
        });
    }

    /** Sends a request to a node. @return all bytes received until the connection was closed */
    std::string call(std::size_t node,
                     const std::string &startLine,
                     const std::string &id,
                     const std::string &headers = {},
                     const std::string &body = {}) const
    {
        RawConnection caller(this->addressOf(node));
        caller.send(startLine + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 5000\r\n"
                    + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        return caller.readAll();
    }

    /** Limits the rate of each connection between nodes, and of the store to a node. */
    void setConnectionRate(std::uint32_t bytesPerSecond)
    {
        for (const std::size_t node : this->nodes) {
            limitConnectionRates(this->fleet.process(node).pid, bytesPerSecond);
        }
        limitConnectionRates(getpid(), bytesPerSecond);
    }

    /** @return a value of a node's metrics; 0 if it is not exported. */
    double metric(std::size_t node, const std::string &name) const
    {
        RawConnection reader({this->addressOf(node).ip, metricsPort});
        reader.send("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        const std::string text = reader.readAll();
        const std::string line = "dogwoodkeel_value{name=\"" + name + "\"} ";
        const std::size_t position = text.find(line);
        return position == std::string::npos ? 0 : std::stod(text.substr(position + line.size()));
    }

    bool isReady(std::size_t node) const
    {
        RawConnection reader({this->addressOf(node).ip, readyPort});
        reader.send("GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        return reader.readAll().starts_with("HTTP/1.1 200");
    }

    const Address &addressOf(std::size_t node) const
    {
        return this->fleet.process(this->nodes.at(node)).address;
    }

    /** @return whether a condition holds for all nodes; a node that does not listen yet counts as one for which it does not. */
    bool all(const std::function<bool(std::size_t)> &holds) const
    {
        for (std::size_t node = 0; node < this->count(); ++node) {
            try {
                if (!holds(node)) {
                    return false;
                }
            } catch (const std::runtime_error &) {
                return false;
            }
        }
        return true;
    }

    TaskHost<PlatformHost> host{"platform"};
    LocalFleet fleet;
    std::vector<std::size_t> nodes;

private:
    Address openRoute(const ScriptedEndpoint::Script &storeScript)
    {
        return this->host.ask<Address>([&storeScript](PlatformHost &platform) {
            if (storeScript) {
                platform.endpoints.push_back(std::make_unique<ScriptedEndpoint>(platform.loop, storeScript));
                return platform.endpoints.back()->address();
            }
            platform.routes.push_back(std::make_unique<StandInStore>(platform.loop, platform.clock, platform.store));
            return platform.routes.back()->address();
        });
    }

    std::vector<PeerPartition::Peer> peers() const
    {
        std::vector<PeerPartition::Peer> peers;
        for (const std::size_t node : this->nodes) {
            peers.push_back({this->fleet.process(node).pid, this->fleet.process(node).address.ip});
        }
        return peers;
    }

    static constexpr std::uint16_t peerPort = 7601;
    static constexpr std::uint16_t readyPort = 7602;
    static constexpr std::uint16_t metricsPort = 7603;
    PeerPartition partition{peerPort};
};

} // namespace Dogwoodkeel
