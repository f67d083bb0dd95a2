#include <LibBase/Hash.h>
#include <LibBase/ManualClock.h>
#include <LibGateway/RecentReplicas.h>
#include <LibGateway/ReplicaList.h>
#include <LibGateway/ReplicaRing.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Dogwoodkeel;

namespace
{

constexpr std::size_t domainCount = 5;
constexpr std::size_t setSize = 64;

ServingReplica replica(std::size_t number, const std::string &service = "s")
{
    const std::string name = "i-" + std::to_string(number);
    return {EndpointName(name),
            EndpointName(name),
            ServiceName(service),
            {"10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250), 80},
            FailureDomain("z" + std::to_string(number % domainCount)),
            7,
            false};
}

ReplicaRing ringOf(std::size_t count)
{
    ReplicaRing ring;
    for (std::size_t number = 0; number < count; ++number) {
        ring.put(replica(number));
    }
    return ring;
}

std::uint64_t hashOfNode(std::size_t node)
{
    return stableHash("node " + std::to_string(node));
}

std::set<EndpointName> namesOf(const ReplicaRing::Selection &selection)
{
    std::set<EndpointName> names;
    for (const ServingReplica &selected : selection.replicas) {
        names.insert(selected.instance);
    }
    return names;
}

} // namespace

TEST_CASE("the set of a node does not grow with the number of replicas")
{
    for (const std::size_t count : {300U, 3000U, 10000U, 20000U}) {
        const ReplicaRing ring = ringOf(count);
        const ReplicaRing::Selection selection = ring.select(hashOfNode(1), FailureDomain("z1"), setSize);
        CHECK(selection.replicas.size() == setSize);
        CHECK(namesOf(selection).size() == setSize);
        const auto localCount = std::ranges::count(selection.replicas, FailureDomain("z1"), &ServingReplica::failureDomain);
        CHECK(localCount == setSize * 3 / 4);
    }
}

TEST_CASE("if there are few replicas, all are selected, with the fingerprint of their list")
{
    ManualClock clock;
    ReplicaRing ring = ringOf(12);
    ring.put(replica(100, "other"));
    const ReplicaRing::Selection selection = ring.select(7, FailureDomain("z1"), setSize);
    CHECK(selection.replicas.size() == 13);
    ReplicaList list(clock, {}, {});
    list.replaceExactly({selection.replicas.begin(), selection.replicas.end()});
    CHECK(list.fingerprint() == selection.fingerprint);
    CHECK(ring.select(7, FailureDomain("elsewhere"), setSize).replicas.size() == 13);
}

// While no dispatcher answers, each node places its requests within its set. Replicas that are in many more sets than others
// would be overloaded.
TEST_CASE("the sets of many nodes use all replicas evenly")
{
    constexpr std::size_t replicaCount = 3000;
    constexpr std::size_t nodeCount = 1000;
    const ReplicaRing ring = ringOf(replicaCount);
    std::map<EndpointName, std::size_t> uses;
    for (std::size_t node = 0; node < nodeCount; ++node) {
        const FailureDomain domain("z" + std::to_string(node % domainCount));
        for (const EndpointName &name : namesOf(ring.select(hashOfNode(node), domain, setSize))) {
            ++uses[name];
        }
    }
    constexpr std::size_t mean = nodeCount * setSize / replicaCount;
    CHECK(uses.size() == replicaCount);
    for (const auto &[name, count] : uses) {
        CHECK(count <= mean * 3);
    }
}

TEST_CASE("a draining replica changes one entry of the sets that contain it, and no other set")
{
    ReplicaRing ring = ringOf(3000);
    const FailureDomain domain("z1");
    const std::set<EndpointName> before = namesOf(ring.select(hashOfNode(1), domain, setSize));
    const std::set<EndpointName> otherBefore = namesOf(ring.select(hashOfNode(500), domain, setSize));
    ServingReplica draining = replica(std::stoul(before.begin()->value().substr(2)));
    draining.isDraining = true;
    ring.put(draining);
    const std::set<EndpointName> after = namesOf(ring.select(hashOfNode(1), domain, setSize));
    std::vector<EndpointName> removed;
    std::ranges::set_difference(before, after, std::back_inserter(removed));
    CHECK(removed == std::vector{draining.instance});
    CHECK(after.size() == setSize);
    if (!otherBefore.contains(draining.instance)) {
        CHECK(namesOf(ring.select(hashOfNode(500), domain, setSize)) == otherBefore);
    }
}

TEST_CASE("the replicas of recent slots are found by their addresses, up to a limit")
{
    RecentReplicas recent;
    for (std::size_t number = 0; number < 3000; ++number) {
        recent.add(replica(number));
    }
    CHECK(recent.findAt(replica(0).address) == nullptr);
    REQUIRE(recent.findAt(replica(2999).address) != nullptr);
    CHECK(recent.findAt(replica(2999).address)->instance == replica(2999).instance);
}
