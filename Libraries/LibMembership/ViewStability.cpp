#include <LibMembership/ViewStability.h>

#include <LibMembership/RoleAssignment.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Several gossip rounds: what one node knows of a common start, the others know by then. */
constexpr std::chrono::milliseconds quietPeriod{200};
/** Where nodes come and go all the time, work must not wait for them. */
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
