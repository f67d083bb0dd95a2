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

/** Of the network's members. */
constexpr std::size_t domainCount = 7;

/** Start so many nodes at once, which know three of them. @return how many began to follow the store's tables at any time */
std::size_t beganAtCommonStart(Number nodeCount)
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
    std::set<Number> began;
    for (std::chrono::milliseconds passed(0); passed < 5s; passed += 100ms) {
        network.clock.advance(100ms);
        for (auto &[number, role] : roles) {
            role->update(*network.member(number).view(), network.sessionOf(number));
            if (role->isRelay(RelayRole::Use::None)) {
                began.insert(number);
            }
        }
    }
    return began.size();
}

} // namespace

// Each node of a fleet that starts sees few others for a moment. Were it to follow the tables at once, all would read all of
// them.
TEST_CASE("where a fleet starts at once, hardly more nodes begin to follow the tables than are needed")
{
    for (const Number nodeCount : {100U, 300U, 1000U}) {
        CAPTURE(nodeCount);
        const std::size_t needed = domainCount * relaysFor(nodeCount / domainCount);
        const std::size_t began = beganAtCommonStart(nodeCount);
        CHECK(began >= domainCount * minRelays);
        CHECK(began <= needed * 2);
    }
}
