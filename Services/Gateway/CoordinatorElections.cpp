#include <Services/Gateway/CoordinatorElections.h>

#include <LibBase/Log.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** A node that knows no claim queries three others at this interval. A node that has just started learns the claim within two
 * round trips. */
constexpr std::chrono::milliseconds queryInterval{100};
constexpr std::size_t queriesAtOnce = 3;

SessionNumber sessionOf(const Member *member)
{
    return member != nullptr ? member->session : SessionNumber();
}

} // namespace

CoordinatorElections::CoordinatorElections(const Clock &clock, PeerNetwork &peers)
    : clock(clock), peers(peers), view(peers.roleView()), random(static_cast<std::minstd_rand::result_type>(peers.self().value()))
{
}

void CoordinatorElections::follow(const std::string &role, ChangeHandler changed)
{
    if (this->roles.contains(role)) {
        return;
    }
    RoleState state{std::make_unique<CoordinatorElection>(this->clock, role), {}, std::move(changed)};
    state.election->setView(this->peers.self(), this->peers.view(), this->view);
    state.coordinator = sessionOf(state.election->coordinator());
    this->roles.emplace(role, std::move(state));
}

const CoordinatorElections::RoleState *CoordinatorElections::find(const std::string &role) const
{
    const auto found = this->roles.find(role);
    return found != this->roles.end() ? &found->second : nullptr;
}

const Member *CoordinatorElections::coordinator(const std::string &role) const
{
    const RoleState *const state = this->find(role);
    return state != nullptr ? state->election->coordinator() : nullptr;
}

const Member *CoordinatorElections::remoteCoordinator(const std::string &role) const
{
    const Member *const member = this->coordinator(role);
    return member != nullptr && member->session != this->peers.self() ? member : nullptr;
}

bool CoordinatorElections::isClaimedLocally(const std::string &role) const
{
    const RoleState *const state = this->find(role);
    return state != nullptr && state->election->claim() && state->election->claim()->coordinator == this->peers.self();
}

bool CoordinatorElections::isAnyClaimedLocally() const
{
    return std::ranges::any_of(this->roles, [this](const auto &entry) {
        return this->isClaimedLocally(entry.first);
    });
}

bool CoordinatorElections::isClaimed(const std::string &role) const
{
    const RoleState *const state = this->find(role);
    return state != nullptr && state->election->claim();
}

const Member *CoordinatorElections::successor(const std::string &role) const
{
    const RoleState *const state = this->find(role);
    return state != nullptr ? state->election->successor() : nullptr;
}

void CoordinatorElections::suspectCoordinator(const std::string &role)
{
    const Member *const suspected = this->remoteCoordinator(role);
    const Member *const next = suspected != nullptr ? this->successor(role) : nullptr;
    if (next == nullptr) {
        return;
    }
    const CoordinatorSuspicion suspicion{role, suspected->session, this->peers.self()};
    if (next->session == this->peers.self()) {
        this->roles.at(role).election->receiveSuspicion(suspicion);
    } else {
        this->peers.datagrams().send(next->gossip, suspicion);
    }
}

void CoordinatorElections::probeSomeMembers(const std::string &role)
{
    if (const RoleState *const state = this->find(role)) {
        this->queryClaim(*state->election);
    }
}

void CoordinatorElections::probe(const Address &node, const std::string &role)
{
    if (const RoleState *const state = this->find(role)) {
        this->peers.datagrams().send(node, state->election->claimQuery());
    }
}

void CoordinatorElections::sendClaim(const Address &to, const std::string &role)
{
    const RoleState *const state = this->find(role);
    if (state != nullptr && state->election->claim()) {
        this->peers.datagrams().send(to, *state->election->claim());
    }
}

void CoordinatorElections::setView(const MemberViewPointer &view)
{
    const MemberViewPointer before = std::exchange(this->view, view);
    for (auto &[name, state] : this->roles) {
        state.election->setView(this->peers.self(), this->peers.view(), view);
        this->updateCoordinator(state);
        this->sendClaimToNewMembers(*state.election, *before);
    }
}

