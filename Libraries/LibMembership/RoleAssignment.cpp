#include <LibMembership/RoleAssignment.h>

#include <LibBase/Hash.h>
#include <LibMembership/RelayAssignment.h>

#include <algorithm>
#include <map>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** @return the largest processor share among the members that accept roles; 0 if there are none. */
std::uint32_t largestProcessorShare(const MemberView &view)
{
    std::uint32_t largest = 0;
    for (const Member &member : view.members()) {
        largest = std::max(largest, acceptsRoles(member) ? member.processorShare : 0);
    }
    return largest;
}

bool hasEnoughProcessor(const Member &member, std::uint32_t largest)
{
    return member.processorShare * 2 >= largest;
}

/** @return whether any failure domain has more members than may follow the tables without relays. */
bool needsRelays(const MemberView &view)
{
    std::map<FailureDomain, std::size_t> counts;
    return std::ranges::any_of(view.members(), [&counts](const Member &member) {
        return ++counts[member.failureDomain] > maxMembersWithoutRelays;
    });
}

bool hasRelay(const MemberView &view)
{
    return std::ranges::any_of(view.members(), [](const Member &member) {
        return member.isRelay && acceptsRoles(member);
    });
}

/** @return whether roles with RoleCandidates::Relays are restricted to relays in this view. */
bool isRestrictedToRelays(const MemberView &view)
{
    return hasRelay(view) || needsRelays(view);
}

} // namespace

bool acceptsRoles(const Member &member)
{
    return member.isReady && !member.isLeaving;
}

bool hasEnoughProcessor(const MemberView &view, const Member &member)
{
    return hasEnoughProcessor(member, largestProcessorShare(view));
}

bool mayKeepRole(const MemberView &view, const Member &member)
{
    const bool isEligible = member.isRelay || !isRestrictedToRelays(view);
    return isEligible && acceptsRoles(member) && !member.hasLostStore && hasEnoughProcessor(view, member);
}

const Member *
coordinatorFor(const MemberView &view, std::uint64_t key, RoleCandidates candidates, const std::set<SessionNumber> &except)
{
    const std::uint32_t largest = largestProcessorShare(view);
    const bool isRelayOnly = candidates == RoleCandidates::Relays && isRestrictedToRelays(view);
    const Member *coordinator = nullptr;
    std::pair<bool, std::uint64_t> bestWeight;
    for (const Member &member : view.members()) {
        const bool isEligible = member.isRelay || !isRelayOnly;
        if (!isEligible || !acceptsRoles(member) || !hasEnoughProcessor(member, largest) || except.contains(member.session)) {
            continue;
        }
        const std::pair weight(!member.hasLostStore, rendezvousWeight(key, member.session.value()));
        if (coordinator == nullptr || weight > bestWeight) {
            coordinator = &member;
            bestWeight = weight;
        }
    }
    return coordinator;
}

bool hasRole(const MemberView &view, SessionNumber session, std::uint64_t key, RoleCandidates candidates)
{
    const Member *const coordinator = coordinatorFor(view, key, candidates);
    return coordinator != nullptr && coordinator->session == session;
}

} // namespace Dogwoodkeel
