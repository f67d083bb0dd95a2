#pragma once

#include <Benchmarks/Support/LocalFleet.h>
#include <Benchmarks/Support/ProcessSocket.h>
#include <LibBase/SystemClock.h>
#include <LibTask/TaskHost.h>
#include <Tests/Fakes/RawConnection.h>
#include <Tests/Fakes/StandInStore.h>

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
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

/** A stand-in for the platform's store in the process of the test. */
class StoreHost
{
public:
    explicit StoreHost(EventLoop &loop) : loop(loop), store(loop, this->clock)
    {
        // A node may have closed the connection on which it is answered.
        std::signal(SIGPIPE, SIG_IGN);
    }

    EventLoop &loop;
    SystemClock clock;
    StandInStore store;
};

/** Gateway nodes as processes of their own, in front of a stand-in store. */
class GatewayProcesses
{
public:
    /** Starts the nodes. They become ready once the store has a configuration. */
    explicit GatewayProcesses(std::size_t count) : fleet(PROGRAMS_FOLDER)
    {
        const std::string store = this->host
                                      .ask<Address>([](StoreHost &host) {
                                          return host.store.address();
                                      })
                                      .toString();
        std::vector<Address> addresses;
        std::string seeds;
        for (std::size_t number = 0; number < count; ++number) {
            addresses.push_back(this->fleet.nextAddress());
            seeds += (seeds.empty() ? "\"" : ", \"") + Address{addresses.back().ip, peerPort}.toString() + '"';
        }
        for (std::size_t number = 0; number < count; ++number) {
            const Address &own = addresses[number];
            const std::string name = "node-" + std::to_string(number);
            const std::string peer = Address{own.ip, peerPort}.toString();
            const std::string settings = "[node]\nvm = \"" + name + "\"\nfailure_domain = \"z\"\n[listen]\nhttp = \""
                + own.toString() + "\"\ngossip = \"" + peer + "\"\nowner = \"" + peer + "\"\n[platform]\naddress = \"" + store
                + "\"\ntimeout = \"2s\"\n[peers]\nsite_key = \"test\"\nseeds = [" + seeds + "]\n[gateway]\nready = \""
                + Address{own.ip, readyPort}.toString() + "\"\nmetrics = \"" + Address{own.ip, metricsPort}.toString() + "\"\n";
            const std::string file = this->fleet.writeFile(name + ".toml", settings);
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
        this->host.ask<bool>([&key, &value](StoreHost &host) {
            host.store.rows().put(key, value);
            return true;
        });
    }

    /** Kills a node and starts it again. */
    void restart(std::size_t node)
    {
        this->fleet.signal(this->nodes.at(node), SIGKILL);
        this->fleet.waitEnd(this->nodes.at(node), processWaitLimit);
        this->fleet.restart(this->nodes.at(node));
    }

    /** Limits the rate of each connection between nodes, and of the store to a node. */
    void setConnectionRate(std::uint32_t bytesPerSecond)
    {
        for (const std::size_t node : this->nodes) {
            limitRates(this->fleet.process(node).pid, bytesPerSecond);
        }
        limitRates(getpid(), bytesPerSecond);
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

    TaskHost<StoreHost> host{"store"};
    LocalFleet fleet;
    std::vector<std::size_t> nodes;

private:
    static constexpr std::uint16_t peerPort = 7601;
    static constexpr std::uint16_t readyPort = 7602;
    static constexpr std::uint16_t metricsPort = 7603;

    static void limitRates(pid_t process, std::uint32_t bytesPerSecond)
    {
        for (const ProcessSocket &socket : ProcessSocket::of(process)) {
            if (!socket.isDatagram()) {
                socket.setMaxRate(bytesPerSecond);
            }
        }
    }
};

} // namespace Dogwoodkeel
