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

/** @return how often memory is allocated to take a probe and answer it, as one of so many members that stand still */
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
    // What the node has to tell of itself at first is told by then.
    for (int told = 0; told < 100; ++told) {
        membership.receive(memberOf(2).gossip, ping);
    }
    const std::size_t before = allocationCount;
    membership.receive(memberOf(2).gossip, ping);
    return allocationCount - before;
}

} // namespace

// Each datagram of a member asks how many members there are: collected each time, a node of a large fleet is busy with nothing
// else.
TEST_CASE("a probe costs the same in a fleet of any size")
{
    const std::size_t small = allocationsOfProbe(30);
    CHECK(allocationsOfProbe(300) == small);
    CHECK(allocationsOfProbe(1000) == small);
    CHECK(allocationsOfProbe(2000) == small);
}
