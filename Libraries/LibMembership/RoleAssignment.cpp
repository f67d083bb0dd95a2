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

/** @return the largest processor among the members that take callers; 0 if there are none. */
std::uint32_t largestShare(const MemberView &view)
{
    std::uint32_t largest = 0;
    for (const Member &member : view.members()) {
        largest = std::max(largest, takesDuties(member) ? member.processorShare : 0);
    }
    return largest;
}

bool hasEnoughProcessor(const Member &member, std::uint32_t largest)
{
    return member.processorShare * 2 >= largest;
}

/** @return whether any failure domain has so many members that only its relays follow the tables. */
bool needsRelays(const MemberView &view)
{
    std::map<FailureDomain, std::size_t> counts;
    return std::ranges::any_of(view.members(), [&counts](const Member &member) {
        return ++counts[member.failureDomain] > membersWithoutRelays;
    });
}

bool isAnyRelay(const MemberView &view)
{
    return std::ranges::any_of(view.members(), [](const Member &member) {
        return member.isRelay && takesDuties(member);
    });
}

/** @return whether a duty that needs relays is one for relays only, in this view. */
bool isForRelaysOnly(const MemberView &view)
{
    return isAnyRelay(view) || needsRelays(view);
}

} // namespace

bool takesDuties(const Member &member)
{
    return member.isReady && !member.isLeaving;
}

bool hasEnoughProcessor(const MemberView &view, const Member &member)
{
    return hasEnoughProcessor(member, largestShare(view));
}

bool mayKeepDuty(const MemberView &view, const Member &member)
{
    const bool isEligible = member.isRelay || !isForRelaysOnly(view);
    return isEligible && takesDuties(member) && !member.hasLostStore && hasEnoughProcessor(view, member);
}

const Member *coordinatorFor(const MemberView &view, std::uint64_t key, RoleCandidates who, const std::set<SessionNumber> &except)
{
    const std::uint32_t largest = largestShare(view);
    const bool isForRelays = who == RoleCandidates::Relays && isForRelaysOnly(view);
    const Member *holder = nullptr;
    std::pair<bool, std::uint64_t> best;
    for (const Member &member : view.members()) {
        const bool isEligible = member.isRelay || !isForRelays;
        if (!isEligible || !takesDuties(member) || !hasEnoughProcessor(member, largest) || except.contains(member.session)) {
            continue;
        }
        const std::pair weight(!member.hasLostStore, rendezvousWeight(key, member.session.value()));
        if (holder == nullptr || weight > best) {
            holder = &member;
            best = weight;
        }
    }
    return holder;
}

bool hasRole(const MemberView &view, SessionNumber session, std::uint64_t key, RoleCandidates who)
{
    const Member *const holder = coordinatorFor(view, key, who);
    return holder != nullptr && holder->session == session;
}

} // namespace Dogwoodkeel
