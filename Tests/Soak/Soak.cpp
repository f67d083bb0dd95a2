// Runs nodes as processes of their own, injects faults from outside them as a seed says, and holds what callers and replicas
// see against what was promised to them.

#include <Benchmarks/Support/LocalFleet.h>
#include <LibTask/TaskHost.h>
#include <Tests/Soak/Disturbances.h>
#include <Tests/Soak/PeerCut.h>
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
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_string(programs, "build", "folder with the build's programs");
DEFINE_uint32(seed, 1, "what faults come, and when");
DEFINE_uint32(seconds, 20, "how long faults come");
DEFINE_uint32(nodes, 4, "node processes");
DEFINE_uint32(replicas, 6, "stand-in replicas; one in three is a plain service");
DEFINE_uint32(callers, 12, "callers at once");
DEFINE_uint32(enders, 3, "callers that submit large jobs and end most of them; with all kinds of faults only");
DEFINE_uint32(crashers,
              0,
              "callers whose requests crash what runs them, two with the same; only replicas meet other faults then");
DEFINE_bool(upgrade_in_place, false, "replicas that start again under their names have another version of their software");
DEFINE_uint32(kinds, 26, "kinds of faults; a seed that was found with fewer of them is played with as many as then");

using namespace Dogwoodkeel;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds shortestFault{100};
constexpr std::chrono::milliseconds longestFault{3500};
constexpr std::chrono::milliseconds longestPause{900};
/** Everything is back this long after the last fault; what callers were promised holds from then on. */
constexpr std::chrono::seconds recovery{12};
constexpr std::chrono::seconds jobTimeout{60};
/** A node ends by itself this long after SIGTERM: the grace of its settings, and a busy machine. */
constexpr std::chrono::seconds stopTimeout{20};
/** Items of a job may reach replicas for so long after its end was acknowledged. */
constexpr std::chrono::seconds jobEndBound{3};
/** A disturbance counts for so long after its end. */
constexpr std::chrono::seconds disturbedFor{4};
constexpr std::chrono::milliseconds shortestCut{4000};
constexpr std::chrono::milliseconds longestCut{12000};
/** With fewer kinds of faults there are no callers that end large jobs. */
constexpr std::uint32_t kindsWithoutEnders = 14;
/** After so many crashes, and so long for all nodes to know, a content may reach replicas so many times more. */
constexpr std::size_t crashesToRefuse = 3;
constexpr std::chrono::seconds crashesSettle{3};
constexpr std::size_t runsAfterwards = 3;
/** The kinds of faults that only replicas meet: nodes and store are then undisturbed all the while. */
constexpr std::array replicaFaults{6u, 10u, 12u, 13u, 21u};
constexpr std::size_t mostPeersCut = 8;
constexpr const char *storeParty = "store";
constexpr double servedAfter = 0.9;
constexpr int probes = 40;
constexpr std::uint16_t peerPort = 7601;
constexpr std::uint16_t readyPort = 7602;

/** @return a time as the nodes' logs have it, up to the microseconds. */
std::string logTime(std::chrono::system_clock::time_point time)
{
    const auto second = std::chrono::floor<std::chrono::seconds>(time);
    const auto rest = std::chrono::floor<std::chrono::microseconds>(time - second);
    const std::time_t whole = std::chrono::system_clock::to_time_t(second);
    std::tm parts{};
    localtime_r(&whole, &parts);
    std::array<char, 40> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.", &parts);
    std::snprintf(text.data() + size, text.size() - size, "%06lld", static_cast<long long>(rest.count()));
    return text.data();
}

class Soak
{
public:
    Soak()
        : fleet(FLAGS_programs)
        , world("world", this->record, this->crashes, FLAGS_nodes, FLAGS_replicas)
        , random(FLAGS_seed)
        , cut(peerPort)
    {
        for (std::uint32_t node = 0; node < FLAGS_nodes; ++node) {
            this->addresses.push_back(this->fleet.nextAddress());
        }
        for (std::uint32_t node = 0; node < FLAGS_nodes; ++node) {
            this->startNode(node);
        }
    }

