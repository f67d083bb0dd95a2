// Runs nodes as separate processes, injects faults from outside in an order determined by a seed, and checks what callers and
// replicas observe against the guarantees of the software.

#include <Benchmarks/Support/LocalFleet.h>
#include <Benchmarks/Support/PeerPartition.h>
#include <Benchmarks/Support/ProcessSocket.h>
#include <LibTask/TaskHost.h>
#include <Tests/Soak/Disturbances.h>
#include <Tests/Soak/SoakCaller.h>
#include <Tests/Soak/SoakWorld.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <fstream>
#include <functional>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

DEFINE_string(programs, "build", "folder with the build's programs");
DEFINE_uint32(seed, 1, "seed of the random faults and their times");
DEFINE_uint32(seconds, 20, "duration of the fault injection in seconds");
DEFINE_uint32(nodes, 4, "number of node processes");
DEFINE_uint32(replicas, 6, "number of stand-in replicas; one in three is a plain service");
DEFINE_uint32(callers, 12, "number of concurrent callers");
DEFINE_uint32(enders, 3, "number of callers that submit large jobs and end most of them; only with more than 14 kinds of faults");
DEFINE_uint32(
    crashers,
    0,
    "number of callers whose requests crash the replicas; two each share a content; other faults affect only replicas then");
DEFINE_uint32(routes, 0, "number of routes that no caller uses, all of which each version of the configuration changes");
DEFINE_uint32(link_rate, 0, "limits each connection of a node and of the store to this many bytes per second; 0: unlimited");
DEFINE_bool(upgrade_in_place, false, "restart replicas with the other version of their software");
DEFINE_uint32(unframed, 0, "number of replicas, from the first, whose streams have no length; plain services among them keep it");
DEFINE_uint32(kinds, 28, "number of kinds of faults; a seed found with fewer kinds is reproduced only with that number");

using namespace Dogwoodkeel;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds minFaultTime{100};
constexpr std::chrono::milliseconds maxFaultTime{3500};
constexpr std::chrono::milliseconds maxPause{900};
/** All components have recovered this long after the last fault; all guarantees to callers hold from then on. */
constexpr std::chrono::seconds recoveryTime{12};
constexpr std::chrono::seconds jobTimeout{60};
/** Limit for a node to exit after SIGTERM: the grace period of its settings, plus time for a busy machine. */
constexpr std::chrono::seconds stopTimeout{20};
/** Items of a job may still reach replicas for this long after the end of the job was acknowledged. */
constexpr std::chrono::seconds jobEndBound{3};
/** Each version of the configuration must be in force on all nodes within this time. */
constexpr std::chrono::milliseconds applyBound{3000};
/** The interval at which large configurations are written. */
constexpr std::chrono::milliseconds configurationInterval{2500};
/** Requests may still reach a replica for this long after it is draining or gone. */
constexpr std::chrono::milliseconds drainBound{2000};
/** The number of callers that use the routes of the versions of the configuration. */
constexpr unsigned versionCallers = 2;
/** A disturbance is considered effective for this long after its end. */
constexpr std::chrono::seconds disturbanceMargin{4};
constexpr std::chrono::milliseconds minPartitionTime{4000};
constexpr std::chrono::milliseconds maxPartitionTime{12000};
/** Up to this number of kinds of faults there are no callers that end large jobs. */
constexpr std::uint32_t kindsWithoutEnders = 14;
/** After crashesToRefuse crashes and crashPropagationTime, a content may reach replicas maxRunsAfterRefusal more times. */
constexpr std::size_t crashesToRefuse = 3;
constexpr std::chrono::seconds crashPropagationTime{3};
constexpr std::size_t maxRunsAfterRefusal = 3;
/** Kinds of faults that affect only replicas; nodes and the store stay undisturbed. */
constexpr std::array replicaFaults{6u, 10u, 12u, 13u, 21u};
constexpr std::size_t maxPartitionedPeers = 8;
constexpr double minServedShare = 0.9;
constexpr int probeCount = 40;
constexpr std::uint16_t peerPort = 7601;
constexpr std::uint16_t readyPort = 7602;
constexpr std::uint16_t metricsPort = 7603;
/** The slots of all requests are free again this long after the last one: a dispatcher drops what no node reports sooner. */
constexpr std::chrono::seconds slotReleaseTime{5};