void CoordinatorElections::updateCoordinator(RoleState &state, bool isHandedOver)
{
    const SessionNumber current = sessionOf(state.election->coordinator());
    const SessionNumber former = std::exchange(state.coordinator, current);
    if (former != current) {
        state.changed({former, isHandedOver});
    }
}

void CoordinatorElections::claim(const std::string &role, RoleState &state)
{
    const std::optional<CoordinatorClaim> claim = state.election->makeClaim();
    if (!claim) {
        return;
    }
    log(LogLevel::Info,
        "duty claimed",
        {{"duty", role},
         {"term", static_cast<std::int64_t>(claim->term)},
         {"holder", static_cast<std::int64_t>(claim->coordinator.value())},
         {"members", static_cast<std::int64_t>(this->view->members().size())}});
    for (const Member &member : this->view->members()) {
        if (member.session != this->peers.self()) {
            this->peers.datagrams().send(member.gossip, *claim);
        }
    }
    this->updateCoordinator(state, claim->coordinator != this->peers.self());
}

void CoordinatorElections::queryClaim(const CoordinatorElection &election)
{
    const auto isOther = [this](const Member &member) {
        return member.session != this->peers.self();
    };
    for (std::size_t sent = 0; sent < queriesAtOnce; ++sent) {
        if (const Member *const member = randomMember(*this->view, this->random, isOther)) {
            this->peers.datagrams().send(member->gossip, election.claimQuery());
        }
    }
}

void CoordinatorElections::sendClaimToNewMembers(const CoordinatorElection &election, const MemberView &before)
{
    const Member *const coordinator = election.coordinator();
    const bool isLocal = coordinator != nullptr && coordinator->session == this->peers.self();
    if (!isLocal || !election.claim()) {
        return;
    }
    for (const Member &member : this->view->members()) {
        if (before.find(member.session) == nullptr) {
            this->peers.datagrams().send(member.gossip, *election.claim());
        }
    }
}

bool CoordinatorElections::receive(const Datagram &datagram)
{
    if (datagram.number == CoordinatorClaim::number) {
        if (const auto claim = decode<CoordinatorClaim>(datagram.payload)) {
            this->receive(datagram.from, *claim);
        }
        return true;
    }
    if (datagram.number == CoordinatorSuspicion::number) {
        const auto suspicion = decode<CoordinatorSuspicion>(datagram.payload);
        const auto found = suspicion ? this->roles.find(suspicion->role) : this->roles.end();
        if (found != this->roles.end()) {
            found->second.election->receiveSuspicion(*suspicion);
        }
        return true;
    }
    return false;
}

void CoordinatorElections::receive(const Address &from, const CoordinatorClaim &claim)
{
    const auto found = this->roles.find(claim.role);
    if (found == this->roles.end()) {
        return;
    }
    RoleState &state = found->second;
    const Member *const coordinator = state.election->coordinator();
    // A query (term 0) from the coordinator's address is no sign of life: the node has restarted and lost the role's state.
    const bool isFromCoordinator = coordinator != nullptr && coordinator->gossip == from && claim.term > 0;
    if (isFromCoordinator) {
        state.election->recordCoordinatorAlive();
    }
    switch (state.election->receive(claim)) {
    case CoordinatorElection::ReceiveOutcome::Accepted:
        this->updateCoordinator(state);
        return;
    case CoordinatorElection::ReceiveOutcome::Outdated:
        this->sendClaim(from, claim.role);
        return;
    case CoordinatorElection::ReceiveOutcome::Known:
        return;
    }
}

void CoordinatorElections::tick()
{
    const SteadyTime now = this->clock.now();
    const bool isQueryDue = now >= this->nextQuery;
    if (isQueryDue) {
        this->nextQuery = now + queryInterval;
    }
    for (auto &[name, state] : this->roles) {
        if (isQueryDue && state.election->isQuerying()) {
            this->queryClaim(*state.election);
        }
        if (const Member *const suspected = state.election->suspectedCoordinator()) {
            this->peers.datagrams().send(suspected->gossip, state.election->claimQuery());
        }
        this->claim(name, state);
    }
}

} // namespace Dogwoodkeel
