#include <LibMembership/CoordinatorElection.h>

#include <LibBase/Hash.h>
#include <LibMembership/RoleAssignment.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/**
 * A node that has just started hears of the holder's claim before it hears of the holder. Were it to take the holder for dead, it
 * would claim what somebody has. In this time, several rounds of gossip, it meets all members.
 */
constexpr std::chrono::milliseconds unknownTimeout{3000};
/**
 * A node that has just started asks others who has the duty. Only if nobody tells in this time, a dozen round trips between VMs
 * that have little processor, was it not claimed since all nodes started.
 */
constexpr std::chrono::milliseconds askTimeout{500};

/**
 * A node that was cut off for some seconds, and is back, still takes many members for dead that it has just suspected, the holder
 * maybe among them. Who has lost sight of more than this part (one in so many) of the members lately claims nothing: it would
 * take the duty from a holder that all others see. In a fleet of some hundred, so many die at once only with the whole fleet.
 */
constexpr std::size_t lostPart = 8;
/** In this time the members that were lost by mistake are most likely heard again. */
constexpr std::chrono::milliseconds recentTime{5000};

/** One node that gets no answer may itself be the one that is cut off; so many others at once are not. */
constexpr std::size_t enoughAccusers = 3;
/** A suspicion is as old as this at most: a node asks its dispatcher several times in this time. */
constexpr std::chrono::milliseconds suspicionRetained{1000};
/**
 * A holder that gives no sign of life for so long is silent. Longer than a VM whose share of the processor is used up stands
 * still, and several times as long as a datagram travels; a tenth of what the membership needs to be sure.
 */
constexpr std::chrono::milliseconds silenceTimeout{250};

/**
 * A holder that is not among the members any more keeps the duty for so long unless it is silent: a node that was cut off and is
 * back tells others of deaths that were none, and each who hears of one would turn to somebody else until it is refuted.
 */
constexpr std::chrono::milliseconds missingKept{3000};

/** Several rounds of gossip: by then all have heard why a member gave the duty up. */
constexpr std::chrono::milliseconds givenUpRetained{3000};

auto rankOf(const DutyClaim &claim)
{
    return std::tuple(claim.term, claim.holder);
}

} // namespace

CoordinatorElection::CoordinatorElection(const Clock &clock, std::string duty)
    : clock(clock)
    , duty(std::move(duty))
    , key(stableHash(this->duty))
    , members(std::make_shared<const MemberView>(std::vector<Member>()))
    , settled(this->members)
{
}

void CoordinatorElection::setView(SessionNumber self, const MemberViewPointer &members, const MemberViewPointer &settled)
{
    this->self = self;
    if (!this->metOthers && members->members().size() > 1) {
        this->metOthers = this->clock.now();
    }
    const SteadyTime now = this->clock.now();
    if (members->members().size() >= this->mostMembers || now - this->mostSeen > recentTime) {
        this->mostMembers = members->members().size();
        this->mostSeen = now;
    }
    this->members = members;
    this->settled = settled;
    this->choose();
}

bool CoordinatorElection::hasLostMany() const
{
    const std::size_t lost = this->mostMembers - std::min(this->mostMembers, this->members->members().size());
    const bool isRecent = this->clock.now() - this->mostSeen <= recentTime;
    return this->members->isMinority() || (isRecent && lost > 1 && lost * lostPart > this->mostMembers);
}

CoordinatorElection::ReceiveOutcome CoordinatorElection::receive(const DutyClaim &claim)
{
    if (!this->current && claim == this->claimQuery()) {
        return ReceiveOutcome::Known;
    }
    if (this->current && rankOf(claim) == rankOf(*this->current)) {
        return ReceiveOutcome::Known;
    }
    if (this->current && rankOf(claim) < rankOf(*this->current)) {
        return ReceiveOutcome::Outdated;
    }
    this->noteGivenUp(claim);
    this->current = claim;
    this->receivedAt = this->clock.now();
    this->seenHolder.reset();
    this->holderMissed.reset();
    this->recordCoordinatorAlive();
    this->choose();
    return ReceiveOutcome::Accepted;
}

const Member *CoordinatorElection::coordinator() const
{
    return this->chosen;
}

const std::optional<DutyClaim> &CoordinatorElection::claim() const
{
    return this->current;
}

bool CoordinatorElection::isQuerying() const
{
    return !this->current && this->metOthers;
}

DutyClaim CoordinatorElection::claimQuery() const
{
    return {this->duty, 0, SessionNumber()};
}

const Member *CoordinatorElection::successor() const
{
    std::set<SessionNumber> except = this->unableMembers();
    if (this->chosen != nullptr) {
        except.insert(this->chosen->session);
    }
    return coordinatorFor(*this->members, this->key, RoleCandidates::Relays, except);
}