/** @return a time in the format of the nodes' logs, with microseconds. */
std::string logTime(std::chrono::system_clock::time_point time)
{
    const auto second = std::chrono::floor<std::chrono::seconds>(time);
    const auto fraction = std::chrono::floor<std::chrono::microseconds>(time - second);
    const std::time_t whole = std::chrono::system_clock::to_time_t(second);
    std::tm parts{};
    localtime_r(&whole, &parts);
    std::array<char, 40> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.", &parts);
    std::snprintf(text.data() + size, text.size() - size, "%06lld", static_cast<long long>(fraction.count()));
    return text.data();
}

/** One run: starts nodes, callers and replicas, injects faults, and checks the guarantees afterwards. */
class Soak
{
public:
    Soak()
        : fleet(FLAGS_programs)
        , world("world", this->records, SoakWorld::Size{FLAGS_nodes, FLAGS_replicas, FLAGS_unframed, FLAGS_routes})
        , random(FLAGS_seed)
        , peerPartition(peerPort)
    {
        for (std::uint32_t node = 0; node < FLAGS_nodes; ++node) {
            this->addresses.push_back(this->fleet.nextAddress());
        }
        for (std::uint32_t node = 0; node < FLAGS_nodes; ++node) {
            this->startNode(node);
        }
    }

    /** @return whether no guarantee was violated. */
    bool run()
    {
        std::vector<std::thread> threads;
        for (std::uint32_t number = 0; number < FLAGS_callers; ++number) {
            threads.emplace_back([this, number] {
                SoakCaller(this->records.requests,
                           this->records.runs,
                           this->addresses,
                           "c" + std::to_string(number),
                           FLAGS_seed * 1000 + number)
                    .run(this->isStopped);
            });
        }
        for (std::uint32_t number = 0; FLAGS_kinds > kindsWithoutEnders && number < FLAGS_enders; ++number) {
            threads.emplace_back([this, number] {
                SoakCaller(this->records.requests,
                           this->records.runs,
                           this->addresses,
                           "e" + std::to_string(number),
                           FLAGS_seed * 1000 + 500 + number)
                    .runJobs(this->isStopped);
            });
        }
        for (unsigned number = 0; number < versionCallers; ++number) {
            threads.emplace_back([this, number] {
                SoakCaller(this->records.requests,
                           this->records.runs,
                           this->addresses,
                           "v" + std::to_string(number),
                           FLAGS_seed * 1000 + 900 + number)
                    .followConfigurations(this->records.configurations, this->isStopped);
            });
        }
        for (std::uint32_t number = 0; number < FLAGS_crashers; ++number) {
            threads.emplace_back([this, number] {
                SoakCaller(this->records.requests,
                           this->records.runs,
                           this->addresses,
                           "x" + std::to_string(number),
                           FLAGS_seed * 1000 + 700 + number)
                    .sendCrashingRequests(std::string(crashPrefix) + " " + std::to_string(FLAGS_seed) + "."
                                              + std::to_string(number / 2),
                                          this->isStopped);
            });
        }
        this->runUntil(Clock::now() + std::chrono::seconds(2));
        const std::chrono::seconds faultTime(FLAGS_seconds);
        for (std::chrono::milliseconds delay{0}; FLAGS_routes > 0 && delay < faultTime; delay += configurationInterval) {
            this->scheduleAction(delay, [this] {
                this->configure();
            });
        }
        const auto end = Clock::now() + faultTime;
        while (Clock::now() < end) {
            this->injectFault();
            this->runUntil(Clock::now() + this->randomTime(std::chrono::milliseconds(0), maxPause));
        }
        while (!this->pending.empty()) {
            this->runUntil(Clock::now() + maxPause);
        }
        this->runUntil(Clock::now() + recoveryTime);
        this->isStopped = true;
        for (std::thread &thread : threads) {
            thread.join();
        }
        this->finish();
        return this->records.requests.violations().empty();
    }

