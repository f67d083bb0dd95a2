#include <LibBase/ManualClock.h>
#include <LibMembership/RoleAssignment.h>
#include <LibMembership/RelayAssignment.h>
#include <LibMembership/RelaySelector.h>
#include <LibMembership/RelayRole.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t domainCount = 5;
constexpr std::uint32_t largeShare = 50;
constexpr std::uint32_t smallShare = 12;

Member memberOf(std::uint64_t number)
{
    Member member;
    member.session = SessionNumber(number);
    member.failureDomain = FailureDomain("z" + std::to_string(number % domainCount));
    // One large VM in five, in each failure domain.
    member.processorShare = number / domainCount % 5 == 0 ? largeShare : smallShare;
    member.isReady = true;
    return member;
}

std::vector<Member> membersOf(std::uint64_t count)
{
    std::vector<Member> members;
    for (std::uint64_t number = 1; number <= count; ++number) {
        members.push_back(memberOf(number));
    }
    return members;
}

std::vector<SessionNumber> relaysOf(const MemberView &view)
{
    std::vector<SessionNumber> relays;
    for (const Member &member : view.members()) {
        if (shouldRelay(view, member.session)) {
            relays.push_back(member.session);
        }
    }
    return relays;
}

} // namespace

// Were each member to follow the tables, the bytes read from the store would grow with the replicas times the members.
TEST_CASE("those who follow the store grow far slower than the members")
{
    const std::size_t at300 = relaysOf(MemberView(membersOf(300))).size();
    const std::size_t at1000 = relaysOf(MemberView(membersOf(1000))).size();
    const std::size_t at2000 = relaysOf(MemberView(membersOf(2000))).size();
    CHECK(at300 == domainCount * minRelays);
    CHECK(at1000 == domainCount * minRelays);
    CHECK(at2000 == domainCount * 4);
    CHECK(at2000 * membersPerRelay >= 2000);
}

TEST_CASE("in a small failure domain all members follow the store")
{
    CHECK(relaysOf(MemberView(membersOf(domainCount * maxMembersWithoutRelays))).size() == domainCount * maxMembersWithoutRelays);
}

TEST_CASE("relays have a large processor, and reach the store")
{
    std::vector<Member> members = membersOf(300);
    const std::vector<SessionNumber> before = relaysOf(MemberView(members));
    for (Member &member : members) {
        const bool wasRelay = std::ranges::find(before, member.session) != before.end();
        CHECK((!wasRelay || member.processorShare == largeShare));
        member.hasLostStore = wasRelay;
    }
    const std::vector<SessionNumber> after = relaysOf(MemberView(members));
    CHECK(after.size() == before.size());
    for (const SessionNumber relay : after) {
        CHECK(std::ranges::find(before, relay) == before.end());
    }
}

TEST_CASE("a node that is chosen only for the moment in which it sees few others does not begin to follow the tables")
{
    ManualClock clock;
    RelayRole role(clock);
    const std::vector<Member> all = membersOf(300);
    const MemberView view(all);
    const auto other = std::ranges::find_if(all, [&view](const Member &member) {
        return !shouldRelay(view, member.session);
    });
    const SessionNumber self = other->session;
    role.update(MemberView({*other}), self);
    clock.advance(300ms);
    CHECK_FALSE(role.isRelay(RelayRole::Use::None));
    role.update(view, self);
    clock.advance(10s);
    CHECK_FALSE(role.isRelay(RelayRole::Use::None));
}

TEST_CASE("a relay that is chosen no longer goes on while it is asked or has a duty, and one that knows nothing yet ends at once")
{
    ManualClock clock;
    RelayRole role(clock);
    const std::vector<Member> all = membersOf(300);
    const MemberView view(all);
    const SessionNumber self = relaysOf(view).front();
    role.update(view, self);
    clock.advance(500ms);
    CHECK(role.isRelay(RelayRole::Use::None));
    std::vector<Member> without = all;
    std::ranges::find(without, self, &Member::session)->isLeaving = true;
    role.update(MemberView(without), self);
    clock.advance(20s);
    CHECK(role.isRelay(RelayRole::Use::Serving));
    clock.advance(20s);
    CHECK(role.isRelay(RelayRole::Use::Coordinating));
    CHECK_FALSE(role.isRelay(RelayRole::Use::Serving));
    role.update(view, self);
    clock.advance(500ms);
    CHECK(role.isRelay(RelayRole::Use::None));
    role.update(MemberView(without), self);
    CHECK_FALSE(role.isRelay(RelayRole::Use::None));
}

