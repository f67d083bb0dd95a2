#include <LibMembership/JournalHolders.h>
#include <LibMembership/MemberView.h>

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

using namespace Dogwoodkeel;

namespace
{

std::vector<Member> fleet(std::size_t nodes, std::size_t domains)
{
    std::vector<Member> members(nodes);
    for (std::size_t i = 0; i < nodes; ++i) {
        members[i].session = SessionNumber(i + 1);
        members[i].failureDomain = FailureDomain("domain-" + std::to_string(i % domains));
    }
    return members;
}

std::set<SessionNumber> journalHolders(const std::vector<Member> &members, std::size_t maxHolders)
{
    std::set<SessionNumber> sessions;
    for (const std::size_t index : selectJournalHolders(members, maxHolders)) {
        sessions.insert(members[index].session);
    }
    return sessions;
}

} // namespace

TEST_CASE("journals are spread over the failure domains")
{
    const std::vector<Member> members = fleet(390, 7);
    std::map<FailureDomain, int> perDomain;
    for (const std::size_t index : selectJournalHolders(members, 28)) {
        ++perDomain[members[index].failureDomain];
    }
    REQUIRE(perDomain.size() == 7);
    for (const auto &[domain, count] : perDomain) {
        CHECK(count == 4);
    }
    CHECK(selectJournalHolders(fleet(11, 3), 28).empty());
}

TEST_CASE("a member that joins replaces no journal holder, and one that is lost is replaced by one other")
{
    std::vector<Member> members = fleet(390, 7);
    const std::set<SessionNumber> before = journalHolders(members, 28);
    members.push_back(members.front());
    members.back().session = SessionNumber(1000);
    CHECK(journalHolders(members, 28) == before);
    members.erase(members.begin());
    const std::set<SessionNumber> after = journalHolders(members, 28);
    std::size_t stayed = 0;
    for (const SessionNumber session : after) {
        stayed += before.contains(session) ? 1 : 0;
    }
    CHECK(after.size() == 28);
    CHECK(stayed == 27);
}

TEST_CASE("only members that hold a journal own shards, and a leaving one does not")
{
    std::vector<Member> members = fleet(60, 3);
    members[0].state = MemberState::Leaving;
    const MemberView all(members);
    const MemberViewPointer view = all.withJournalLimit(6);
    CHECK(view->journalCount() == 6);
    std::set<SessionNumber> owners;
    for (std::uint32_t shard = 0; shard < 1000; ++shard) {
        owners.insert(view->ownerOf(ShardNumber(shard))->session);
    }
    CHECK(owners == journalHolders(members, 6));
    CHECK_FALSE(owners.contains(members[0].session));
}
