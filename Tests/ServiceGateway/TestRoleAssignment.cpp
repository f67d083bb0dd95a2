#include <LibMembership/MemberView.h>
#include <Services/Gateway/PeerNetwork.h>

#include <doctest/doctest.h>

#include <vector>

using namespace Dogwoodkeel;

namespace
{

constexpr std::uint64_t roleCount = 200;

std::vector<Member> nodes(std::size_t count)
{
    std::vector<Member> members;
    for (std::size_t number = 1; number <= count; ++number) {
        Member member;
        member.session = SessionNumber(number);
        member.isReady = true;
        member.processorShare = 100;
        members.push_back(member);
    }
    return members;
}

SessionNumber coordinatorOf(const std::vector<Member> &members, std::uint64_t role)
{
    const MemberView view(members);
    const Member *const coordinator = coordinatorFor(view, role);
    REQUIRE(coordinator != nullptr);
    return coordinator->session;
}

} // namespace

// Guards against requests that are sent to departed replicas: a node that the store refuses doesn't learn which replicas leave,
// and as the dispatcher it would still assign their slots to the requests of all nodes.
TEST_CASE("a node that lost the store has no role while others reach it, and the others keep theirs")
{
    const std::vector<Member> before = nodes(10);
    std::vector<Member> after = before;
    after[3].hasLostStore = true;
    for (std::uint64_t role = 0; role < roleCount; ++role) {
        const SessionNumber was = coordinatorOf(before, role);
        const SessionNumber is = coordinatorOf(after, role);
        CHECK(is != after[3].session);
        CHECK((is == was || was == after[3].session));
    }
}

TEST_CASE("the roles stay where they are if no node reaches the store")
{
    const std::vector<Member> before = nodes(10);
    std::vector<Member> after = before;
    for (Member &member : after) {
        member.hasLostStore = true;
    }
    for (std::uint64_t role = 0; role < roleCount; ++role) {
        CHECK(coordinatorOf(after, role) == coordinatorOf(before, role));
    }
}

// A VM with an eighth of a core can't answer the slot requests of all other nodes in time: these would fall back to their own
// counts.
TEST_CASE("nodes that leave, are not ready or have a small share of a processor get no role")
{
    std::vector<Member> members = nodes(4);
    members[0].isLeaving = true;
    members[1].isReady = false;
    members[2].processorShare = 40;
    for (std::uint64_t role = 0; role < roleCount; ++role) {
        CHECK(coordinatorOf(members, role) == members[3].session);
    }
    CHECK(coordinatorFor(MemberView({}), 1) == nullptr);
}