void CoordinatorElection::receiveSuspicion(const DutySuspicion &suspicion)
{
    if (!this->current || this->current->holder != suspicion.holder || suspicion.holder == this->self) {
        return;
    }
    const SteadyTime now = this->clock.now();
    this->accusers.insert_or_assign(suspicion.from, now);
    std::erase_if(this->accusers, [now](const auto &accuser) {
        return now - accuser.second > suspicionRetained;
    });
    if (this->hasEnoughAccusers()) {
        this->suspected = this->suspected.value_or(now);
    }
}

bool CoordinatorElection::hasEnoughAccusers() const
{
    // In a fleet of a few, all but this node and the holder.
    const std::size_t others = std::max<std::size_t>(this->members->members().size(), 3) - 2;
    return this->accusers.size() >= std::min(enoughAccusers, others);
}

void CoordinatorElection::recordCoordinatorAlive()
{
    this->accusers.clear();
    this->suspected.reset();
    if (this->holderMissed) {
        this->holderMissed = this->clock.now();
    }
}

const Member *CoordinatorElection::suspectedCoordinator() const
{
    return this->suspected && !this->isSilent() ? this->chosen : nullptr;
}

bool CoordinatorElection::isSilent() const
{
    return this->suspected && this->clock.now() - *this->suspected >= silenceTimeout;
}

std::optional<DutyClaim> CoordinatorElection::makeClaim()
{
    if (this->suspected || this->holderMissed) {
        this->choose();
    }
    if (this->chosen == nullptr) {
        return std::nullopt;
    }
    const SessionNumber next = this->chosen->session;
    const bool isClaimed = this->current && this->current->holder == next;
    const bool isOurs = next == this->self;
    const bool isGivenUp = this->current && this->current->holder == this->self;
    // Who is told by several others that they miss the holder as well is not the one that is cut off.
    const bool isConfirmed = this->isSilent() && this->hasEnoughAccusers();
    const bool isSure = isConfirmed || (!this->hasLostMany() && !this->isNew() && !this->isHolderUnknown());
    if (isClaimed || !(isGivenUp || (isOurs && isSure))) {
        return std::nullopt;
    }
    const std::uint64_t term = this->current ? this->current->term + 1 : 1;
    this->receive(DutyClaim{this->duty, term, next});
    return this->current;
}

bool CoordinatorElection::isNew() const
{
    return !this->current && (!this->metOthers || this->clock.now() - *this->metOthers < askTimeout);
}

bool CoordinatorElection::isHolderUnknown() const
{
    return this->current && !this->seenHolder && this->clock.now() - this->receivedAt < unknownTimeout;
}

bool CoordinatorElection::mayKeep(const Member &claimed) const
{
    // Nodes hear at different moments that the holder takes callers, or has lost the store. It knows first, and names its
    // successor to all when it can't go on. Were the others to judge as well, each claim would be answered by those of whom it is
    // news.
    return claimed.session == this->self ? mayKeepDuty(*this->settled, claimed) : !claimed.isLeaving;
}

const Member *CoordinatorElection::findClaimed()
{
    if (!this->current) {
        return nullptr;
    }
    if (const Member *const claimed = this->settled->find(this->current->holder)) {
        this->seenHolder = *claimed;
        this->holderMissed.reset();
        return claimed;
    }
    if (!this->seenHolder) {
        return nullptr;
    }
    const SteadyTime now = this->clock.now();
    this->holderMissed = this->holderMissed.value_or(now);
    if (now - *this->holderMissed > missingKept) {
        return nullptr;
    }
    this->suspected = this->suspected.value_or(now);
    return &*this->seenHolder;
}

void CoordinatorElection::choose()
{
    const Member *const claimed = this->findClaimed();
    if (claimed != nullptr && this->mayKeep(*claimed) && !this->isSilent()) {
        this->chosen = claimed;
        return;
    }
    // A successor must reach the store now; whether it lost it for long does not matter yet.
    std::set<SessionNumber> except = this->unableMembers();
    if (this->isSilent() && this->current) {
        except.insert(this->current->holder);
    }
    this->chosen = coordinatorFor(*this->members, this->key, RoleCandidates::Relays, except);
}

// Of two that can't go on, each may hold the other for able until it hears of it: they would name each other in turn.
void CoordinatorElection::noteGivenUp(const DutyClaim &claim)
{
    const bool isNamedByHolder = this->current && claim.holder == this->self && this->current->holder != this->self;
    if (isNamedByHolder) {
        this->givenUp.insert_or_assign(this->current->holder, this->clock.now());
    }
}

std::set<SessionNumber> CoordinatorElection::unableMembers() const
{
    std::set<SessionNumber> unable;
    for (const auto &[session, when] : this->givenUp) {
        if (this->clock.now() - when < givenUpRetained) {
            unable.insert(session);
        }
    }
    return unable;
}

} // namespace Dogwoodkeel