    void report() const
    {
        std::printf(
            "seed %u: %s; %u items that reached replicas late after the end of their jobs during a disturbance; %s; %s; %s\n",
            FLAGS_seed,
            this->records.requests.summary().c_str(),
            this->allowedAfterEnd,
            this->records.crashes.summary().c_str(),
            this->records.configurations.summary().c_str(),
            this->records.drains.summary().c_str());
        for (const std::string &violation : this->records.requests.violations()) {
            std::printf("  VIOLATION %s\n", violation.c_str());
        }
        if (!this->records.requests.violations().empty()) {
            std::printf("  faults:\n");
            for (const std::string &fault : this->faults) {
                std::printf("    %s\n", fault.c_str());
            }
            std::printf("  logs: %s and other files in its folder\n", this->fleet.process(0).logFile.c_str());
        }
    }

private:
    void startNode(std::uint32_t node)
    {
        std::string seeds;
        for (const Address &address : this->addresses) {
            seeds += (seeds.empty() ? "\"" : ", \"") + Address{address.ip, peerPort}.toString() + '"';
        }
        const Address &ownAddress = this->addresses[node];
        const std::string name = Disturbances::nameOfNode(node);
        const Address store = this->world.ask<Address>([node](SoakWorld &world) {
            return world.storeProxy(node).address();
        });
        const std::string peer = Address{ownAddress.ip, peerPort}.toString();
        const std::string settings = "[node]\nvm = \"" + name + "\"\nfailure_domain = \"z" + std::to_string(node % 3)
            + "\"\n[listen]\nhttp = \"" + ownAddress.toString() + "\"\ngossip = \"" + peer + "\"\nowner = \"" + peer
            + "\"\n[platform]\naddress = \"" + store.toString()
            + "\"\ntimeout = \"1500ms\"\n[peers]\nsite_key = \"soak\"\nseeds = [" + seeds + "]\n[gateway]\nready = \""
            + Address{ownAddress.ip, readyPort}.toString() + "\"\nmetrics = \"" + Address{ownAddress.ip, metricsPort}.toString()
            + "\"\napply_bound = \"" + std::to_string(applyBound.count()) + "ms\"\n";
        const std::string file = this->fleet.writeFile(name + ".toml", settings);
        this->processes.push_back(
            this->fleet.start(name, {FLAGS_programs + "/Programs/dogwoodkeel", "gateway", "--settings=" + file}, ownAddress));
        this->isDisturbed.push_back(false);
        this->recordNodeDisturbance(node);
    }

    std::chrono::milliseconds randomTime(std::chrono::milliseconds min, std::chrono::milliseconds max)
    {
        std::uniform_int_distribution<std::int64_t> distribution(min.count(), max.count());
        return std::chrono::milliseconds(distribution(this->random));
    }

    void scheduleAction(std::chrono::milliseconds delay, std::function<void()> action)
    {
        this->pending.emplace(Clock::now() + delay, std::move(action));
    }

    /** Runs the scheduled actions that fall due until a time, and applies the partitions. */
    void runUntil(Clock::time_point until)
    {
        constexpr std::chrono::milliseconds pollInterval{5};
        while (Clock::now() < until) {
            while (!this->pending.empty() && this->pending.begin()->first <= Clock::now()) {
                const std::function<void()> action = this->pending.begin()->second;
                this->pending.erase(this->pending.begin());
                action();
            }
            for (const std::string &ended : this->fleet.takeEnded()) {
                this->records.requests.recordViolation(ended);
            }
            this->applyPartitions();
            this->limitRates();
            std::this_thread::sleep_for(pollInterval);
        }
    }

    /** Records that a node is disturbed for this long from now on. */
    void recordNodeDisturbance(std::uint32_t node, std::chrono::milliseconds length = std::chrono::milliseconds(0))
    {
        this->disturbances.add(Disturbances::nameOfNode(node), Clock::now(), Clock::now() + length);
    }

