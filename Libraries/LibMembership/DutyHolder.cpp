#include <LibMembership/DutyHolder.h>

#include <LibBase/Hash.h>

#include <algorithm>
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

bool isLargeEnough(const Member &member, std::uint32_t largest)
{
    return member.processorShare * 2 >= largest;
}

} // namespace

bool takesDuties(const Member &member)
{
    return member.isReady && !member.isLeaving;
}

bool mayKeepDuty(const MemberView &view, const Member &member)
{
    return takesDuties(member) && !member.hasLostStore && isLargeEnough(member, largestShare(view));
}

const Member *dutyHolder(const MemberView &view, std::uint64_t key, std::optional<SessionNumber> except)
{
    const std::uint32_t largest = largestShare(view);
    const Member *holder = nullptr;
    std::pair<bool, std::uint64_t> best;
    for (const Member &member : view.members()) {
        if (!takesDuties(member) || !isLargeEnough(member, largest) || member.session == except) {
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

bool hasDuty(const MemberView &view, SessionNumber session, std::uint64_t key)
{
    const Member *const holder = dutyHolder(view, key);
    return holder != nullptr && holder->session == session;
}

} // namespace Dogwoodkeel
