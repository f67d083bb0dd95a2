// Estimates the traffic by which nodes learn the platform's replicas, for three strategies: each node reads the store, relays
// forward the whole list, or relays forward a bounded set. Sizes are those of encoded messages; the simultaneous start of all
// nodes is simulated in virtual time.
#include <LibGateway/ReplicaList.h>
#include <LibGateway/ReplicaRing.h>
#include <LibMembership/RelayAssignment.h>
#include <LibMembership/RelayRole.h>
#include <LibWire/Codec.h>
#include <Tests/Fakes/GossipNetwork.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <vector>

DEFINE_string(programs, "build", "not used");
DEFINE_uint64(row_bytes, 340, "bytes of a replica's row in a response of the store");
DEFINE_uint64(replicas_per_node, 10, "number of replicas per node");
DEFINE_double(changes, 0.44, "rows that change per second, for each node of the fleet");
DEFINE_uint64(set, 64, "replicas of a service that a relay sends to a node");
DEFINE_double(store_mbps, 4000, "bandwidth of the store's link in Mbit/s");
DEFINE_double(large_mbps, 600, "bandwidth of a relay's link in Mbit/s");
DEFINE_double(small_mbps, 30, "bandwidth of any other node's link in Mbit/s");

namespace
{

using namespace Dogwoodkeel;
using Number = GossipNetwork::Number;

constexpr std::size_t domainCount = 7;
constexpr double bitsPerByte = 8;
constexpr double megabit = 1e6;
constexpr double megabyte = 1e6;

ServingReplica replicaOf(std::size_t number)
{
    const std::string name = "i-" + std::to_string(1000000000 + number) + "@1773239486031";
    return {EndpointName(name),
            EndpointName(name.substr(0, 12)),
            ServiceName("service"),
            {"10.0." + std::to_string(number / 250 % 250) + "." + std::to_string(number % 250), 8244},
            FailureDomain("domain-" + std::to_string(number % domainCount)),
            7,
            false};
}

ReplicaRecord recordOf(const ServingReplica &replica)
{
    return {replica.instance,
            replica.registeredName,
            replica.service.value(),
            replica.address,
            replica.failureDomain,
            replica.slots,
            replica.isDraining};
}

std::size_t listBytes(const std::vector<ServingReplica> &replicas)
{
    ReplicaRecords records;
    std::ranges::transform(replicas, std::back_inserter(records.replicas), &recordOf);
    return encode(records).size();
}

/** Result of the simulated simultaneous start of all nodes. */
struct Start
{
    std::size_t relays = 0;
    /** Time from the start until the last relay begins to read. */
    std::chrono::milliseconds readStart{0};
};

Start simulateStart(Number nodeCount)
{
    Membership::Options options;
    options.sessionOrder = Membership::SessionOrder::Random;
    options.viewInterval = std::chrono::milliseconds(20);
    GossipNetwork network(options);
    network.isRelay = [](Number) {
        return false;
    };
    std::map<Number, std::unique_ptr<RelayRole>> roles;
    for (Number number = 1; number <= nodeCount; ++number) {
        network.add(number, {1, 2, 3});
        roles[number] = std::make_unique<RelayRole>(network.clock);
    }
    constexpr std::chrono::milliseconds step{50};
    constexpr std::chrono::milliseconds simulated{4000};
    std::set<Number> relays;
    Start start;
    for (std::chrono::milliseconds elapsed = step; elapsed <= simulated; elapsed += step) {
        network.clock.advance(step);
        for (auto &[number, role] : roles) {
            role->update(*network.member(number).view(), network.sessionOf(number));
            if (role->isRelay(RelayRole::Use::None) && relays.insert(number).second) {
                start.readStart = elapsed;
            }
        }
    }
    start.relays = relays.size();
    return start;
}

double secondsOn(double bytes, double mbps)
{
    return bytes * bitsPerByte / (mbps * megabit);
}

void printStrategy(
    Number nodes, const char *strategy, double steady, double starting, double node, double seconds, std::size_t state)
{
    std::printf("| %llu | %s | %.3f MB/s | %.0f MB | %.0f kB | %.2f s | %zu |\n",
                static_cast<unsigned long long>(nodes),
                strategy,
                steady / megabyte,
                starting / megabyte,
                node / 1e3,
                seconds,
                state);
}

void measure(Number nodes)
{
    std::vector<ServingReplica> replicas;
    ReplicaRing ring;
    for (std::size_t number = 0; number < nodes * FLAGS_replicas_per_node; ++number) {
        replicas.push_back(replicaOf(number));
        ring.put(replicas.back());
    }
    const Start start = simulateStart(nodes);
    const double table = static_cast<double>(replicas.size() * FLAGS_row_bytes);
    const double changes = FLAGS_changes * static_cast<double>(nodes * FLAGS_row_bytes);
    const double nodeCount = static_cast<double>(nodes);
    const double relays = static_cast<double>(start.relays);
    const double served = nodeCount / relays;
    const double readStart = std::chrono::duration<double>(start.readStart).count();
    const double read = readStart + secondsOn(table * relays, FLAGS_store_mbps) + secondsOn(table, FLAGS_large_mbps);
    const double whole = static_cast<double>(listBytes(replicas));
    const ReplicaRing::Selection selection = ring.select(1, FailureDomain("domain-1"), FLAGS_set);
    const double set = static_cast<double>(listBytes(selection.replicas));
    const double sample = static_cast<double>(FLAGS_set * FLAGS_row_bytes);

    printStrategy(nodes,
                  "each node follows the store",
                  changes * nodeCount,
                  table * nodeCount,
                  table,
                  std::max(secondsOn(table * nodeCount, FLAGS_store_mbps), secondsOn(table, FLAGS_small_mbps)),
                  replicas.size());
    printStrategy(nodes,
                  "relays forward the whole list",
                  changes * relays,
                  table * relays,
                  whole,
                  read + std::max(secondsOn(whole * served, FLAGS_large_mbps), secondsOn(whole, FLAGS_small_mbps)),
                  replicas.size());
    printStrategy(nodes,
                  "relays forward a bounded set, nodes read a sample first",
                  changes * relays,
                  table * relays + sample * nodeCount,
                  set,
                  std::max(secondsOn(sample * nodeCount, FLAGS_store_mbps), secondsOn(sample, FLAGS_small_mbps)),
                  selection.replicas.size());
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::puts(
        "| nodes | strategy | from the store when steady | from the store at a common start | to a node at the start | until it"
        " can serve, by link bandwidth | replicas a node knows |\n|---|---|---|---|---|---|---|");
    for (const Number nodes : {100U, 300U, 984U, 2000U}) {
        measure(nodes);
    }
    return 0;
}
