#include <LibBase/ManualClock.h>
#include <LibMembership/MemberTable.h>

#include <doctest/doctest.h>

#include <random>

using namespace Dogwoodkeel;

namespace
{

Member memberOf(std::uint64_t number)
{
    Member member;
    member.session = SessionNumber(number);
    member.vm = VmName("vm-" + std::to_string(number));
    return member;
}

/** @return a table that was told of the present members alone, by the last word of each. */
MemberTable retold(const MemberTable &table, SteadyTime now)
{
    MemberTable other(table.own(), now);
    for (const Member *const member : table.others()) {
        other.merge(*member, now);
    }
    return other;
}

} // namespace

// The digest and the count are asked for with each datagram: looked up anew each time, they would cost as much as there are
// members.
TEST_CASE("what is kept of all members with each change is what a look at all of them finds")
{
    ManualClock clock;
    std::mt19937_64 random(11);
    MemberTable table(memberOf(1), clock.now());
    const auto below = [&random](std::uint64_t bound) {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
    };
    for (int step = 0; step < 3000; ++step) {
        const std::uint64_t number = 2 + below(40);
        MemberNews news = updateOf(memberOf(number));
        news.incarnation = below(6);
        news.state = static_cast<MemberState>(below(5));
        switch (below(5)) {
        case 0:
            table.merge(memberOf(number), clock.now());
            break;
        case 1:
            ++table.own().incarnation;
            table.ownChanged();
            break;
        case 2:
            table.renameOwn(SessionNumber(1 + below(60)));
            break;
        case 3:
            table.forget(clock.now() - std::chrono::seconds(2));
            break;
        default:
            table.merge(news, clock.now());
            break;
        }
        clock.advance(std::chrono::milliseconds(20));
        REQUIRE(table.otherCount() == table.others().size());
        REQUIRE(table.digests() == retold(table, clock.now()).digests());
    }
}
