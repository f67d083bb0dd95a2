#include <LibBase/ManualClock.h>
#include <LibMembership/RelayAssignment.h>
#include <LibMembership/RelayRole.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

/** The number of nodes of the failure domain: more than may follow the tables without relays. */
constexpr std::uint64_t nodeCount = 16;

std::vector<Member> allMembers()
{
    std::vector<Member> members(nodeCount);
    for (std::uint64_t number = 1; number <= nodeCount; ++number) {
        members[number - 1].session = SessionNumber(number);
    }
    return members;
}

/** A node that is not selected among all, but is selected in any view that lacks the relays. */
SessionNumber unselectedNode()
{
    std::vector<Member> members = allMembers();
    std::erase_if(members, [all = MemberView(members)](const Member &member) {
        return shouldRelay(all, member.session);
    });
    const MemberView view(members);
    return std::ranges::find_if(members,
                                [&view](const Member &member) {
                                    return shouldRelay(view, member.session);
                                })
        ->session;
}

/** The view of all members, in which this many of the selected ones report that they serve. */
MemberView viewWithServingRelays(std::size_t servingCount)
{
    std::vector<Member> members = allMembers();
    const MemberView all(members);
    for (Member &member : members) {
        member.isRelay = servingCount > 0 && shouldRelay(all, member.session);
        servingCount -= member.isRelay ? 1 : 0;
    }
    return MemberView(members);
}

/** A node that checks its role at the interval of the gateway's tick. */
class RoleBench
{
public:
    /** Lets time pass. @return whether the node was a relay at any check */
    bool run(std::chrono::milliseconds time, RelayRole::Use use = RelayRole::Use::None)
    {
        bool wasRelay = false;
        for (std::chrono::milliseconds passed(0); passed < time; passed += 20ms) {
            this->clock.advance(20ms);
            wasRelay = this->role.isRelay(use) || wasRelay;
        }
        return wasRelay;
    }

    /** Applies the view of a node that knows itself and some members, but none of those that are selected. */
    void updateWithOthers(std::size_t count)
    {
        std::vector<Member> members = allMembers();
        std::erase_if(members, [this, &count, all = MemberView(members)](const Member &member) {
            const bool isKnown = member.session == this->self || (!shouldRelay(all, member.session) && count > 0);
            count -= isKnown && member.session != this->self ? 1 : 0;
            return !isKnown;
        });
        this->role.update(MemberView(members), this->self);
    }

    ManualClock clock;
    SessionNumber self = unselectedNode();
    RelayRole role{this->clock};
};

} // namespace

// While a node is created or its machine is busy, it handles no datagrams. If that time counted, it would start to follow the
// tables before it has read the views that show that others are selected.
TEST_CASE("time in which a node does not run does not count towards its start as a relay")
{
    RoleBench bench;
    bench.updateWithOthers(4);
    CHECK_FALSE(bench.run(20ms));
    bench.clock.advance(5s);
    CHECK_FALSE(bench.role.isRelay(RelayRole::Use::None));
    bench.role.update(viewWithServingRelays(0), bench.self);
    CHECK_FALSE(bench.run(10s));
}

// On a busy machine gossip takes longer than the delay, and the node is selected in each view but the last.
TEST_CASE("a node waits until its failure domain has stopped growing, but not forever")
{
    RoleBench bench;
    for (std::size_t others = 1; others <= 4; ++others) {
        bench.updateWithOthers(others);
        CHECK_FALSE(bench.run(300ms));
    }
    bench.role.update(viewWithServingRelays(0), bench.self);
    CHECK_FALSE(bench.run(10s));
    RoleBench growing;
    for (std::size_t others = 1; others <= 13; ++others) {
        growing.updateWithOthers(others);
        growing.run(200ms);
    }
    CHECK(growing.role.isRelay(RelayRole::Use::None));
}

// The first calls to the store of a node on a busy machine time out. It knows nobody until it reads the table of nodes again,
// 1 s after its start.
TEST_CASE("a node that knows no other waits for a second look for others before it starts")
{
    RoleBench bench;
    bench.updateWithOthers(0);
    CHECK_FALSE(bench.run(1200ms));
    CHECK(bench.run(1s));
}

// A surplus relay would read all tables for up to 30 s more without need.
TEST_CASE("a relay that is no longer selected stops soon after all that are selected serve")
{
    RoleBench bench;
    bench.updateWithOthers(4);
    REQUIRE(bench.run(1s));
    bench.role.update(viewWithServingRelays(1), bench.self);
    bench.run(10s, RelayRole::Use::Serving);
    CHECK(bench.role.isRelay(RelayRole::Use::Serving));
    bench.role.update(viewWithServingRelays(2), bench.self);
    CHECK(bench.role.isRelay(RelayRole::Use::Serving));
    bench.run(4s, RelayRole::Use::Coordinating);
    CHECK(bench.role.isRelay(RelayRole::Use::Coordinating));
    CHECK_FALSE(bench.role.isRelay(RelayRole::Use::Serving));
}
