// Compares policies that select a replica, in virtual time: several nodes use replicas of two hardware generations, with the
// costs of the stand-in engine (docs/design/engine-stand-in.md). Only the decisions run the real code.
#include <Benchmarks/Support/Figures.h>
#include <Benchmarks/Support/VirtualTime.h>

#include <LibBase/Hash.h>
#include <LibFleet/FleetState.h>
#include <LibRouting/ReplicaSelector.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "not used: nothing is started");
DEFINE_int32(seconds, 40, "virtual time of each run");
DEFINE_int32(nodes, 11, "number of nodes; each selects replicas by its own state");
DEFINE_int32(replicas, 9, "number of replicas; every third is of an old generation that takes twice as long");
DEFINE_uint64(seed, 1, "seed of the arrivals and of the random selections");

namespace
{

using namespace Dogwoodkeel;
using namespace std::chrono_literals;
using Micros = std::chrono::microseconds;
using Seconds = std::chrono::duration<double>;

constexpr std::size_t slots = 8;
constexpr Micros stepCost{2000};
constexpr Micros perStream{100};
constexpr Micros prefillCost{5000};
/** Prefill cost of the first 4 KB of a prompt, unless they are cached. */
constexpr Micros prefixCost{8000};
constexpr Micros prefillChunk{4000};
constexpr std::uint64_t templates = 60;
constexpr std::size_t templatesCached = 12;
constexpr int meanTokens = 32;
constexpr const char *model = "m";

struct Stream
{
    std::uint64_t prefix = 0;
    int tokens = 0;
    /** Called for each token with the number of remaining tokens. */
    std::function<void(int)> onToken;
    Micros prefill{0};
};

/** Simulates continuous batching with chunked prefill, and a prefix cache that evicts the least recently used prefix. */
class Engine
{
public:
    Engine(VirtualTime &time, double slowness) : time(time), slowness(slowness)
    {
    }

    void add(Stream stream)
    {
        this->queue.push_back(std::move(stream));
        if (!this->isStepping) {
            this->step();
        }
    }

    std::uint32_t load() const
    {
        return static_cast<std::uint32_t>(this->queue.size() + this->running.size());
    }

    double hits = 0;
    double starts = 0;

private:
    void admit()
    {
        for (; this->running.size() < slots && !this->queue.empty(); this->queue.pop_front()) {
            Stream &stream = this->running.emplace_back(std::move(this->queue.front()));
            const bool isHit = std::erase(this->cache, stream.prefix) > 0;
            stream.prefill = prefillCost + (isHit ? Micros(0) : prefixCost);
            this->hits += isHit ? 1 : 0;
            ++this->starts;
            this->cache.push_front(stream.prefix);
            this->cache.resize(std::min(this->cache.size(), templatesCached));
        }
    }

    void step()
    {
        this->admit();
        this->isStepping = !this->running.empty();
        Micros cost = stepCost;
        Micros chunk = prefillChunk;
        for (Stream &stream : this->running) {
            const Micros spent = std::min(chunk, stream.prefill);
            cost += stream.prefill.count() == 0 ? perStream : spent;
            stream.prefill -= spent;
            chunk -= spent;
        }
        if (this->isStepping) {
            this->time.after(cost * this->slowness, [this] {
                this->emit();
                this->step();
            });
        }
    }

    void emit()
    {
        for (Stream &stream : this->running) {
            if (stream.prefill.count() == 0) {
                stream.onToken(--stream.tokens);
            }
        }
        std::erase_if(this->running, [](const Stream &stream) {
            return stream.tokens == 0;
        });
    }

    VirtualTime &time;
    double slowness;
    std::deque<Stream> queue;
    std::vector<Stream> running;
    std::deque<std::uint64_t> cache;
    bool isStepping = false;
};

/** The state of one node, and its replica selector. */
struct Node
{
    Node(const Clock &clock, const SettingsHandle &settings, std::uint64_t seed)
        : random(seed)
        , table(settings->endpoints)
        , state(clock, settings, this->table)
        , selector(clock, settings, this->table, this->random)
    {
    }

