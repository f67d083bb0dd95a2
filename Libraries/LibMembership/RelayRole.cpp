#include <LibMembership/RelayRole.h>

#include <LibMembership/RelayAssignment.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Several gossip rounds, after which a node that starts together with many others knows enough of them. */
constexpr std::chrono::milliseconds startDelay{400};
/**
 * The delay of a node that knows no other of its domain, and the longest delay of one that keeps learning of others. If the first
 * calls to the store fail, the node is announced after 0.5 s and reads the table of nodes after 1 s.
 */
constexpr std::chrono::milliseconds maxStartDelay{1500};
/**
 * Of a longer time between two checks, only this counts: several times the interval of the checks. A node that is held up for
 * longer than the whole delay while it starts would otherwise become a relay before it reads its first datagram.
 */
constexpr std::chrono::milliseconds maxCountedStep{100};
/** By then all nodes have a view that selects another relay, and that relay has read the tables. */
constexpr std::chrono::seconds stopDelay{30};
/** The delay if the other relays have read the tables already: the time in which their reports reach all nodes. */
constexpr std::chrono::seconds replacedStopDelay{3};

} // namespace

RelayRole::RelayRole(const Clock &clock) : clock(clock), since(clock.now()), countedUntil(clock.now())
{
}

void RelayRole::update(const MemberView &view, SessionNumber self)
{
    const SteadyTime now = this->clock.now();
    const bool isSelectedNow = shouldRelay(view, self);
    if (std::exchange(this->isSelected, isSelectedNow) != isSelectedNow) {
        this->since = now;
        this->countedUntil = now;
        this->selectedFor = std::chrono::nanoseconds(0);
        this->settledFor = std::chrono::nanoseconds(0);
    }
    const std::size_t membersNow = domainSize(view, self);
    if (std::exchange(this->domainMembers, membersNow) < membersNow) {
        this->settledFor = std::chrono::nanoseconds(0);
    }
    if (isSelectedNow || !this->isActive || !hasEnoughServingRelays(view, self)) {
        this->replacedSince.reset();
    } else {
        this->replacedSince = this->replacedSince.value_or(now);
    }
}

void RelayRole::recordRelaysUnresponsive()
{
    this->relaysUnresponsiveAt = this->clock.now();
}

void RelayRole::countTime()
{
    const SteadyTime now = this->clock.now();
    const std::chrono::nanoseconds step = std::min<std::chrono::nanoseconds>(now - this->countedUntil, maxCountedStep);
    this->countedUntil = now;
    this->selectedFor += step;
    this->settledFor += step;
}

bool RelayRole::isStartDue() const
{
    const bool isSettled = this->domainMembers > 1 && this->settledFor >= startDelay;
    return this->isSelected && (isSettled || this->selectedFor >= maxStartDelay);
}

bool RelayRole::isStopDue(Use use) const
{
    if (this->isSelected || use == Use::Coordinating) {
        return false;
    }
    const SteadyTime now = this->clock.now();
    const bool isReplaced = this->replacedSince && now - *this->replacedSince >= replacedStopDelay;
    return use == Use::None || isReplaced || now - this->since >= stopDelay;
}

bool RelayRole::isRelay(Use use)
{
    this->countTime();
    const SteadyTime now = this->clock.now();
    const bool hasNoResponsiveRelay = this->relaysUnresponsiveAt && now - *this->relaysUnresponsiveAt < stopDelay;
    if (hasNoResponsiveRelay || this->isStartDue()) {
        this->isActive = true;
    } else if (this->isStopDue(use)) {
        this->isActive = false;
    }
    return this->isActive;
}

} // namespace Dogwoodkeel
