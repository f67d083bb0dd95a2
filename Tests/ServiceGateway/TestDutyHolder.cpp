#include <LibMembership/MemberView.h>
#include <Services/Gateway/PeerNetwork.h>

#include <doctest/doctest.h>

#include <vector>

using namespace Dogwoodkeel;

namespace
{

constexpr std::uint64_t duties = 200;

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

SessionNumber holderOf(const std::vector<Member> &members, std::uint64_t duty)
{
    const MemberView view(members);
    const Member *const holder = coordinatorFor(view, duty);
    REQUIRE(holder != nullptr);
    return holder->session;
}

} // namespace

// The store turns one node away, so it hears nothing of replicas that leave. If it were to go on as the dispatcher, it would
// give the requests of all nodes places at replicas that have left.
TEST_CASE("a node without the store has no duty while others have it, and the others keep theirs")
{
    const std::vector<Member> before = nodes(10);
    std::vector<Member> after = before;
    after[3].hasLostStore = true;
    for (std::uint64_t duty = 0; duty < duties; ++duty) {
        const SessionNumber was = holderOf(before, duty);
        const SessionNumber is = holderOf(after, duty);
        CHECK(is != after[3].session);
        CHECK((is == was || was == after[3].session));
    }
}

TEST_CASE("where no node has the store, the duties stay where they were")
{
    const std::vector<Member> before = nodes(10);
    std::vector<Member> after = before;
    for (Member &member : after) {
        member.hasLostStore = true;
    }
    for (std::uint64_t duty = 0; duty < duties; ++duty) {
        CHECK(holderOf(after, duty) == holderOf(before, duty));
    }
}

// A VM with an eighth of a core can't answer the asks of all others in time: they would place by their own counts.
TEST_CASE("nodes that leave, are not ready or have a small processor get no duty")
{
    std::vector<Member> members = nodes(4);
    members[0].isLeaving = true;
    members[1].isReady = false;
    members[2].processorShare = 40;
    for (std::uint64_t duty = 0; duty < duties; ++duty) {
        CHECK(holderOf(members, duty) == members[3].session);
    }
    CHECK(coordinatorFor(MemberView({}), 1) == nullptr);
}