    void recordFault(const std::string &fault)
    {
        const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - this->started);
        this->faults.push_back(std::to_string(since.count()) + " ms: " + fault);
    }

    void injectFault()
    {
        const std::chrono::milliseconds length = this->randomTime(minFaultTime, maxFaultTime);
        switch (FLAGS_crashers > 0 ? replicaFaults[this->random() % replicaFaults.size()] : this->random() % FLAGS_kinds) {
        case 0:
            this->disturbNode(SIGKILL, length);
            return;
        case 1:
            this->disturbNode(SIGSTOP, length);
            return;
        case 2:
            this->disturbNode(SIGTERM, length);
            return;
        case 3:
            this->sendHangUp();
            return;
        case 4:
        case 5:
            this->disturbProxy("store proxy", this->random() % FLAGS_nodes, length, &SoakWorld::storeProxy);
            return;
        case 6:
        case 7:
            this->disturbProxy("replica proxy", this->random() % FLAGS_replicas, length, &SoakWorld::replicaProxy);
            return;
        case 8:
            this->disturbStore(length);
            return;
        case 9:
            this->disturbWrites();
            return;
        case 10:
            this->drainReplica(length);
            return;
        case 12:
            this->restartReplica();
            return;
        case 13:
            this->corruptEntry(length);
            return;
        case 14:
        case 15:
        case 16:
            this->partitionPeers();
            return;
        case 17:
        case 18:
            this->delayTableUpdates();
            return;
        case 19:
        case 20:
            this->dropHistoryRepeatedly();
            return;
        case 21:
        case 22:
            this->slowDownReplicas();
            return;
        case 23:
        case 24:
        case 25:
            this->injectSeveralFaults();
            return;
        case 26:
        case 27:
            this->endReplica(length);
            return;
        default:
            this->changeConfiguration(length);
            return;
        }
    }

    void disturbNode(int signal, std::chrono::milliseconds length)
    {
        const std::uint32_t node = this->random() % FLAGS_nodes;
        if (std::exchange(this->isDisturbed[node], true)) {
            return;
        }
        this->recordFault("signal " + std::to_string(signal) + " to node " + std::to_string(node) + " for "
                          + std::to_string(length.count()) + " ms");
        this->recordNodeDisturbance(node, length);
        this->fleet.signal(this->processes[node], signal);
        if (signal == SIGTERM) {
            this->awaitStop(node, Clock::now() + stopTimeout);
            return;
        }
        this->scheduleAction(length, [this, node, signal] {
            if (signal == SIGSTOP) {
                this->fleet.signal(this->processes[node], SIGCONT);
            } else {
                this->fleet.restart(this->processes[node]);
            }
            this->recordNodeDisturbance(node);
            this->isDisturbed[node] = false;
        });
    }

    void awaitStop(std::uint32_t node, Clock::time_point until)
    {
        constexpr std::chrono::milliseconds pollInterval{30};
        const int status = this->fleet.waitEnd(this->processes[node], std::chrono::milliseconds(1));
        this->recordNodeDisturbance(node);
        if (this->fleet.process(this->processes[node]).pid > 0 && Clock::now() < until) {
            this->scheduleAction(pollInterval, [this, node, until] {
                this->awaitStop(node, until);
            });
            return;
        }
        if (status != 0) {
            this->records.requests.recordViolation("node " + std::to_string(node) + " did not stop cleanly");
            this->fleet.signal(this->processes[node], SIGKILL);
        }
        this->fleet.restart(this->processes[node]);
        this->isDisturbed[node] = false;
    }

    void sendHangUp()
    {
        const std::uint32_t node = this->random() % FLAGS_nodes;
        this->recordFault("SIGHUP to node " + std::to_string(node));
        this->fleet.signal(this->processes[node], SIGHUP);
    }

    void disturbProxy(const std::string &what,
                      std::uint32_t number,
                      std::chrono::milliseconds length,
                      FaultProxy &(SoakWorld::*proxy)(std::size_t))
    {
        static constexpr FaultProxy::Mode modes[]
            = {FaultProxy::Mode::Delay, FaultProxy::Mode::Reset, FaultProxy::Mode::OneWay, FaultProxy::Mode::Blackhole};
        const std::size_t kind = this->random() % std::size(modes);
        const std::chrono::milliseconds delay = this->randomTime(std::chrono::milliseconds(5), std::chrono::milliseconds(400));
        this->recordFault(what + ' ' + std::to_string(number) + " in mode " + std::to_string(kind + 1) + " for "
                          + std::to_string(length.count()) + " ms");
        if (proxy == &SoakWorld::storeProxy) {
            this->recordNodeDisturbance(number, length);
        }
        this->world.post([proxy, number, mode = modes[kind], delay](SoakWorld &world) {
            (world.*proxy)(number).setMode(mode, delay);
        });
        this->scheduleAction(length, [this, proxy, number] {
            if (proxy == &SoakWorld::storeProxy) {
                this->recordNodeDisturbance(number);
            }
            this->world.post([proxy, number](SoakWorld &world) {
                // A connection that lost data can't be used any more, so it is reset, as a network would in the end.
                (world.*proxy)(number).setMode(FaultProxy::Mode::Reset);
                (world.*proxy)(number).setMode(FaultProxy::Mode::Pass);
            });
        });
    }

    void disturbStore(std::chrono::milliseconds length)
    {
        const bool isUnresponsive = this->random() % 2 == 0;
        this->recordFault(std::string("store ") + (isUnresponsive ? "unresponsive" : "busy") + " for "
                          + std::to_string(length.count()) + " ms");
        this->world.post([isUnresponsive](SoakWorld &world) {
            world.platform().setResponseMode(isUnresponsive ? StandInStore::ResponseMode::Unresponsive
                                                            : StandInStore::ResponseMode::Busy);
        });
        this->disturbances.add(Disturbances::store, Clock::now(), Clock::now() + length);
        this->scheduleAction(length, [this] {
            this->disturbances.add(Disturbances::store, Clock::now(), Clock::now());
            this->world.post([](SoakWorld &world) {
                world.platform().setResponseMode(StandInStore::ResponseMode::Serving);
            });
        });
    }

    void disturbWrites()
    {
        const std::size_t count = 1 + this->random() % 8;
        const std::chrono::milliseconds delay = this->randomTime(std::chrono::milliseconds(50), maxFaultTime);
        const unsigned kind = this->random() % 3;
        this->recordFault("kind " + std::to_string(kind) + " of disturbed writes, " + std::to_string(count));
        this->world.post([count, delay, kind](SoakWorld &world) {
            if (kind == 0) {
                world.platform().rows().loseAnswers(count);
            } else if (kind == 1) {
                world.platform().rows().delayWrites(count, delay);
            } else {
                world.platform().rows().dropHistory();
            }
        });
    }

    /** Lets a replica drain, or leave without notice, and return later. */
    void drainReplica(std::chrono::milliseconds length)
    {
        const std::uint32_t replica = this->random() % FLAGS_replicas;
        if (length.count() % 2 == 0) {
            this->removeReplica(replica, length + drainBound);
            return;
        }
        this->recordFault("replica " + std::to_string(replica) + " is draining for " + std::to_string(length.count()) + " ms");
        this->world.post([replica](SoakWorld &world) {
            world.registerReplica(replica, "draining");
        });
        this->scheduleAction(length, [this, replica] {
            this->world.post([replica](SoakWorld &world) {
                world.registerReplica(replica, "ready");
            });
        });
    }

    void removeReplica(std::uint32_t replica, std::chrono::milliseconds length)
    {
        this->recordFault("replica " + std::to_string(replica) + " is gone for " + std::to_string(length.count()) + " ms");
        this->world.post([replica](SoakWorld &world) {
            world.removeEntry(replica);
        });
        this->scheduleAction(length, [this, replica] {
            this->world.post([replica](SoakWorld &world) {
                world.registerReplica(replica, "ready");
            });
        });
    }

    void restartReplica()
    {
        const std::uint32_t replica = this->random() % FLAGS_replicas;
        this->recordFault("replica " + std::to_string(replica) + " restarts under the same name");
        this->world.post([replica](SoakWorld &world) {
            world.restartReplica(replica,
                                 FLAGS_upgrade_in_place ? SoakWorld::Restart::Upgraded : SoakWorld::Restart::SameVersion);
        });
    }

    void endReplica(std::chrono::milliseconds length)
    {
        const std::uint32_t replica = this->random() % FLAGS_replicas;
        this->recordFault("replica " + std::to_string(replica) + " is killed and starts again after "
                          + std::to_string(length.count()) + " ms");
        this->world.post([replica, length](SoakWorld &world) {
            world.endReplica(replica, length);
        });
    }

    void corruptEntry(std::chrono::milliseconds length)
    {
        static constexpr const char *texts[] = {"\xff\xfe", "{}", R"({"service":"llm","slots":1e99})", "[[[[", ""};
        const std::uint32_t replica = this->random() % FLAGS_replicas;
        const std::string text = texts[this->random() % std::size(texts)];
        this->recordFault("entry of replica " + std::to_string(replica) + " corrupted for " + std::to_string(length.count())
                          + " ms");
        this->world.post([replica, text](SoakWorld &world) {
            world.corruptEntry(replica, text);
        });
        this->scheduleAction(length, [this, replica] {
            this->world.post([replica](SoakWorld &world) {
                world.registerReplica(replica, "ready");
            });
        });
    }

    void configure()
    {
        this->recordFault("new configuration");
        this->world.post([](SoakWorld &world) {
            world.configure();
        });
    }

    /** Writes a new configuration; in one of three cases, all nodes are killed right after it. */
    void changeConfiguration(std::chrono::milliseconds length)
    {
        this->configure();
        if (this->random() % 3 != 0) {
            return;
        }
        this->recordFault("all nodes are killed for " + std::to_string(length.count()) + " ms");
        for (std::uint32_t node = 0; node < FLAGS_nodes; ++node) {
            if (std::exchange(this->isDisturbed[node], true)) {
                continue;
            }
            this->recordNodeDisturbance(node, length);
            this->fleet.signal(this->processes[node], SIGKILL);
            this->scheduleAction(length, [this, node] {
                this->fleet.restart(this->processes[node]);
                this->recordNodeDisturbance(node);
                this->isDisturbed[node] = false;
            });
        }
    }

    /** Partitions one node from some others, in one or both directions; all of them still reach the store. */
    void partitionPeers()
    {
        const std::uint32_t target = this->random() % FLAGS_nodes;
        const std::size_t count = 1 + this->random() % std::min<std::size_t>(FLAGS_nodes, maxPartitionedPeers);
        const unsigned direction = this->random() % 3;
        const std::chrono::milliseconds length = this->randomTime(minPartitionTime, maxPartitionTime);
        std::set<PeerPartition::Pair> pairs;
        std::string others;
        for (std::size_t number = 0; number < count; ++number) {
            const std::uint32_t other = this->random() % FLAGS_nodes;
            if (other == target) {
                continue;
            }
            others += ' ' + std::to_string(other);
            this->linkDisturbances.add(Disturbances::nameOfNode(other), Clock::now(), Clock::now() + length);
            if (direction != 0) {
                pairs.emplace(target, other);
            }
            if (direction != 1) {
                pairs.emplace(other, target);
            }
        }
        static constexpr const char *directions[] = {" receives nothing from", " is not received by", " is partitioned from"};
        this->recordFault("node " + std::to_string(target) + directions[direction] + others + " for "
                          + std::to_string(length.count()) + " ms");
        this->linkDisturbances.add(Disturbances::nameOfNode(target), Clock::now(), Clock::now() + length);
        const auto added = this->partitions.insert(this->partitions.end(), std::move(pairs));
        this->scheduleAction(length, [this, added] {
            this->partitions.erase(added);
        });
    }

    /** Applies the partitions at regular intervals, because connections are opened and closed meanwhile. */
    void applyPartitions()
    {
        constexpr std::chrono::milliseconds interval{50};
        if (Clock::now() < this->partitionsApplied + interval) {
            return;
        }
        this->partitionsApplied = Clock::now();
        std::set<PeerPartition::Pair> pairs;
        for (const std::set<PeerPartition::Pair> &partition : this->partitions) {
            pairs.insert(partition.begin(), partition.end());
        }
        std::vector<PeerPartition::Peer> peers;
        for (std::uint32_t node = 0; node < FLAGS_nodes; ++node) {
            peers.push_back({this->fleet.process(this->processes[node]).pid, this->addresses[node].ip});
        }
        try {
            this->peerPartition.apply(peers, pairs);
        } catch (const std::system_error &failure) {
            this->records.requests.recordViolation(std::string("cannot partition nodes: ") + failure.what());
        }
    }

    /** Limits the rates at regular intervals, because connections are opened meanwhile. */
    void limitRates()
    {
        constexpr std::chrono::milliseconds interval{50};
        if (FLAGS_link_rate == 0 || Clock::now() < this->ratesLimited + interval) {
            return;
        }
        this->ratesLimited = Clock::now();
        limitRatesOf(getpid());
        for (const std::size_t process : this->processes) {
            if (const pid_t pid = this->fleet.process(process).pid; pid > 0) {
                limitRatesOf(pid);
            }
        }
    }

    static void limitRatesOf(pid_t pid)
    {
        try {
            limitConnectionRates(pid, FLAGS_link_rate);
        } catch (const std::system_error &) {
            // The process is being ended; its successor is limited later.
        }
    }

    /** Delays the updates of one table to a node. Its other calls to the store are not delayed. */
    void delayTableUpdates()
    {
        static constexpr const char *tables[] = {"jobs-open", "jobs-open", "servers", "nodes"};
        const std::uint32_t node = this->random() % FLAGS_nodes;
        const std::string table = tables[this->random() % std::size(tables)];
        const std::chrono::milliseconds delay = this->randomTime(std::chrono::milliseconds(300), std::chrono::milliseconds(4000));
        const std::chrono::milliseconds length = this->randomTime(minPartitionTime, maxPartitionTime);
        this->recordFault("updates of table " + table + " arrive " + std::to_string(delay.count()) + " ms late to node "
                          + std::to_string(node) + " for " + std::to_string(length.count()) + " ms");
        this->linkDisturbances.add(Disturbances::nameOfNode(node), Clock::now(), Clock::now() + length);
        this->world.post([node, table, delay](SoakWorld &world) {
            world.storeProxy(node).delayResponses("/rows-feed?table=" + table + '&', delay);
        });
        this->scheduleAction(length, [this, node] {
            this->world.post([node](SoakWorld &world) {
                world.storeProxy(node).delayResponses({}, std::chrono::milliseconds(0));
            });
        });
    }

    /** Makes the store drop its history several times while rows change. */
    void dropHistoryRepeatedly()
    {
        const unsigned count = 2 + this->random() % 6;
        this->recordFault("history dropped " + std::to_string(count) + " times");
        std::chrono::milliseconds delay{0};
        for (unsigned time = 0; time < count; ++time) {
            this->scheduleAction(delay, [this] {
                this->world.post([](SoakWorld &world) {
                    world.platform().rows().dropHistory();
                });
            });
            delay += this->randomTime(std::chrono::milliseconds(20), maxPause);
        }
    }

    /** Makes all replicas generate slowly, so that slots are scarce. */
    void slowDownReplicas()
    {
        const std::chrono::milliseconds interval
            = this->randomTime(std::chrono::milliseconds(60), std::chrono::milliseconds(200));
        const std::chrono::milliseconds length = this->randomTime(minPartitionTime, maxPartitionTime);
        this->recordFault("replicas pause " + std::to_string(interval.count()) + " ms before each event for "
                          + std::to_string(length.count()) + " ms");
        this->world.post([interval](SoakWorld &world) {
            world.setEventInterval(interval);
        });
        this->scheduleAction(length, [this] {
            this->world.post([](SoakWorld &world) {
                world.setEventInterval(defaultEventInterval);
            });
        });
    }

    /** Injects several faults at the same time. */
    void injectSeveralFaults()
    {
        const unsigned count = 2 + this->random() % 3;
        for (unsigned number = 0; number < count; ++number) {
            this->injectFault();
        }
    }

    /** A line of a node's log about the sending of an item. */
    struct Sending
    {
        std::string node;
        std::string line;
        std::string time;
    };

    /** @return the last sending of an item before it reached the replica, according to the nodes' logs. */
    std::optional<Sending> lastSending(const SoakRecord::LateItem &item) const
    {
        const auto elapsed = std::chrono::duration_cast<std::chrono::system_clock::duration>(Clock::now() - item.reached);
        const std::string latest = logTime(std::chrono::system_clock::now() - elapsed);
        std::optional<Sending> found;
        for (std::uint32_t node = 0; node < FLAGS_nodes; ++node) {
            std::ifstream log(this->fleet.process(this->processes[node]).logFile);
            for (std::string line; std::getline(log, line);) {
                if (line.find("\"batch item sent\"") == std::string::npos
                    || line.find('"' + item.item + '"') == std::string::npos) {
                    continue;
                }
                const std::string time = nlohmann::json::parse(line).value("time", "");
                if (time < latest && (!found || time > found->time)) {
                    found = {Disturbances::nameOfNode(node), line, time};
                }
            }
        }
        return found;
    }

    void checkItemsAfterEnd()
    {
        std::map<std::string, unsigned> reported;
        for (const SoakRecord::LateItem &item : this->records.requests.itemsAfterEnd(jobEndBound)) {
            const std::optional<Sending> sending = this->lastSending(item);
            const Clock::time_point from = item.reached - disturbanceMargin;
            const bool isAllowed = this->disturbances.overlaps(Disturbances::store, from, item.reached)
                || (sending && this->disturbances.overlaps(sending->node, from, item.reached));
            if (isAllowed) {
                ++this->allowedAfterEnd;
                continue;
            }
            if (++reported[item.job] > 1) {
                continue;
            }
            const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(item.reached - item.acknowledged);
            const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(item.reached - this->started);
            this->records.requests.recordViolation(
                "item " + item.item + " reached a replica at " + std::to_string(since.count()) + " ms, "
                + std::to_string(late.count()) + " ms after the end of its job was acknowledged, from "
                + (sending ? sending->node + ": " + sending->line : "a node that has not logged it"));
        }
        for (const auto &[job, items] : reported) {
            this->recordFault("number of items of " + job
                              + " that reached replicas too late after its end: " + std::to_string(items));
        }
    }

    /** Checks when versions of the configuration and states of replicas took effect. */
    void checkBounds()
    {
        Disturbances all = this->disturbances;
        all.addAll(this->linkDisturbances);
        for (const std::string &late : this->records.configurations.violations(applyBound, disturbanceMargin, all)) {
            this->records.requests.recordViolation(late);
        }
        for (const std::string &late : this->records.drains.violations(drainBound, disturbanceMargin, all)) {
            this->records.requests.recordViolation(late);
        }
    }

    /** @return the sum of a gauge, by the end of its name, over all nodes. */
    double sumOfGauges(const std::string &suffix) const
    {
        double sum = 0;
        for (const Address &address : this->addresses) {
            RawConnection reader({address.ip, metricsPort});
            reader.send("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            std::istringstream lines(reader.readAll());
            const std::string name = suffix + "\"} ";
            for (std::string line; std::getline(lines, line);) {
                const std::size_t position = line.find(name);
                sum += position == std::string::npos ? 0 : std::stod(line.substr(position + name.size()));
            }
        }
        return sum;
    }

    /** Checks that no slot is taken once no request runs, neither by a node nor by the count of a dispatcher. */
    void checkSlots()
    {
        const Clock::time_point end = Clock::now() + slotReleaseTime;
        for (const char *const gauge : {"slots_held", "slots_requested", "_online_running", "_batch_running"}) {
            double taken = this->sumOfGauges(gauge);
            while (taken > 0 && Clock::now() < end) {
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
                taken = this->sumOfGauges(gauge);
            }
            if (taken > 0) {
                this->records.requests.recordViolation(std::string(gauge) + " is " + std::to_string(taken)
                                                       + " although no request runs");
            }
        }
    }

    void finish()
    {
        SoakCaller last(this->records.requests, this->records.runs, this->addresses, "last", FLAGS_seed);
        last.finishJobs(jobTimeout);
        for (const std::string &job : this->records.requests.openJobs()) {
            this->recordFault("rows of " + job + ": " + this->rowsOf(job));
        }
        const double served = last.probe(probeCount);
        if (served < minServedShare) {
            this->records.requests.recordViolation("only " + std::to_string(served)
                                                   + " of the requests were served after all faults were over");
        }
        if (this->records.requests.openJobs().empty()) {
            this->checkSlots();
        }
        for (const std::size_t process : this->processes) {
            this->fleet.signal(process, SIGTERM);
        }
        for (const std::size_t process : this->processes) {
            if (this->fleet.waitEnd(process, stopTimeout) != 0) {
                this->records.requests.recordViolation(this->fleet.process(process).name + " did not stop cleanly after the run");
            }
        }
        this->checkItemsAfterEnd();
        this->checkBounds();
        for (const std::string &excess :
             this->records.crashes.excessRuns(crashesToRefuse, crashPropagationTime, maxRunsAfterRefusal)) {
            this->records.requests.recordViolation(excess);
        }
        this->records.requests.checkEnd();
    }

    /** @return the rows of a job in the store, to diagnose why the job is not complete. */
    std::string rowsOf(const std::string &job)
    {
        return this->world.ask<std::string>([&job](SoakWorld &world) {
            std::string text;
            for (const char *const table : {"jobs", "jobs-open"}) {
                for (const StoredRow &row : world.platform().rows().rowsOf(table)) {
                    const bool isOfJob = row.key.part == job || row.key.key.ends_with(job);
                    text += isOfJob ? row.key.table + ' ' + row.key.key + " version " + std::to_string(row.version) + "; " : "";
                }
            }
            return text;
        });
    }

    SoakWorld::Records records;
    LocalFleet fleet;
    TaskHost<SoakWorld> world;
    std::minstd_rand random;
    const Clock::time_point started = Clock::now();
    std::vector<Address> addresses;
    std::vector<std::size_t> processes;
    std::deque<bool> isDisturbed;
    std::multimap<Clock::time_point, std::function<void()>> pending;
    std::vector<std::string> faults;
    PeerPartition peerPartition;
    std::list<std::set<PeerPartition::Pair>> partitions;
    Clock::time_point partitionsApplied;
    Clock::time_point ratesLimited;
    Disturbances disturbances;
    /** Of links between nodes, and of single tables; they excuse less than those of nodes. */
    Disturbances linkDisturbances;
    unsigned allowedAfterEnd = 0;
    std::atomic<bool> isStopped = false;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("soak --seed=N --seconds=S [--nodes=N] [--replicas=N] [--callers=N]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    Soak soak;
    const bool hasPassed = soak.run();
    soak.report();
    if (!hasPassed) {
        setenv("KEEP_LOGS", "1", 1);
    }
    return hasPassed ? 0 : 1;
}
