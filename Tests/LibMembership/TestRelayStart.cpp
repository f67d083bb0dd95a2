#include <LibMembership/RelayAssignment.h>
#include <LibMembership/RelayRole.h>
#include <Tests/Fakes/GossipNetwork.h>

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <set>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

using Number = GossipNetwork::Number;

/** Number of failure domains of GossipNetwork. */
constexpr std::size_t domainCount = 7;

/** Starts nodeCount nodes at once, with three of them as contacts. @return how many started to follow the tables at any time */
std::size_t relaysAtSimultaneousStart(Number nodeCount)
{
    Membership::Options options;
    options.sessionOrder = Membership::SessionOrder::Random;
    options.viewInterval = 20ms;
    GossipNetwork network(options);
    network.isRelay = [](Number) {
        return false;
    };
    network.processorShareOf = [](Number number) {
        return number % 5 == 0 ? 50 : 12;
    };
    std::map<Number, std::unique_ptr<RelayRole>> roles;
    for (Number number = 1; number <= nodeCount; ++number) {
        network.add(number, {1, 2, 3});
        roles[number] = std::make_unique<RelayRole>(network.clock);
    }
    std::set<Number> started;
    for (std::chrono::milliseconds passed(0); passed < 5s; passed += 100ms) {
        network.clock.advance(100ms);
        for (auto &[number, role] : roles) {
            role->update(*network.member(number).view(), network.sessionOf(number));
            if (role->isRelay(RelayRole::Use::None)) {
                started.insert(number);
            }
        }
    }
    return started.size();
}

} // namespace

// While a fleet starts, each node knows few others for a moment. If nodes started to follow the tables at once, all nodes would
// read all tables.
TEST_CASE("if a fleet starts at once, hardly more nodes start to follow the tables than are needed")
{
    for (const Number nodeCount : {100U, 300U, 1000U}) {
        CAPTURE(nodeCount);
        const std::size_t needed = domainCount * relaysFor(nodeCount / domainCount);
        const std::size_t started = relaysAtSimultaneousStart(nodeCount);
        CHECK(started >= domainCount * minRelays);
        CHECK(started <= needed * 2);
    }
}
