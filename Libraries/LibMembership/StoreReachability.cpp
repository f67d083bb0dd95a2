#include <LibMembership/StoreReachability.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/**
 * Time in which all members detect an outage or a recovery of the store: an unresponsive store counts as lost after 1.6 s, and
 * its return is checked every 0.4 s. The spread time of the update is added.
 */
constexpr std::chrono::milliseconds detectionTime{2000};

} // namespace

StoreReachability::StoreReachability(const Clock &clock) : clock(clock)
{
}

void StoreReachability::update(const MemberViewPointer &view)
{
    const SteadyTime now = this->clock.now();
    this->view = view;
    // If there are relays, only they follow the store and detect whether it responds.
    const bool hasRelays = std::ranges::any_of(view->members(), &Member::isRelay);
    const auto observers = std::ranges::count_if(view->members(), [hasRelays](const Member &member) {
        return member.isRelay || member.hasLostStore || !hasRelays;
    });
    std::map<SessionNumber, SteadyTime> lost;
    for (const Member &member : view->members()) {
        if (member.hasLostStore) {
            const auto before = this->lostSince.find(member.session);
            lost.emplace(member.session, before != this->lostSince.end() ? before->second : now);
        }
    }
    this->lostSince = std::move(lost);
    const bool hasMajority = this->lostSince.size() * 2 < static_cast<std::size_t>(observers);
    if (!hasMajority) {
        this->majoritySince.reset();
    } else if (!this->majoritySince) {
        this->majoritySince = now;
    }
    this->lastStableView.reset();
}

bool StoreReachability::isIneligible(const Member &member, SteadyTime now) const
{
    const std::chrono::milliseconds settlingTime = detectionTime + this->view->spreadTime();
    const auto since = this->lostSince.find(member.session);
    return since != this->lostSince.end() && this->majoritySince && now - since->second >= settlingTime
        && now - *this->majoritySince >= settlingTime;
}

MemberViewPointer StoreReachability::stableView()
{
    if (this->lostSince.empty()) {
        return this->view;
    }
    const SteadyTime now = this->clock.now();
    std::vector<Member> members = this->view->members();
    for (Member &member : members) {
        member.hasLostStore = this->isIneligible(member, now);
    }
    const bool isSame = this->lastStableView
        && std::ranges::equal(members, this->lastStableView->members(), {}, &Member::hasLostStore, &Member::hasLostStore);
    if (!isSame) {
        this->lastStableView
            = std::make_shared<const MemberView>(std::move(members), this->view->isMinority(), this->view->spreadTime());
    }
    return this->lastStableView;
}

} // namespace Dogwoodkeel
