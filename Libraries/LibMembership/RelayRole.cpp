#include <LibMembership/RelayRole.h>

#include <LibMembership/RelayAssignment.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Several rounds of gossip: a node that starts among many others has met enough of them by then. */
constexpr std::chrono::milliseconds beginAfter{400};
/** Until then all nodes have the view by which another one is chosen, and it has read the tables. */
constexpr std::chrono::seconds endAfter{30};

} // namespace

RelayRole::RelayRole(const Clock &clock) : clock(clock), since(clock.now())
{
}

void RelayRole::update(const MemberView &view, SessionNumber self)
{
    const bool isChosenNow = shouldRelay(view, self);
    if (std::exchange(this->isChosen, isChosenNow) != isChosenNow) {
        this->since = this->clock.now();
    }
}

void RelayRole::recordRelaysUnresponsive()
{
    this->alone = this->clock.now();
}

bool RelayRole::isRelay(Use use)
{
    const SteadyTime now = this->clock.now();
    const bool isAlone = this->alone && now - *this->alone < endAfter;
    if (isAlone || (this->isChosen && now - this->since >= beginAfter)) {
        this->isActive = true;
    } else if (!this->isChosen && (use == Use::None || (use == Use::Serving && now - this->since >= endAfter))) {
        this->isActive = false;
    }
    return this->isActive;
}

} // namespace Dogwoodkeel