    /** @return whether all promises were kept. */
    bool run()
    {
        std::vector<std::thread> threads;
        for (std::uint32_t number = 0; number < FLAGS_callers; ++number) {
            threads.emplace_back([this, number] {
                SoakCaller(this->record, this->addresses, "c" + std::to_string(number), FLAGS_seed * 1000 + number)
                    .run(this->isStopped);
            });
        }
        for (std::uint32_t number = 0; FLAGS_kinds > kindsWithoutEnders && number < FLAGS_enders; ++number) {
            threads.emplace_back([this, number] {
                SoakCaller(this->record, this->addresses, "e" + std::to_string(number), FLAGS_seed * 1000 + 500 + number)
                    .runJobs(this->isStopped);
            });
        }
        for (std::uint32_t number = 0; number < FLAGS_crashers; ++number) {
            threads.emplace_back([this, number] {
                SoakCaller(this->record, this->addresses, "x" + std::to_string(number), FLAGS_seed * 1000 + 700 + number)
                    .runCrashing(std::string(crashMark) + " " + std::to_string(FLAGS_seed) + "." + std::to_string(number / 2),
                                 this->isStopped);
            });
        }
        this->passTime(Clock::now() + std::chrono::seconds(2));
        const auto end = Clock::now() + std::chrono::seconds(FLAGS_seconds);
        while (Clock::now() < end) {
            this->injectFault();
            this->passTime(Clock::now() + this->randomTime(std::chrono::milliseconds(0), longestPause));
        }
        while (!this->pending.empty()) {
            this->passTime(Clock::now() + longestPause);
        }
        this->passTime(Clock::now() + recovery);
        this->isStopped = true;
        for (std::thread &thread : threads) {
            thread.join();
        }
        this->finish();
        return this->record.violations().empty();
    }

    void report() const
    {
        std::printf("seed %u: %s; %u items late after the end of their jobs beside a disturbance; %s\n",
                    FLAGS_seed,
                    this->record.summary().c_str(),
                    this->allowedAfterEnd,
                    this->crashes.summary().c_str());
        for (const std::string &violation : this->record.violations()) {
            std::printf("  BROKEN %s\n", violation.c_str());
        }
        if (!this->record.violations().empty()) {
            std::printf("  faults:\n");
            for (const std::string &fault : this->faults) {
                std::printf("    %s\n", fault.c_str());
            }
            std::printf("  logs: %s and beside it\n", this->fleet.process(0).logFile.c_str());
        }
    }

private:
    void startNode(std::uint32_t node)
    {
        std::string seeds;
        for (const Address &address : this->addresses) {
            seeds += (seeds.empty() ? "\"" : ", \"") + Address{address.ip, peerPort}.toString() + '"';
        }
        const Address &own = this->addresses[node];
        const std::string name = "node-" + std::to_string(node);
        const Address store = this->world.ask<Address>([node](SoakWorld &world) {
            return world.storeWay(node).address();
        });
        const std::string peer = Address{own.ip, peerPort}.toString();
        const std::string settings = "[node]\nvm = \"" + name + "\"\nfailure_domain = \"z" + std::to_string(node % 3)
            + "\"\n[listen]\nhttp = \"" + own.toString() + "\"\ngossip = \"" + peer + "\"\nowner = \"" + peer
            + "\"\n[platform]\naddress = \"" + store.toString()
            + "\"\ntimeout = \"1500ms\"\n[peers]\nsite_key = \"soak\"\nseeds = [" + seeds + "]\n[gateway]\nready = \""
            + Address{own.ip, readyPort}.toString() + "\"\n";
        const std::string file = this->fleet.writeFile(name + ".toml", settings);
        this->processes.push_back(
            this->fleet.start(name, {FLAGS_programs + "/Programs/dogwoodkeel", "gateway", "--settings=" + file}, own));
        this->isDisturbed.push_back(false);
        this->noteNode(node);
    }

    std::chrono::milliseconds randomTime(std::chrono::milliseconds least, std::chrono::milliseconds most)
    {
        std::uniform_int_distribution<std::int64_t> spread(least.count(), most.count());
        return std::chrono::milliseconds(spread(this->random));
    }

    void later(std::chrono::milliseconds delay, std::function<void()> action)
    {
        this->pending.emplace(Clock::now() + delay, std::move(action));
    }

