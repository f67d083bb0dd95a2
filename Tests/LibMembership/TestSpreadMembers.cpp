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

TEST_CASE("copies lie in different failure domains as long as there are others")
{
    const MemberView view(membersOf(3, 4));
    for (std::uint64_t key = 1; key <= 50; ++key) {
        const std::vector<const Member *> chosen = spreadMembers(view, key, 4);
        REQUIRE(chosen.size() == 4);
        std::set<FailureDomain> domains;
        for (std::size_t place = 0; place < 3; ++place) {
            domains.insert(chosen[place]->failureDomain);
        }
        CHECK(domains.size() == 3);
    }
}

TEST_CASE("who leaves is not chosen, and few members are all chosen")
{
    std::vector<Member> members = membersOf(2, 2);
    members[1].isLeaving = true;
    const std::vector<const Member *> chosen = spreadMembers(MemberView(members), 1, 8);
    CHECK(chosen.size() == 3);
}

// The node that tells and the one that asks see different members: one of them does not know yet who has died.
TEST_CASE("of the members that keep copies, those that still live are among those that are asked")
{
    const std::vector<Member> all = membersOf(3, 4);
    const MemberView before(all);
    for (std::uint64_t key = 1; key <= 50; ++key) {
        const std::set<SessionNumber> holders = sessionsOf(spreadMembers(before, key, 4));
        std::vector<Member> rest = all;
        rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(key % rest.size()));
        const std::set<SessionNumber> asked = sessionsOf(spreadMembers(MemberView(rest), key, 8));
        const auto reached = std::ranges::count_if(holders, [&asked](SessionNumber holder) {
            return asked.contains(holder);
        });
        CHECK(reached >= 3);
    }
}
