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

/** @return a table built from the current state of the present members only. */
MemberTable rebuilt(const MemberTable &table, SteadyTime now)
{
    MemberTable other(table.own(), now);
    for (const Member *const member : table.others()) {
        other.merge(*member, now);
    }
    return other;
}

} // namespace

// The digests and the count are used with each datagram, so they are maintained incrementally: computing them each time would
// cost time in proportion to the number of members.
TEST_CASE("the incrementally maintained digests and count match a table built from scratch")
{
    ManualClock clock;
    std::mt19937_64 random(11);
    MemberTable table(memberOf(1), clock.now());
    const auto below = [&random](std::uint64_t bound) {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
    };
    for (int step = 0; step < 3000; ++step) {
        const std::uint64_t number = 2 + below(40);
        MemberUpdate memberUpdate = updateOf(memberOf(number));
        memberUpdate.incarnation = below(6);
        memberUpdate.state = static_cast<MemberState>(below(5));
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
            table.merge(memberUpdate, clock.now());
            break;
        }
        clock.advance(std::chrono::milliseconds(20));
        REQUIRE(table.otherCount() == table.others().size());
        REQUIRE(table.digests() == rebuilt(table, clock.now()).digests());
    }
}
