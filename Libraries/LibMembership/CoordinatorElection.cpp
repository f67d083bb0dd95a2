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
 * A node that has just started receives the claim before gossip delivers the coordinator itself. Treating the coordinator as
 * dead would make it claim a role that is held. Within this time, several gossip rounds, it learns of all members.
 */
constexpr std::chrono::milliseconds unknownCoordinatorTimeout{3000};
/**
 * A node that has just started queries others for the claim. If no claim arrives within this time, a dozen round trips between
 * VMs with a small processor, the role has not been claimed since all nodes started.
 */
constexpr std::chrono::milliseconds claimQueryTimeout{500};

/**
 * A node that lost more than 1/8 of the members recently makes no claim. After being cut off for some seconds it still regards
 * many members as dead, possibly the coordinator, and would take the role from a coordinator that all others can reach. In a
 * fleet of a few hundred nodes, that many die at once only with the whole fleet.
 */
constexpr std::size_t lostMembersDivisor = 8;
/** Within this time, members that were declared dead by mistake are most likely back in the view. */
constexpr std::chrono::milliseconds recentMembersWindow{5000};

/** A single node without an answer may itself be cut off; it is unlikely that this many are at once. */
constexpr std::size_t minSuspectingMembers = 3;
/** How long a suspicion counts. A node sends its dispatcher several requests within this time. */
constexpr std::chrono::milliseconds suspicionRetention{1000};
/**
 * How long a suspected coordinator has to respond. Longer than the pause of a VM that has used up its processor share and
 * several times the latency of a datagram; a tenth of the time in which the membership declares a member dead.
 */
constexpr std::chrono::milliseconds unresponsiveTimeout{250};

/**
 * How long a coordinator that is missing from the view keeps the role, provided that it responds. A node that was cut off
 * reports false deaths when it is back, and each receiver would switch to another coordinator until they are refuted.
 */
constexpr std::chrono::milliseconds missingCoordinatorTimeout{3000};

/** Several gossip rounds, after which all members know why a member gave up the role. */
constexpr std::chrono::milliseconds resignationRetention{3000};

auto rankOf(const CoordinatorClaim &claim)
{
    return std::tuple(claim.term, claim.coordinator);
}

} // namespace

CoordinatorElection::CoordinatorElection(const Clock &clock, std::string role)
    : clock(clock)
    , role(std::move(role))
    , key(stableHash(this->role))
    , members(std::make_shared<const MemberView>(std::vector<Member>()))
    , stableMembers(this->members)
{
}

void CoordinatorElection::setView(SessionNumber self, const MemberViewPointer &members, const MemberViewPointer &stableMembers)
{
    this->self = self;
    if (!this->othersSeenAt && members->members().size() > 1) {
        this->othersSeenAt = this->clock.now();
    }
    const SteadyTime now = this->clock.now();
    if (members->members().size() >= this->maxMembers || now - this->maxMembersAt > recentMembersWindow) {
        this->maxMembers = members->members().size();
        this->maxMembersAt = now;
    }
    this->members = members;
    this->stableMembers = stableMembers;
    this->selectCoordinator();
}

bool CoordinatorElection::hasLostManyMembers() const
{
    const std::size_t lost = this->maxMembers - std::min(this->maxMembers, this->members->members().size());
    const bool isRecent = this->clock.now() - this->maxMembersAt <= recentMembersWindow;
    return this->members->isMinority() || (isRecent && lost > 1 && lost * lostMembersDivisor > this->maxMembers);
}

CoordinatorElection::ReceiveOutcome CoordinatorElection::receive(const CoordinatorClaim &claim)
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
    this->recordResignation(claim);
    this->current = claim;
    this->receivedAt = this->clock.now();
    this->lastSeenCoordinator.reset();
    this->coordinatorMissingSince.reset();
    this->recordCoordinatorAlive();
    this->selectCoordinator();
    return ReceiveOutcome::Accepted;
}

const Member *CoordinatorElection::coordinator() const
{
    return this->selected;
}

const std::optional<CoordinatorClaim> &CoordinatorElection::claim() const
{
    return this->current;
}

bool CoordinatorElection::isQuerying() const
{
    return !this->current && this->othersSeenAt;
}

CoordinatorClaim CoordinatorElection::claimQuery() const
{
    return {this->role, 0, SessionNumber()};
}

const Member *CoordinatorElection::successor() const
{
    std::set<SessionNumber> except = this->recentlyResigned();
    if (this->selected != nullptr) {
        except.insert(this->selected->session);
    }
    return coordinatorFor(*this->members, this->key, RoleCandidates::Relays, except);
}

void CoordinatorElection::receiveSuspicion(const CoordinatorSuspicion &suspicion)
{
    if (!this->current || this->current->coordinator != suspicion.coordinator || suspicion.coordinator == this->self) {
        return;
    }
    const SteadyTime now = this->clock.now();
    this->suspectingMembers.insert_or_assign(suspicion.from, now);
    std::erase_if(this->suspectingMembers, [now](const auto &entry) {
        return now - entry.second > suspicionRetention;
    });
    if (this->hasEnoughSuspectingMembers()) {
        this->suspectedSince = this->suspectedSince.value_or(now);
    }
}

