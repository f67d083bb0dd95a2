#include <LibMembership/ViewStability.h>

#include <LibMembership/RoleAssignment.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Several gossip rounds, after which all nodes of a fleet that starts at once have the same view. */
constexpr std::chrono::milliseconds quietPeriod{200};
/** If nodes join and leave all the time, work starts after this time nevertheless. */
constexpr std::chrono::milliseconds maxWait{1000};

} // namespace

ViewStability::ViewStability(const Clock &clock) : clock(clock), changedAt(clock.now()), unstableSince(clock.now())
{
}

void ViewStability::update(const MemberView &view)
{
    std::set<SessionNumber> present;
    for (const Member &member : view.members()) {
        if (acceptsRoles(member)) {
            present.insert(member.session);
        }
    }
    if (present == this->sessions) {
        return;
    }
    const SteadyTime now = this->clock.now();
    this->unstableSince = now - this->changedAt >= quietPeriod ? now : this->unstableSince;
    this->changedAt = now;
    this->sessions = std::move(present);
}

bool ViewStability::isStable() const
{
    const SteadyTime now = this->clock.now();
    return now - this->changedAt >= quietPeriod || now - this->unstableSince >= maxWait;
}

} // namespace Dogwoodkeel
