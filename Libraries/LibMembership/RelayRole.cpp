#include <LibMembership/RelayRole.h>

#include <LibMembership/RelayAssignment.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Several gossip rounds, after which a node that starts together with many others knows enough of them. */
constexpr std::chrono::milliseconds startDelay{400};
/** By then all nodes have a view that selects another relay, and that relay has read the tables. */
constexpr std::chrono::seconds stopDelay{30};

} // namespace

RelayRole::RelayRole(const Clock &clock) : clock(clock), since(clock.now())
{
}

void RelayRole::update(const MemberView &view, SessionNumber self)
{
    const bool isSelectedNow = shouldRelay(view, self);
    if (std::exchange(this->isSelected, isSelectedNow) != isSelectedNow) {
        this->since = this->clock.now();
    }
}

void RelayRole::recordRelaysUnresponsive()
{
    this->relaysUnresponsiveAt = this->clock.now();
}

bool RelayRole::isRelay(Use use)
{
    const SteadyTime now = this->clock.now();
    const bool hasNoResponsiveRelay = this->relaysUnresponsiveAt && now - *this->relaysUnresponsiveAt < stopDelay;
    if (hasNoResponsiveRelay || (this->isSelected && now - this->since >= startDelay)) {
        this->isActive = true;
    } else if (!this->isSelected && (use == Use::None || (use == Use::Serving && now - this->since >= stopDelay))) {
        this->isActive = false;
    }
    return this->isActive;
}

} // namespace Dogwoodkeel