bool CoordinatorElection::hasEnoughSuspectingMembers() const
{
    // In a small fleet, all members except this node and the coordinator.
    const std::size_t others = std::max<std::size_t>(this->members->members().size(), 3) - 2;
    return this->suspectingMembers.size() >= std::min(minSuspectingMembers, others);
}

void CoordinatorElection::recordCoordinatorAlive()
{
    this->suspectingMembers.clear();
    this->suspectedSince.reset();
    if (this->coordinatorMissingSince) {
        this->coordinatorMissingSince = this->clock.now();
    }
}

const Member *CoordinatorElection::suspectedCoordinator() const
{
    return this->suspectedSince && !this->isUnresponsive() ? this->selected : nullptr;
}

bool CoordinatorElection::isUnresponsive() const
{
    return this->suspectedSince && this->clock.now() - *this->suspectedSince >= unresponsiveTimeout;
}

std::optional<CoordinatorClaim> CoordinatorElection::makeClaim()
{
    if (this->suspectedSince || this->coordinatorMissingSince) {
        this->selectCoordinator();
    }
    if (this->selected == nullptr) {
        return std::nullopt;
    }
    const SessionNumber next = this->selected->session;
    const bool isClaimed = this->current && this->current->coordinator == next;
    const bool isLocal = next == this->self;
    const bool isOwnClaim = this->current && this->current->coordinator == this->self;
    // A node that receives suspicions from several others is not cut off itself.
    const bool isConfirmed = this->isUnresponsive() && this->hasEnoughSuspectingMembers();
    const bool isSure = isConfirmed || (!this->hasLostManyMembers() && !this->isAwaitingClaim() && !this->isCoordinatorUnknown());
    if (isClaimed || !(isOwnClaim || (isLocal && isSure))) {
        return std::nullopt;
    }
    const std::uint64_t term = this->current ? this->current->term + 1 : 1;
    this->receive(CoordinatorClaim{this->role, term, next});
    return this->current;
}

bool CoordinatorElection::isAwaitingClaim() const
{
    return !this->current && (!this->othersSeenAt || this->clock.now() - *this->othersSeenAt < claimQueryTimeout);
}

bool CoordinatorElection::isCoordinatorUnknown() const
{
    return this->current && !this->lastSeenCoordinator && this->clock.now() - this->receivedAt < unknownCoordinatorTimeout;
}

bool CoordinatorElection::mayKeep(const Member &claimed) const
{
    // Only the coordinator itself decides whether it is still ready and has the store: it knows first, and names its successor
    // to all when it has to stop. Other nodes learn of it at different times; if they decided as well, those with an older view
    // would contest each claim.
    return claimed.session == this->self ? mayKeepRole(*this->stableMembers, claimed) : !claimed.isLeaving;
}

const Member *CoordinatorElection::findClaimedCoordinator()
{
    if (!this->current) {
        return nullptr;
    }
    if (const Member *const claimed = this->stableMembers->find(this->current->coordinator)) {
        this->lastSeenCoordinator = *claimed;
        this->coordinatorMissingSince.reset();
        return claimed;
    }
    if (!this->lastSeenCoordinator) {
        return nullptr;
    }
    const SteadyTime now = this->clock.now();
    this->coordinatorMissingSince = this->coordinatorMissingSince.value_or(now);
    if (now - *this->coordinatorMissingSince > missingCoordinatorTimeout) {
        return nullptr;
    }
    this->suspectedSince = this->suspectedSince.value_or(now);
    return &*this->lastSeenCoordinator;
}

void CoordinatorElection::selectCoordinator()
{
    const Member *const claimed = this->findClaimedCoordinator();
    if (claimed != nullptr && this->mayKeep(*claimed) && !this->isUnresponsive()) {
        this->selected = claimed;
        return;
    }
    // A successor must reach the store now, however short its loss has been.
    std::set<SessionNumber> except = this->recentlyResigned();
    if (this->isUnresponsive() && this->current) {
        except.insert(this->current->coordinator);
    }
    this->selected = coordinatorFor(*this->members, this->key, RoleCandidates::Relays, except);
}

// If two members become ineligible at once, each may regard the other as eligible until the view shows otherwise. Without this
// record they would name each other in turn.
void CoordinatorElection::recordResignation(const CoordinatorClaim &claim)
{
    const bool isNamedByCoordinator
        = this->current && claim.coordinator == this->self && this->current->coordinator != this->self;
    if (isNamedByCoordinator) {
        this->resignedMembers.insert_or_assign(this->current->coordinator, this->clock.now());
    }
}

std::set<SessionNumber> CoordinatorElection::recentlyResigned() const
{
    std::set<SessionNumber> sessions;
    for (const auto &[session, resignedAt] : this->resignedMembers) {
        if (this->clock.now() - resignedAt < resignationRetention) {
            sessions.insert(session);
        }
    }
    return sessions;
}

} // namespace Dogwoodkeel