    /** Do what is due until then. */
    void passTime(Clock::time_point until)
    {
        constexpr std::chrono::milliseconds look{5};
        while (Clock::now() < until) {
            while (!this->pending.empty() && this->pending.begin()->first <= Clock::now()) {
                const std::function<void()> action = this->pending.begin()->second;
                this->pending.erase(this->pending.begin());
                action();
            }
            for (const std::string &ended : this->fleet.takeEnded()) {
                this->record.violate(ended);
            }
            this->renewCuts();
            std::this_thread::sleep_for(look);
        }
    }

    static std::string partyOf(std::uint32_t node)
    {
        return "node-" + std::to_string(node);
    }

    /** A node is disturbed, for this long from now on. */
    void noteNode(std::uint32_t node, std::chrono::milliseconds length = std::chrono::milliseconds(0))
    {
        this->disturbances.note(partyOf(node), Clock::now(), Clock::now() + length);
    }

    void note(const std::string &fault)
    {
        const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - this->started);
        this->faults.push_back(std::to_string(since.count()) + " ms: " + fault);
    }

    void injectFault()
    {
        const std::chrono::milliseconds length = this->randomTime(shortestFault, longestFault);
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
            this->hangUp();
            return;
        case 4:
        case 5:
            this->disturbWay("store way", this->random() % FLAGS_nodes, length, &SoakWorld::storeWay);
            return;
        case 6:
        case 7:
            this->disturbWay("replica way", this->random() % FLAGS_replicas, length, &SoakWorld::replicaWay);
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
            this->spoilEntry(length);
            return;
        case 14:
        case 15:
        case 16:
            this->cutPeers();
            return;
        case 17:
        case 18:
            this->holdTableBack();
            return;
        case 19:
        case 20:
            this->forgetHistory();
            return;
        case 21:
        case 22:
            this->slowReplicas();
            return;
        case 23:
        case 24:
        case 25:
            this->injectSeries();
            return;
        default:
            this->changeAll(length);
            return;
        }
    }

    void disturbNode(int signal, std::chrono::milliseconds length)
    {
        const std::uint32_t node = this->random() % FLAGS_nodes;
        if (std::exchange(this->isDisturbed[node], true)) {
            return;
        }
        this->note("signal " + std::to_string(signal) + " to node " + std::to_string(node) + " for "
                   + std::to_string(length.count()) + " ms");
        this->noteNode(node, length);
        this->fleet.signal(this->processes[node], signal);
        if (signal == SIGTERM) {
            this->awaitStop(node, Clock::now() + stopTimeout);
            return;
        }
        this->later(length, [this, node, signal] {
            if (signal == SIGSTOP) {
                this->fleet.signal(this->processes[node], SIGCONT);
            } else {
                this->fleet.restart(this->processes[node]);
            }
            this->noteNode(node);
            this->isDisturbed[node] = false;
        });
    }

    void awaitStop(std::uint32_t node, Clock::time_point until)
    {
        constexpr std::chrono::milliseconds look{30};
        const int status = this->fleet.waitEnd(this->processes[node], std::chrono::milliseconds(1));
        this->noteNode(node);
        if (this->fleet.process(this->processes[node]).pid > 0 && Clock::now() < until) {
            this->later(look, [this, node, until] {
                this->awaitStop(node, until);
            });
            return;
        }
        if (status != 0) {
            this->record.violate("node " + std::to_string(node) + " did not stop as planned");
            this->fleet.signal(this->processes[node], SIGKILL);
        }
        this->fleet.restart(this->processes[node]);
        this->isDisturbed[node] = false;
    }

    void hangUp()
    {
        const std::uint32_t node = this->random() % FLAGS_nodes;
        this->note("SIGHUP to node " + std::to_string(node));
        this->fleet.signal(this->processes[node], SIGHUP);
    }

    void disturbWay(const std::string &what,
                    std::uint32_t number,
                    std::chrono::milliseconds length,
                    FaultProxy &(SoakWorld::*way)(std::size_t))
    {
        static constexpr FaultProxy::Mode modes[]
            = {FaultProxy::Mode::Delay, FaultProxy::Mode::Reset, FaultProxy::Mode::OneWay, FaultProxy::Mode::Silent};
        const std::size_t kind = this->random() % std::size(modes);
        const std::chrono::milliseconds delay = this->randomTime(std::chrono::milliseconds(5), std::chrono::milliseconds(400));
        this->note(what + ' ' + std::to_string(number) + " in mode " + std::to_string(kind + 1) + " for "
                   + std::to_string(length.count()) + " ms");
        if (way == &SoakWorld::storeWay) {
            this->noteNode(number, length);
        }
        this->world.post([way, number, mode = modes[kind], delay](SoakWorld &world) {
            (world.*way)(number).setMode(mode, delay);
        });
        this->later(length, [this, way, number] {
            if (way == &SoakWorld::storeWay) {
                this->noteNode(number);
            }
            this->world.post([way, number](SoakWorld &world) {
                // Connections over which bytes were lost are of no use any more: the network tells so in the end.
                (world.*way)(number).setMode(FaultProxy::Mode::Reset);
                (world.*way)(number).setMode(FaultProxy::Mode::Pass);
            });
        });
    }

    void disturbStore(std::chrono::milliseconds length)
    {
        const bool isSilent = this->random() % 2 == 0;
        this->note(std::string("store ") + (isSilent ? "silent" : "busy") + " for " + std::to_string(length.count()) + " ms");
        this->world.post([isSilent](SoakWorld &world) {
            world.platform().setResponseMode(isSilent ? StandInStore::ResponseMode::Unresponsive
                                                      : StandInStore::ResponseMode::Busy);
        });
        this->disturbances.note(storeParty, Clock::now(), Clock::now() + length);
        this->later(length, [this] {
            this->disturbances.note(storeParty, Clock::now(), Clock::now());
            this->world.post([](SoakWorld &world) {
                world.platform().setResponseMode(StandInStore::ResponseMode::Serving);
            });
        });
    }

    void disturbWrites()
    {
        const std::size_t count = 1 + this->random() % 8;
        const std::chrono::milliseconds delay = this->randomTime(std::chrono::milliseconds(50), longestFault);
        const unsigned kind = this->random() % 3;
        this->note("kind " + std::to_string(kind) + " of disturbed writes, " + std::to_string(count));
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

    void drainReplica(std::chrono::milliseconds length)
    {
        const std::uint32_t replica = this->random() % FLAGS_replicas;
        this->note("replica " + std::to_string(replica) + " leaves for " + std::to_string(length.count()) + " ms");
        this->world.post([replica](SoakWorld &world) {
            world.registerReplica(replica, "draining");
        });
        this->later(length, [this, replica] {
            this->world.post([replica](SoakWorld &world) {
                world.registerReplica(replica, "ready");
            });
        });
    }

    void restartReplica()
    {
        const std::uint32_t replica = this->random() % FLAGS_replicas;
        this->note("replica " + std::to_string(replica) + " starts again under its name");
        this->world.post([replica](SoakWorld &world) {
            world.restartReplica(replica, FLAGS_upgrade_in_place ? SoakWorld::Restart::Upgraded : SoakWorld::Restart::AsItWas);
        });
    }

    void spoilEntry(std::chrono::milliseconds length)
    {
        static constexpr const char *texts[] = {"\xff\xfe", "{}", R"({"service":"llm","slots":1e99})", "[[[[", ""};
        const std::uint32_t replica = this->random() % FLAGS_replicas;
        const std::string text = texts[this->random() % std::size(texts)];
        this->note("entry of replica " + std::to_string(replica) + " spoilt for " + std::to_string(length.count()) + " ms");
        this->world.post([replica, text](SoakWorld &world) {
            world.spoilEntry(replica, text);
        });
        this->later(length, [this, replica] {
            this->world.post([replica](SoakWorld &world) {
                world.registerReplica(replica, "ready");
            });
        });
    }

    /** A new configuration; one time in three, all nodes are killed just after it. */
    void changeAll(std::chrono::milliseconds length)
    {
        this->note("new configuration");
        this->world.post([](SoakWorld &world) {
            world.configure();
        });
        if (this->random() % 3 != 0) {
            return;
        }
        this->note("all nodes are killed for " + std::to_string(length.count()) + " ms");
        for (std::uint32_t node = 0; node < FLAGS_nodes; ++node) {
            if (std::exchange(this->isDisturbed[node], true)) {
                continue;
            }
            this->noteNode(node, length);
            this->fleet.signal(this->processes[node], SIGKILL);
            this->later(length, [this, node] {
                this->fleet.restart(this->processes[node]);
                this->noteNode(node);
                this->isDisturbed[node] = false;
            });
        }
    }

    /** Some nodes lose one, or it loses them, or both; all of them reach the store. */
    void cutPeers()
    {
        const std::uint32_t one = this->random() % FLAGS_nodes;
        const std::size_t count = 1 + this->random() % std::min<std::size_t>(FLAGS_nodes, mostPeersCut);
        const unsigned direction = this->random() % 3;
        const std::chrono::milliseconds length = this->randomTime(shortestCut, longestCut);
        std::set<PeerCut::Pair> pairs;
        std::string others;
        for (std::size_t number = 0; number < count; ++number) {
            const std::uint32_t other = this->random() % FLAGS_nodes;
            if (other == one) {
                continue;
            }
            others += ' ' + std::to_string(other);
            if (direction != 0) {
                pairs.emplace(one, other);
            }
            if (direction != 1) {
                pairs.emplace(other, one);
            }
        }
        static constexpr const char *directions[] = {" hears nothing of", " isn't heard by", " is cut off from"};
        this->note("node " + std::to_string(one) + directions[direction] + others + " for " + std::to_string(length.count())
                   + " ms");
        const auto made = this->cuts.insert(this->cuts.end(), std::move(pairs));
        this->later(length, [this, made] {
            this->cuts.erase(made);
        });
    }

    /** Connections come and go while nodes are cut off. */
    void renewCuts()
    {
        constexpr std::chrono::milliseconds interval{50};
        if (Clock::now() < this->cutsRenewed + interval) {
            return;
        }
        this->cutsRenewed = Clock::now();
        std::set<PeerCut::Pair> pairs;
        for (const std::set<PeerCut::Pair> &some : this->cuts) {
            pairs.insert(some.begin(), some.end());
        }
        std::vector<PeerCut::Peer> peers;
        for (std::uint32_t node = 0; node < FLAGS_nodes; ++node) {
            peers.push_back({this->fleet.process(this->processes[node]).pid, this->addresses[node].ip});
        }
        try {
            this->cut.apply(peers, pairs);
        } catch (const std::system_error &failure) {
            this->record.violate(std::string("nodes aren't cut off: ") + failure.what());
        }
    }

    /** A node follows a table through something that lags. Its other calls to the store go on as ever. */
    void holdTableBack()
    {
        static constexpr const char *tables[] = {"jobs-open", "jobs-open", "servers", "nodes"};
        const std::uint32_t node = this->random() % FLAGS_nodes;
        const std::string table = tables[this->random() % std::size(tables)];
        const std::chrono::milliseconds delay = this->randomTime(std::chrono::milliseconds(300), std::chrono::milliseconds(4000));
        const std::chrono::milliseconds length = this->randomTime(shortestCut, longestCut);
        this->note("table " + table + " comes " + std::to_string(delay.count()) + " ms late to node " + std::to_string(node)
                   + " for " + std::to_string(length.count()) + " ms");
        this->world.post([node, table, delay](SoakWorld &world) {
            world.storeWay(node).holdBack("/rows-feed?table=" + table + '&', delay);
        });
        this->later(length, [this, node] {
            this->world.post([node](SoakWorld &world) {
                world.storeWay(node).holdBack({}, std::chrono::milliseconds(0));
            });
        });
    }

    /** The store drops its history several times, while rows change. */
    void forgetHistory()
    {
        const unsigned count = 2 + this->random() % 6;
        this->note("history dropped " + std::to_string(count) + " times");
        std::chrono::milliseconds delay{0};
        for (unsigned time = 0; time < count; ++time) {
            this->later(delay, [this] {
                this->world.post([](SoakWorld &world) {
                    world.platform().rows().dropHistory();
                });
            });
            delay += this->randomTime(std::chrono::milliseconds(20), longestPause);
        }
    }

    /** All replicas generate slowly, so that places are scarce. */
    void slowReplicas()
    {
        const std::chrono::milliseconds pause = this->randomTime(std::chrono::milliseconds(60), std::chrono::milliseconds(200));
        const std::chrono::milliseconds length = this->randomTime(shortestCut, longestCut);
        this->note("replicas pause " + std::to_string(pause.count()) + " ms before each event for "
                   + std::to_string(length.count()) + " ms");
        this->world.post([pause](SoakWorld &world) {
            world.setEventPause(pause);
        });
        this->later(length, [this] {
            this->world.post([](SoakWorld &world) {
                world.setEventPause(usualEventPause);
            });
        });
    }

    /** Several faults at the same moment. */
    void injectSeries()
    {
        const unsigned count = 2 + this->random() % 3;
        for (unsigned number = 0; number < count; ++number) {
            this->injectFault();
        }
    }

    /** The last sending of an item before a moment, as the nodes' logs tell. */
    struct Sending
    {
        std::string node;
        std::string line;
        std::string time;
    };

    std::optional<Sending> sendingOf(const SoakRecord::LateItem &item) const
    {
        const auto past = std::chrono::duration_cast<std::chrono::system_clock::duration>(Clock::now() - item.reached);
        const std::string latest = logTime(std::chrono::system_clock::now() - past);
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
                    found = {partyOf(node), line, time};
                }
            }
        }
        return found;
    }

    void checkItemsAfterEnd()
    {
        std::map<std::string, unsigned> reported;
        for (const SoakRecord::LateItem &item : this->record.itemsAfterEnd(jobEndBound)) {
            const std::optional<Sending> sending = this->sendingOf(item);
            const Clock::time_point from = item.reached - disturbedFor;
            const bool isAllowed = this->disturbances.isIn(storeParty, from, item.reached)
                || (sending && this->disturbances.isIn(sending->node, from, item.reached));
            if (isAllowed) {
                ++this->allowedAfterEnd;
                continue;
            }
            if (++reported[item.job] > 1) {
                continue;
            }
            const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(item.reached - item.acknowledged);
            const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(item.reached - this->started);
            this->record.violate("item " + item.item + " reached a replica at " + std::to_string(since.count()) + " ms, "
                                 + std::to_string(late.count()) + " ms after the end of its job was acknowledged, from "
                                 + (sending ? sending->node + ": " + sending->line : "a node whose log doesn't say so"));
        }
        for (const auto &[job, items] : reported) {
            this->note("items of " + job + " that reached replicas too late after its end: " + std::to_string(items));
        }
    }

    void finish()
    {
        SoakCaller last(this->record, this->addresses, "last", FLAGS_seed);
        last.finishJobs(jobTimeout);
        for (const std::string &job : this->record.openJobs()) {
            this->note("rows of " + job + ": " + this->rowsOf(job));
        }
        const double served = last.probe(probes);
        if (served < servedAfter) {
            this->record.violate("only " + std::to_string(served) + " of the requests are served after all faults");
        }
        for (const std::size_t process : this->processes) {
            this->fleet.signal(process, SIGTERM);
        }
        for (const std::size_t process : this->processes) {
            if (this->fleet.waitEnd(process, stopTimeout) != 0) {
                this->record.violate(this->fleet.process(process).name + " did not stop as planned in the end");
            }
        }
        this->checkItemsAfterEnd();
        for (const std::string &excess : this->crashes.excesses(crashesToRefuse, crashesSettle, runsAfterwards)) {
            this->record.violate(excess);
        }
        this->record.checkEnd();
    }

    /** @return what the store holds of a job, to tell why it is not done. */
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

    SoakRecord record;
    CrashRecord crashes;
    LocalFleet fleet;
    TaskHost<SoakWorld> world;
    std::minstd_rand random;
    const Clock::time_point started = Clock::now();
    std::vector<Address> addresses;
    std::vector<std::size_t> processes;
    std::deque<bool> isDisturbed;
    std::multimap<Clock::time_point, std::function<void()>> pending;
    std::vector<std::string> faults;
    PeerCut cut;
    std::list<std::set<PeerCut::Pair>> cuts;
    Clock::time_point cutsRenewed;
    Disturbances disturbances;
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
    const bool isKept = soak.run();
    soak.report();
    if (!isKept) {
        setenv("KEEP_LOGS", "1", 1);
    }
    return isKept ? 0 : 1;
}
