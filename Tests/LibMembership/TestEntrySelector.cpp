#include <LibMembership/EntryPressure.h>
#include <LibMembership/EntrySelector.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

constexpr WallTime now{std::chrono::hours(1000)};
constexpr std::chrono::milliseconds rampUp{30000};

/** Nodes 1 to count in three failure domains, all of them fit and past their ramp-up. */
std::vector<Member> makeMembers(std::uint16_t count)
{
    std::vector<Member> members;
    for (std::uint16_t number = 1; number <= count; ++number) {
        Member &member = members.emplace_back();
        member.session = SessionNumber(number);
        member.http = {"10.0.0.1", number};
        member.failureDomain = FailureDomain("domain-" + std::to_string(number % 3));
        member.isReady = true;
        member.started = now - std::chrono::hours(1);
    }
    return members;
}

std::vector<EntryAddress> selectFor(const std::vector<Member> &members, const std::string &caller, std::size_t count)
{
    return EntrySelector(rampUp).select(MemberView(members), {caller, FailureDomain("domain-0"), count}, now);
}

/** @return for how many of 3000 callers each node is the first address */
std::map<std::uint16_t, int> firstSelections(const std::vector<Member> &members)
{
    std::map<std::uint16_t, int> selections;
    for (int caller = 0; caller < 3000; ++caller) {
        ++selections[selectFor(members, "counter-" + std::to_string(caller), 2).front().address.port];
    }
    return selections;
}

} // namespace

TEST_CASE("near nodes come first, but the addresses are never all in one failure domain")
{
    // If all addresses were in one failure domain and that domain failed, a caller would have no usable address until the time to
    // live of the answer has passed.
    for (int caller = 0; caller < 50; ++caller) {
        for (std::size_t count = 2; count <= 5; ++count) {
            const auto answer = selectFor(makeMembers(11), "counter-" + std::to_string(caller), count);
            REQUIRE(answer.size() == count);
            CHECK(answer.front().failureDomain == FailureDomain("domain-0"));
            const bool isMixed = std::ranges::any_of(answer, [](const EntryAddress &each) {
                return each.failureDomain != FailureDomain("domain-0");
            });
            CHECK(isMixed);
        }
    }
}

TEST_CASE("leaving, unready and overloaded nodes are omitted as long as there are others")
{
    std::vector<Member> members = makeMembers(6);
    members[0].state = MemberState::Leaving;
    members[1].isReady = false;
    members[2].pressure = 100;
    members[3].state = MemberState::Suspect;
    const auto answer = selectFor(members, "counter-1", 6);
    REQUIRE(answer.size() == 2);
    CHECK(answer[0].address.port == 6);
    CHECK(answer[1].address.port == 5);
    members[4].pressure = 100;
    members[5].pressure = 100;
    CHECK(selectFor(members, "counter-1", 6).size() == 3);
    for (Member &member : members) {
        member.state = MemberState::Leaving;
    }
    CHECK(selectFor(members, "counter-1", 2).size() == 2);
}

TEST_CASE("callers are spread, keep their node if another one leaves, and move to a new node gradually")
{
    std::vector<Member> members = makeMembers(12);
    const auto all = firstSelections(members);
    CHECK(all.size() == 4);
    for (const auto &[port, count] : all) {
        CHECK(count > 600);
        CHECK(count < 900);
    }
    for (int caller = 0; caller < 300; ++caller) {
        const std::string name = "counter-" + std::to_string(caller);
        const EntryAddress before = selectFor(members, name, 2).front();
        std::vector<Member> fewer = members;
        std::erase_if(fewer, [](const Member &member) {
            return member.session == SessionNumber(3);
        });
        CHECK((before.address.port == 3 || selectFor(fewer, name, 2).front() == before));
    }
    members[2].started = now;
    const int ofNewNode = firstSelections(members)[3];
    CHECK(ofNewNode > 100);
    CHECK(ofNewNode < 300);
    members[2].started = now - rampUp;
    CHECK(firstSelections(members) == all);
}

TEST_CASE("an entry is overloaded if several messages in a row are delayed, and recovers slowly")
{
    EntryPressure pressure;
    for (int i = 0; i < 4; ++i) {
        CHECK(pressure.observe(80ms) == 0);
    }
    CHECK(pressure.observe(1ms) == 0);
    for (int i = 0; i < 5; ++i) {
        pressure.observe(80ms);
    }
    CHECK(pressure.observe(20ms) == 100);
    for (int i = 0; i < 19; ++i) {
        CHECK(pressure.observe(1ms) == 100);
    }
    CHECK(pressure.observe(1ms) == 0);
}
