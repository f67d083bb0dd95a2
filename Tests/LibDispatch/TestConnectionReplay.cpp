#include <LibBase/ManualClock.h>
#include <LibDispatch/Dispatcher.h>

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t nodeCount = 30;
constexpr std::uint32_t replicaCount = 30;
constexpr std::uint32_t slots = 7;
constexpr std::chrono::milliseconds streamTime{550};
/** How long an idle connection is kept. */
constexpr std::chrono::seconds idleTimeout{5};
constexpr std::chrono::seconds length{30};
constexpr double perSecond = 160;

/** Whether nodes report to the dispatcher which replicas they have a connection to. */
enum class Reported {
    Yes,
    No,
};

struct Outcome
{
    std::size_t requests = 0;
    std::size_t connections = 0;
    /** Requests that waited for a slot. */
    std::size_t waited = 0;
};

/** Idle connections of one node: the replica's name hash, and when the connection was last used. */
using Idle = std::multimap<std::uint32_t, SteadyTime>;

Outcome replay(Reported reported)
{
    ManualClock clock;
    Outcome outcome;
    std::vector<Idle> idle(nodeCount);
    std::multimap<SteadyTime, std::pair<TicketId, std::uint32_t>> ends;
    Dispatcher dispatcher(clock,
                          {.place =
                               [&](TicketId id, const EndpointName &replica) {
                                   Idle &own = idle.at(id.node.value() - 1);
                                   const auto open = own.find(nameHashOf(replica));
                                   if (open != own.end()) {
                                       own.erase(open);
                                   } else {
                                       ++outcome.connections;
                                   }
                                   ends.emplace(clock.now() + streamTime, std::pair(id, nameHashOf(replica)));
                               },
                           .stop = [](TicketId) {},
                           .refuse = [](TicketId, std::chrono::milliseconds) {}});
    std::vector<DispatchReplica> replicas;
    for (std::uint32_t number = 0; number < replicaCount; ++number) {
        const FailureDomain domain("z" + std::to_string(number % 4));
        replicas.push_back({EndpointName("r" + std::to_string(number)), domain, slots, false});
    }
    dispatcher.setReplicas(replicas);
    std::minstd_rand random(11);
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<std::size_t> anyNode(0, nodeCount - 1);
    for (std::chrono::milliseconds time{0}; time < length; time += 1ms) {
        clock.advance(1ms);
        for (auto end = ends.begin(); end != ends.end() && end->first <= clock.now(); end = ends.begin()) {
            const auto [id, nameHash] = end->second;
            ends.erase(end);
            idle.at(id.node.value() - 1).emplace(nameHash, clock.now());
            dispatcher.end(id, PlacementVerdict::Finished);
        }
        if (chance(random) >= perSecond / 1000) {
            continue;
        }
        const std::size_t node = anyNode(random);
        std::erase_if(idle[node], [&clock](const auto &connection) {
            return clock.now() - connection.second > idleTimeout;
        });
        PlacementRequest request;
        request.id = {SessionNumber(node + 1), ++outcome.requests};
        request.failureDomain = FailureDomain("z" + std::to_string(node % 4));
        request.arrived = clock.now();
        request.due = clock.now() + 250ms;
        request.deadline = clock.now() + 5s;
        if (reported == Reported::Yes) {
            for (const auto &[nameHash, used] : idle[node]) {
                request.connected.push_back(nameHash);
            }
        }
        outcome.waited += dispatcher.submit(request) ? 0 : 1;
    }
    return outcome;
}

} // namespace

// With many nodes and many replicas, a node that uses another replica for each request opens a connection for nearly
// each of them, which costs processor time at the replica and a round trip for the caller.
TEST_CASE("requests are placed where their node has a connection, without more waiting")
{
    const Outcome withoutConnections = replay(Reported::No);
    const Outcome withConnections = replay(Reported::Yes);
    MESSAGE("connections for ",
            withoutConnections.requests,
            " requests: ",
            withoutConnections.connections,
            " without reports, ",
            withConnections.connections,
            " with; waited ",
            withoutConnections.waited,
            " and ",
            withConnections.waited);
    CHECK(withConnections.requests == withoutConnections.requests);
    CHECK(withConnections.connections * 2 < withoutConnections.connections);
    CHECK(withConnections.waited <= withoutConnections.waited);
}

TEST_CASE("an open connection does not fill one replica while others are idle")
{
    ManualClock clock;
    std::map<std::string, int> placed;
    Dispatcher dispatcher(clock,
                          {.place =
                               [&placed](TicketId, const EndpointName &replica) {
                                   ++placed[replica.value()];
                               },
                           .stop = [](TicketId) {},
                           .refuse = [](TicketId, std::chrono::milliseconds) {}});
    dispatcher.setReplicas(
        {{EndpointName("a"), FailureDomain("z"), 8, false}, {EndpointName("b"), FailureDomain("z"), 8, false}});
    for (std::uint64_t number = 1; number <= 8; ++number) {
        PlacementRequest request;
        request.id = {SessionNumber(1), number};
        request.due = clock.now() + 1s;
        request.deadline = clock.now() + 5s;
        request.connected = {nameHashOf(EndpointName("a"))};
        dispatcher.submit(request);
    }
    CHECK(placed["a"] - placed["b"] <= 2);
}
