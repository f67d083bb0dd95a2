#include <LibBase/ManualClock.h>
#include <LibMembership/Membership.h>

#include <doctest/doctest.h>

#include <cstdlib>
#include <new>
#include <vector>

namespace
{

std::size_t allocationCount = 0;

} // namespace

void *operator new(std::size_t size)
{
    ++allocationCount;
    if (void *const memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

using namespace Dogwoodkeel;

namespace
{

Member memberOf(std::uint64_t number)
{
    Member member;
    member.session = SessionNumber(number);
    member.vm = VmName("vm-" + std::to_string(number));
    member.gossip = {"10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1), 7660};
    return member;
}

/** @return the number of memory allocations for receiving and answering a probe in an unchanging fleet of the given size */
std::size_t allocationsOfProbe(std::uint64_t memberCount)
{
    ManualClock clock;
    const auto ignore = [](const Address &, const auto &) {};
    Membership::Hooks hooks{.sendPing = ignore,
                            .sendPong = ignore,
                            .sendPingRequest = ignore,
                            .sendPull = ignore,
                            .sendPush = ignore,
                            .onChange = [](const MemberViewPointer &) {},
                            .onLeavingVms = [](const std::vector<VmName> &) {},
                            .onSessionLost = [] {}};
    Membership membership(clock, clock, {}, memberOf(1), 1, std::move(hooks));
    MembersPush push{SessionNumber(2), {}, {}};
    for (std::uint64_t number = 2; number <= memberCount; ++number) {
        push.members.push_back(memberOf(number));
    }
    membership.receive(memberOf(2).gossip, push);
    const Ping ping{SessionNumber(2), 1, {}};
    // By then all initial updates have been sent.
    for (int round = 0; round < 100; ++round) {
        membership.receive(memberOf(2).gossip, ping);
    }
    const std::size_t before = allocationCount;
    membership.receive(memberOf(2).gossip, ping);
    return allocationCount - before;
}

} // namespace

// Guards against collecting all members for each datagram, just to count them: a node of a large fleet would be busy with that
// alone.
TEST_CASE("the cost of a probe does not depend on the size of the fleet")
{
    const std::size_t small = allocationsOfProbe(30);
    CHECK(allocationsOfProbe(300) == small);
    CHECK(allocationsOfProbe(1000) == small);
    CHECK(allocationsOfProbe(2000) == small);
}
