#include <LibMembership/ViewStability.h>

#include <LibMembership/RoleAssignment.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Several gossip rounds: what one node knows of a common start, the others know by then. */
constexpr std::chrono::milliseconds quietTime{200};
/** Where nodes come and go all the time, work must not wait for them. */
constexpr std::chrono::milliseconds longestWait{1000};

} // namespace

ViewStability::ViewStability(const Clock &clock) : clock(clock), changed(clock.now()), unsettled(clock.now())
{
}

void ViewStability::update(const MemberView &view)
{
    std::set<SessionNumber> present;
    for (const Member &member : view.members()) {
        if (takesDuties(member)) {
            present.insert(member.session);
        }
    }
    if (present == this->sessions) {
        return;
    }
    const SteadyTime now = this->clock.now();
    this->unsettled = now - this->changed >= quietTime ? now : this->unsettled;
    this->changed = now;
    this->sessions = std::move(present);
}

bool ViewStability::isStable() const
{
    const SteadyTime now = this->clock.now();
    return now - this->changed >= quietTime || now - this->unsettled >= longestWait;
}

} // namespace Dogwoodkeel