TEST_CASE("a node that no relay answers follows the tables itself")
{
    ManualClock clock;
    RelayRole role(clock);
    CHECK_FALSE(role.isRelay(RelayRole::Use::None));
    role.recordRelaysUnresponsive();
    CHECK(role.isRelay(RelayRole::Use::None));
}

TEST_CASE("nodes spread over the relays of their failure domain, and pass by one that is silent or has lost the store")
{
    ManualClock clock;
    std::vector<Member> members = membersOf(300);
    const std::vector<SessionNumber> relays = relaysOf(MemberView(members));
    for (Member &member : members) {
        member.isRelay = std::ranges::find(relays, member.session) != relays.end();
    }
    const auto view = std::make_shared<const MemberView>(members);
    std::map<SessionNumber, std::size_t> asked;
    for (const Member &member : members) {
        RelaySelector picker(clock);
        picker.update(view, member.session);
        const Member *const first = picker.select();
        REQUIRE(first != nullptr);
        if (!member.isRelay) {
            CHECK(first->failureDomain == member.failureDomain);
            ++asked[first->session];
        }
        picker.recordUnresponsive(first->session);
        const Member *const second = picker.select();
        REQUIRE(second != nullptr);
        CHECK(second->session != first->session);
        CHECK_FALSE(picker.hasNoResponsiveRelay());
    }
    CHECK(asked.size() == relays.size());
    for (const auto &[relay, count] : asked) {
        CHECK(count <= membersPerRelay);
        CHECK(count >= 10);
    }
    for (Member &member : members) {
        member.hasLostStore = member.isRelay && member.failureDomain == members.front().failureDomain;
    }
    RelaySelector picker(clock);
    picker.update(std::make_shared<const MemberView>(members), members.front().session);
    CHECK_FALSE(picker.select()->hasLostStore);
}

// While the store is away, all relays are behind. Were each node to follow the tables itself then, all would read all of them
// when it is back.
TEST_CASE("relays that are behind are passed by as long as there are others, and leave nobody forsaken")
{
    ManualClock clock;
    std::vector<Member> members = membersOf(3);
    members[1].isRelay = true;
    members[2].isRelay = true;
    RelaySelector picker(clock);
    picker.update(std::make_shared<const MemberView>(members), members.front().session);
    const SessionNumber first = picker.select()->session;
    picker.recordOutdated(first);
    const SessionNumber second = picker.select()->session;
    CHECK(second != first);
    picker.recordOutdated(second);
    REQUIRE(picker.select() != nullptr);
    CHECK_FALSE(picker.hasNoResponsiveRelay());
    picker.recordUnresponsive(first);
    REQUIRE(picker.select() != nullptr);
    CHECK(picker.select()->session == second);
}

TEST_CASE("a node whose relays are all silent is forsaken, and tries them again later")
{
    ManualClock clock;
    std::vector<Member> members = membersOf(3);
    members[1].isRelay = true;
    RelaySelector picker(clock);
    picker.update(std::make_shared<const MemberView>(members), members.front().session);
    CHECK_FALSE(picker.hasNoResponsiveRelay());
    picker.recordUnresponsive(members[1].session);
    CHECK(picker.select() == nullptr);
    CHECK(picker.hasNoResponsiveRelay());
    clock.advance(6s);
    REQUIRE(picker.select() != nullptr);
    CHECK(picker.select()->session == members[1].session);
    CHECK_FALSE(picker.hasNoResponsiveRelay());
}

// A dispatcher that knows a part of the replicas would fill these and leave the others idle.
TEST_CASE("where a failure domain needs relays, only they dispatch, and before there is one nobody does")
{
    std::vector<Member> members = membersOf(300);
    CHECK(coordinatorFor(MemberView(members), 1, RoleCandidates::Relays) == nullptr);
    CHECK(coordinatorFor(MemberView(members), 1) != nullptr);
    members[9].isRelay = true;
    members[9].processorShare = largeShare;
    const MemberView view(members);
    for (std::uint64_t key = 0; key < 20; ++key) {
        REQUIRE(coordinatorFor(view, key, RoleCandidates::Relays) != nullptr);
        CHECK(coordinatorFor(view, key, RoleCandidates::Relays)->session == members[9].session);
    }
    CHECK(mayKeepRole(view, members[9]));
    CHECK_FALSE(mayKeepRole(view, members[19]));
    CHECK(coordinatorFor(MemberView(membersOf(10)), 1, RoleCandidates::Relays) != nullptr);
}
