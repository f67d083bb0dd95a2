#include <LibBase/ManualClock.h>
#include <LibMembership/RelayAssignment.h>
#include <LibMembership/RelayRole.h>
#include <LibMembership/RelaySelector.h>
#include <LibMembership/RoleAssignment.h>

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
    // One of five VMs in each failure domain is large.
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

/** Lets time pass and checks the role at short intervals, as a gateway does. @return the result of the last check */
bool isRelayAfter(std::chrono::milliseconds time, ManualClock &clock, RelayRole &role)
{
    bool isRelay = false;
    for (std::chrono::milliseconds passed(0); passed < time; passed += 20ms) {
        clock.advance(20ms);
        isRelay = role.isRelay(RelayRole::Use::None);
    }
    return isRelay;
}

} // namespace

// If each member followed the tables, the bytes read from the store would grow with the number of replicas times that of members.
TEST_CASE("the number of relays grows far slower than the number of members")
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

TEST_CASE("a node that is selected only while it knows few others does not start to follow the tables")
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

TEST_CASE("a relay that is no longer selected continues while it is in use, and one that is not in use stops at once")
{
    ManualClock clock;
    RelayRole role(clock);
    const std::vector<Member> all = membersOf(300);
    const MemberView view(all);
    const SessionNumber self = relaysOf(view).front();
    role.update(view, self);
    CHECK(isRelayAfter(500ms, clock, role));
    std::vector<Member> withoutSelf = all;
    std::ranges::find(withoutSelf, self, &Member::session)->isLeaving = true;
    role.update(MemberView(withoutSelf), self);
    clock.advance(20s);
    CHECK(role.isRelay(RelayRole::Use::Serving));
    clock.advance(20s);
    CHECK(role.isRelay(RelayRole::Use::Coordinating));
    CHECK_FALSE(role.isRelay(RelayRole::Use::Serving));
    role.update(view, self);
    CHECK(isRelayAfter(500ms, clock, role));
    role.update(MemberView(withoutSelf), self);
    CHECK_FALSE(role.isRelay(RelayRole::Use::None));
}

TEST_CASE("a node to which no relay responds follows the tables itself")
{
    ManualClock clock;
    RelayRole role(clock);
    CHECK_FALSE(role.isRelay(RelayRole::Use::None));
    role.recordRelaysUnresponsive();
    CHECK(role.isRelay(RelayRole::Use::None));
}

TEST_CASE("nodes spread over the relays of their failure domain, and avoid one that is unresponsive or has lost the store")
{
    ManualClock clock;
    std::vector<Member> members = membersOf(300);
    const std::vector<SessionNumber> relays = relaysOf(MemberView(members));
    for (Member &member : members) {
        member.isRelay = std::ranges::find(relays, member.session) != relays.end();
    }
    const auto view = std::make_shared<const MemberView>(members);
    std::map<SessionNumber, std::size_t> requestCounts;
    for (const Member &member : members) {
        RelaySelector selector(clock);
        selector.update(view, member.session);
        const Member *const first = selector.select();
        REQUIRE(first != nullptr);
        if (!member.isRelay) {
            CHECK(first->failureDomain == member.failureDomain);
            ++requestCounts[first->session];
        }
        selector.recordUnresponsive(first->session);
        const Member *const second = selector.select();
        REQUIRE(second != nullptr);
        CHECK(second->session != first->session);
        CHECK_FALSE(selector.hasNoResponsiveRelay());
    }
    CHECK(requestCounts.size() == relays.size());
    for (const auto &[relay, count] : requestCounts) {
        CHECK(count <= membersPerRelay);
        CHECK(count >= 10);
    }
    for (Member &member : members) {
        member.hasLostStore = member.isRelay && member.failureDomain == members.front().failureDomain;
    }
    RelaySelector selector(clock);
    selector.update(std::make_shared<const MemberView>(members), members.front().session);
    CHECK_FALSE(selector.select()->hasLostStore);
}

// During an outage of the store all relays are outdated. If each node then followed the tables itself, all nodes would read all
// tables when the store recovers.
TEST_CASE("outdated relays are avoided as long as there are others, but still count as responsive")
{
    ManualClock clock;
    std::vector<Member> members = membersOf(3);
    members[1].isRelay = true;
    members[2].isRelay = true;
    RelaySelector selector(clock);
    selector.update(std::make_shared<const MemberView>(members), members.front().session);
    const SessionNumber first = selector.select()->session;
    selector.recordOutdated(first);
    const SessionNumber second = selector.select()->session;
    CHECK(second != first);
    selector.recordOutdated(second);
    REQUIRE(selector.select() != nullptr);
    CHECK_FALSE(selector.hasNoResponsiveRelay());
    selector.recordUnresponsive(first);
    REQUIRE(selector.select() != nullptr);
    CHECK(selector.select()->session == second);
}

TEST_CASE("a node whose relays are all unresponsive reports that, and tries them again later")
{
    ManualClock clock;
    std::vector<Member> members = membersOf(3);
    members[1].isRelay = true;
    RelaySelector selector(clock);
    selector.update(std::make_shared<const MemberView>(members), members.front().session);
    CHECK_FALSE(selector.hasNoResponsiveRelay());
    selector.recordUnresponsive(members[1].session);
    CHECK(selector.select() == nullptr);
    CHECK(selector.hasNoResponsiveRelay());
    clock.advance(6s);
    REQUIRE(selector.select() != nullptr);
    CHECK(selector.select()->session == members[1].session);
    CHECK_FALSE(selector.hasNoResponsiveRelay());
}

// A dispatcher that knows only a part of the replicas would fill these and leave the others idle.
TEST_CASE("if a failure domain needs relays, only they dispatch, and no node does before there is one")
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