    std::mt19937_64 random;
    ReplicaTable table;
    FleetState state;
    ReplicaSelector selector;
};

using SelectReplica = std::function<Replica *(Node &node, std::uint64_t prefix)>;

double reportedLoad(const Replica *replica)
{
    return replica->inFlight + replica->otherNodes.inFlight;
}

Replica *randomReplica(Node &node)
{
    const std::vector<Replica *> &all = node.table.of(model);
    return all[node.random() % all.size()];
}

const std::array<std::pair<const char *, SelectReplica>, 5> policies{{
    {"random",
     [](Node &node, std::uint64_t) {
         return randomReplica(node);
     }},
    {"least_in_flight",
     [](Node &node, std::uint64_t) {
         return *std::ranges::min_element(node.table.of(model), {}, reportedLoad);
     }},
    {"two_choices",
     [](Node &node, std::uint64_t) {
         return std::min(randomReplica(node), randomReplica(node), [](const Replica *left, const Replica *right) {
             return reportedLoad(left) < reportedLoad(right);
         });
     }},
    {"ours_without_prefix",
     [](Node &node, std::uint64_t) {
         return node.selector.select(model, {});
     }},
    {"ours",
     [](Node &node, std::uint64_t prefix) {
         return node.selector.select(model, {.prefix = prefix});
     }},
}};

double slownessOf(int replica)
{
    return replica % 3 == 2 ? 2 : 1;
}

/**
 * Runs one policy at one load, and prints its figures.
 * @param percent load, in percent of the rate that the replicas complete without a cached prefix
 * @param lag age of the load reports when the nodes receive them
 */
void measure(const SelectReplica &selectReplica, const std::string &name, int percent, std::chrono::milliseconds lag)
{
    VirtualTime time;
    Settings base;
    std::vector<std::unique_ptr<Engine>> engines;
    double rate = 0;
    for (int i = 0; i < FLAGS_replicas; ++i) {
        engines.push_back(std::make_unique<Engine>(time, slownessOf(i)));
        base.endpoints.push_back({.name = std::to_string(i), .model = model, .capacity = slots});
        const Seconds decode = (stepCost + perStream * slots) * meanTokens / slots;
        rate += 1 / (Seconds(decode + prefillCost + prefixCost).count() * slownessOf(i));
    }
    const SettingsHandle settings(std::make_shared<Settings>(base));
    std::deque<Node> nodes;
    for (int i = 0; i < FLAGS_nodes; ++i) {
        nodes.emplace_back(time, settings, FLAGS_seed + static_cast<std::uint64_t>(i));
    }
    const std::function<void()> report = [&] {
        for (std::size_t i = 0; i < engines.size(); ++i) {
            time.after(lag, [&, i, load = engines[i]->load()] {
                for (Node &node : nodes) {
                    node.state.observe({EndpointName(std::to_string(i)), load, static_cast<std::uint32_t>(lag.count())});
                }
            });
        }
        time.after(settings->fleet.loadPoll, report);
    };
    report();

    std::mt19937_64 random(FLAGS_seed);
    std::exponential_distribution<double> gap(rate * percent / 100);
    std::geometric_distribution<int> tokens(1.0 / meanTokens);
    std::vector<double> popularity(templates);
    std::ranges::generate(popularity, [rank = 0.0]() mutable {
        return 1 / ++rank;
    });
    std::discrete_distribution<std::uint64_t> popular(popularity.begin(), popularity.end());
    const SteadyTime measuredFrom = time.now() + std::chrono::seconds(FLAGS_seconds) / 4;
    Durations first;
    Durations total;
    const std::function<void()> arrive = [&] {
        Node &node = nodes[random() % nodes.size()];
        const std::uint64_t prefix = rendezvousWeight(1, 1 + popular(random));
        Replica *const replica = selectReplica(node, prefix);
        node.state.begin(*replica);
        const int wanted = 1 + tokens(random);
        const auto onToken = [&, replica, wanted, requested = time.now(), started = SteadyTime()](int remaining) mutable {
            started = remaining == wanted - 1 ? time.now() : started;
            if (remaining == wanted - 1 && requested >= measuredFrom) {
                first.add(time.now() - requested);
            }
            if (remaining > 0) {
                return;
            }
            const auto perToken = std::chrono::duration_cast<Micros>(time.now() - started) / std::max(1, wanted - 1);
            node.state.end(*replica, {AttemptOutcome::Succeeded, wanted > 1 ? std::optional(perToken) : std::nullopt});
            if (requested >= measuredFrom) {
                total.add(time.now() - requested);
            }
        };
        engines[std::stoul(replica->name.value())]->add({prefix, wanted, onToken});
        time.after(Seconds(gap(random)), arrive);
    };
    arrive();
    time.runUntil(time.now() + std::chrono::seconds(FLAGS_seconds));

    double hits = 0;
    double starts = 0;
    for (const auto &engine : engines) {
        hits += engine->hits;
        starts += engine->starts;
    }
    printFigure(name + ".first_token_p50", first.percentile(0.5), "ms");
    printFigure(name + ".first_token_p99", first.percentile(0.99), "ms");
    printFigure(name + ".total_p99", total.percentile(0.99), "ms");
    printFigure(name + ".prefix_hits", hits / starts, "share");
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const int percent : {60, 75, 85, 95}) {
        for (const std::chrono::milliseconds lag : {0ms, 2000ms}) {
            for (const auto &[policy, selectReplica] : policies) {
                const std::string reports = lag.count() > 0 ? ".old." : ".fresh.";
                measure(selectReplica, "routing.load_" + std::to_string(percent) + reports + policy, percent, lag);
            }
        }
    }
    return 0;
}
