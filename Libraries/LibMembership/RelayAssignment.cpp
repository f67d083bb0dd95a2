#include <LibMembership/RelayAssignment.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::uint64_t relaySeed = 3;

auto rankOf(const Member &member)
{
    return std::pair(!member.hasLostStore, rendezvousWeight(relaySeed, member.session.value()));
}

} // namespace

std::size_t relaysFor(std::size_t membersOfDomain)
{
    if (membersOfDomain <= maxMembersWithoutRelays) {
        return membersOfDomain;
    }
    return std::max(minRelays, (membersOfDomain + membersPerRelay - 1) / membersPerRelay);
}

bool shouldRelay(const MemberView &view, SessionNumber session)
{
    const Member *const own = view.find(session);
    if (own == nullptr || own->isLeaving) {
        return false;
    }
    std::size_t count = 0;
    std::uint32_t largest = 0;
    for (const Member &member : view.members()) {
        if (member.failureDomain == own->failureDomain && !member.isLeaving) {
            ++count;
            largest = std::max(largest, member.processorShare);
        }
    }
    if (count <= maxMembersWithoutRelays) {
        return true;
    }
    const auto isCandidate = [own, largest](const Member &member) {
        return member.failureDomain == own->failureDomain && !member.isLeaving && member.processorShare * 2 >= largest;
    };
    const auto better = std::ranges::count_if(view.members(), [own, &isCandidate](const Member &member) {
        return isCandidate(member) && rankOf(member) > rankOf(*own);
    });
    return isCandidate(*own) && static_cast<std::size_t>(better) < relaysFor(count);
}

std::size_t domainSize(const MemberView &view, SessionNumber session)
{
    const Member *const own = view.find(session);
    if (own == nullptr) {
        return 0;
    }
    return static_cast<std::size_t>(std::ranges::count_if(view.members(), [own](const Member &member) {
        return member.failureDomain == own->failureDomain && !member.isLeaving;
    }));
}

bool hasEnoughServingRelays(const MemberView &view, SessionNumber session)
{
    const Member *const own = view.find(session);
    if (own == nullptr) {
        return false;
    }
    const auto serving = std::ranges::count_if(view.members(), [&view, own](const Member &member) {
        const bool isOther = member.session != own->session && member.failureDomain == own->failureDomain;
        return isOther && member.isRelay && shouldRelay(view, member.session);
    });
    return static_cast<std::size_t>(serving) >= relaysFor(domainSize(view, session));
}

} // namespace Dogwoodkeel
