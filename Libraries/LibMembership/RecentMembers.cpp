#include <LibMembership/RecentMembers.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** A member that is lost for longer is assumed to have ended, so that the remaining ones count as the whole fleet. */
constexpr std::chrono::seconds lostRetained{30};

bool isExpired(SteadyTime since, SteadyTime now)
{
    return now - since > lostRetained;
}

} // namespace

RecentMembers::RecentMembers(const Clock &clock) : clock(clock)
{
}

void RecentMembers::update(const MemberView &view, SessionNumber self)
{
    const std::map<std::string, Known> before = std::exchange(this->present, {});
    for (const Member &member : view.members()) {
        this->lost.erase(member.vm.value());
        if (member.session != self) {
            this->present.insert_or_assign(member.vm.value(), Known{member.gossip, member.isLeaving});
        }
    }
    const SteadyTime now = this->clock.now();
    for (const auto &[vm, known] : before) {
        if (!known.isLeaving && !this->present.contains(vm)) {
            this->lost.try_emplace(vm, Lost{known.gossip, now});
        }
    }
    std::erase_if(this->lost, [now](const auto &entry) {
        return isExpired(entry.second.since, now);
    });
}

std::vector<Address> RecentMembers::others() const
{
    std::vector<Address> others;
    for (const auto &[vm, known] : this->present) {
        if (!known.isLeaving) {
            others.push_back(known.gossip);
        }
    }
    const SteadyTime now = this->clock.now();
    for (const auto &[vm, lost] : this->lost) {
        if (!isExpired(lost.since, now)) {
            others.push_back(lost.gossip);
        }
    }
    return others;
}

} // namespace Dogwoodkeel
