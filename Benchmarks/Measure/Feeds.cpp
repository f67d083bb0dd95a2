// What the nodes of a fleet read of the platform's replicas, by the ways in which they may learn of them: from the store each, or
// from relays that pass on the whole list, or a bounded set. Sizes are those of the messages; a common start is played in virtual
// time.
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
DEFINE_uint64(row_bytes, 340, "of a replica's row in an answer of the store");
DEFINE_uint64(replicas_per_node, 10, "replicas");
DEFINE_double(changes, 0.44, "rows that change a second, for each node of the fleet");
DEFINE_uint64(set, 64, "replicas of a service that a node is given");
DEFINE_double(store_mbps, 4000, "of the store's link");
DEFINE_double(large_mbps, 600, "of a relay's link");
DEFINE_double(small_mbps, 30, "of any other node's link");

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

/** What a common start in virtual time shows. */
struct Start
{
    std::size_t relays = 0;
    /** From the start until the last of them begins to read. */
    std::chrono::milliseconds begun{0};
};

Start playStart(Number nodeCount)
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
    constexpr std::chrono::milliseconds played{4000};
    std::set<Number> relays;
    Start start;
    for (std::chrono::milliseconds passed = step; passed <= played; passed += step) {
        network.clock.advance(step);
        for (auto &[number, role] : roles) {
            role->update(*network.member(number).view(), network.sessionOf(number));
            if (role->isRelay(RelayRole::Use::None) && relays.insert(number).second) {
                start.begun = passed;
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

void printWay(Number nodes, const char *way, double calm, double starting, double node, double seconds, std::size_t state)
{
    std::printf("| %llu | %s | %.3f MB/s | %.0f MB | %.0f kB | %.2f s | %zu |\n",
                static_cast<unsigned long long>(nodes),
                way,
                calm / megabyte,
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
    const Start start = playStart(nodes);
    const double table = static_cast<double>(replicas.size() * FLAGS_row_bytes);
    const double changes = FLAGS_changes * static_cast<double>(nodes * FLAGS_row_bytes);
    const double each = static_cast<double>(nodes);
    const double relays = static_cast<double>(start.relays);
    const double served = each / relays;
    const double begun = std::chrono::duration<double>(start.begun).count();
    const double read = begun + secondsOn(table * relays, FLAGS_store_mbps) + secondsOn(table, FLAGS_large_mbps);
    const double whole = static_cast<double>(listBytes(replicas));
    const ReplicaRing::Choice choice = ring.choose(1, FailureDomain("domain-1"), FLAGS_set);
    const double set = static_cast<double>(listBytes(choice.replicas));
    const double sample = static_cast<double>(FLAGS_set * FLAGS_row_bytes);

    printWay(nodes,
             "each node follows the store",
             changes * each,
             table * each,
             table,
             std::max(secondsOn(table * each, FLAGS_store_mbps), secondsOn(table, FLAGS_small_mbps)),
             replicas.size());
    printWay(nodes,
             "relays pass on the whole list",
             changes * relays,
             table * relays,
             whole,
             read + std::max(secondsOn(whole * served, FLAGS_large_mbps), secondsOn(whole, FLAGS_small_mbps)),
             replicas.size());
    printWay(nodes,
             "relays pass on a bounded set, a sample before",
             changes * relays,
             table * relays + sample * each,
             set,
             std::max(secondsOn(sample * each, FLAGS_store_mbps), secondsOn(sample, FLAGS_small_mbps)),
             choice.replicas.size());
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::puts("| nodes | way | from the store in calm | from the store at a common start | to a node at the start | until it can"
              " serve, by links | replicas a node knows |\n|---|---|---|---|---|---|---|");
    for (const Number nodes : {100U, 300U, 984U, 2000U}) {
        measure(nodes);
    }
    return 0;
}
