#include <LibMembership/SpreadMembers.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

using namespace Dogwoodkeel;

namespace
{

std::vector<Member> membersOf(std::size_t domains, std::size_t ofDomain)
{
    std::vector<Member> members;
    for (std::size_t number = 0; number < domains * ofDomain; ++number) {
        Member member;
        member.session = SessionNumber(1000 + number * 7919);
        member.failureDomain = FailureDomain("d" + std::to_string(number % domains));
        members.push_back(member);
    }
    return members;
}

std::set<SessionNumber> sessionsOf(const std::vector<const Member *> &members)
{
    std::set<SessionNumber> sessions;
    for (const Member *const member : members) {
        sessions.insert(member->session);
    }
    return sessions;
}

} // namespace

TEST_CASE("copies are in different failure domains as long as there are unused ones")
{
    const MemberView view(membersOf(3, 4));
    for (std::uint64_t key = 1; key <= 50; ++key) {
        const std::vector<const Member *> selected = spreadMembers(view, key, 4);
        REQUIRE(selected.size() == 4);
        std::set<FailureDomain> domains;
        for (std::size_t index = 0; index < 3; ++index) {
            domains.insert(selected[index]->failureDomain);
        }
        CHECK(domains.size() == 3);
    }
}

TEST_CASE("a leaving member is not selected, and all others are if there are few")
{
    std::vector<Member> members = membersOf(2, 2);
    members[1].isLeaving = true;
    const std::vector<const Member *> selected = spreadMembers(MemberView(members), 1, 8);
    CHECK(selected.size() == 3);
}

// The node that stores the copies and the one that queries them have different views: one does not know yet which member died.
TEST_CASE("the members that keep copies and are still alive are among those that are queried")
{
    const std::vector<Member> all = membersOf(3, 4);
    const MemberView before(all);
    for (std::uint64_t key = 1; key <= 50; ++key) {
        const std::set<SessionNumber> holders = sessionsOf(spreadMembers(before, key, 4));
        std::vector<Member> remaining = all;
        remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(key % remaining.size()));
        const std::set<SessionNumber> queried = sessionsOf(spreadMembers(MemberView(remaining), key, 8));
        const auto reached = std::ranges::count_if(holders, [&queried](SessionNumber holder) {
            return queried.contains(holder);
        });
        CHECK(reached >= 3);
    }
}
