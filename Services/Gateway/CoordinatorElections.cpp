#include <Services/Gateway/CoordinatorElections.h>

#include <LibBase/Log.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** How often a node that knows no claim asks others for it, and how many: one that has just started is told in two round trips.
 */
constexpr std::chrono::milliseconds questionInterval{100};
constexpr std::size_t questionsAtOnce = 3;

SessionNumber sessionOf(const Member *member)
{
    return member != nullptr ? member->session : SessionNumber();
}

} // namespace

CoordinatorElections::CoordinatorElections(const Clock &clock, PeerNetwork &peers)
    : clock(clock), peers(peers), view(peers.roleView()), random(static_cast<std::minstd_rand::result_type>(peers.self().value()))
{
}

void CoordinatorElections::follow(const std::string &duty, ChangeHandler moved)
{
    if (this->duties.contains(duty)) {
        return;
    }
    Followed followed{std::make_unique<ClaimedDuty>(this->clock, duty), {}, std::move(moved)};
    followed.duty->setView(this->peers.self(), this->peers.view(), this->view);
    followed.holder = sessionOf(followed.duty->holder());
    this->duties.emplace(duty, std::move(followed));
}

const CoordinatorElections::Followed *CoordinatorElections::find(const std::string &duty) const
{
    const auto found = this->duties.find(duty);
    return found != this->duties.end() ? &found->second : nullptr;
}

const Member *CoordinatorElections::coordinator(const std::string &duty) const
{
    const Followed *const followed = this->find(duty);
    return followed != nullptr ? followed->duty->holder() : nullptr;
}

const Member *CoordinatorElections::remoteCoordinator(const std::string &duty) const
{
    const Member *const member = this->coordinator(duty);
    return member != nullptr && member->session != this->peers.self() ? member : nullptr;
}

bool CoordinatorElections::isClaimedLocally(const std::string &duty) const
{
    const Followed *const followed = this->find(duty);
    return followed != nullptr && followed->duty->claim() && followed->duty->claim()->holder == this->peers.self();
}

bool CoordinatorElections::isAnyClaimedLocally() const
{
    return std::ranges::any_of(this->duties, [this](const auto &followed) {
        return this->isClaimedLocally(followed.first);
    });
}

bool CoordinatorElections::isClaimed(const std::string &duty) const
{
    const Followed *const followed = this->find(duty);
    return followed != nullptr && followed->duty->claim();
}

const Member *CoordinatorElections::successor(const std::string &duty) const
{
    const Followed *const followed = this->find(duty);
    return followed != nullptr ? followed->duty->successor() : nullptr;
}

void CoordinatorElections::suspectCoordinator(const std::string &duty)
{
    const Member *const suspected = this->remoteCoordinator(duty);
    const Member *const next = suspected != nullptr ? this->successor(duty) : nullptr;
    if (next == nullptr) {
        return;
    }
    const DutySuspicion suspicion{duty, suspected->session, this->peers.self()};
    if (next->session == this->peers.self()) {
        this->duties.at(duty).duty->receiveSuspicion(suspicion);
    } else {
        this->peers.datagrams().send(next->gossip, suspicion);
    }
}

void CoordinatorElections::probeSomeMembers(const std::string &duty)
{
    if (const Followed *const followed = this->find(duty)) {
        this->askForClaim(*followed->duty);
    }
}

void CoordinatorElections::probe(const Address &node, const std::string &duty)
{
    if (const Followed *const followed = this->find(duty)) {
        this->peers.datagrams().send(node, followed->duty->question());
    }
}

void CoordinatorElections::sendClaim(const Address &to, const std::string &duty)
{
    const Followed *const followed = this->find(duty);
    if (followed != nullptr && followed->duty->claim()) {
        this->peers.datagrams().send(to, *followed->duty->claim());
    }
}

void CoordinatorElections::setView(const MemberViewPointer &view)
{
    const MemberViewPointer before = std::exchange(this->view, view);
    for (auto &[name, followed] : this->duties) {
        followed.duty->setView(this->peers.self(), this->peers.view(), view);
        this->takeHolder(followed);
        this->tellNewcomers(*followed.duty, *before);
    }
}

void CoordinatorElections::takeHolder(Followed &followed, bool isHandedOver)
{
    const SessionNumber current = sessionOf(followed.duty->holder());
    const SessionNumber former = std::exchange(followed.holder, current);
    if (former != current) {
        followed.moved({former, isHandedOver});
    }
}

void CoordinatorElections::claim(const std::string &name, Followed &followed)
{
    const std::optional<DutyClaim> claim = followed.duty->makeClaim();
    if (!claim) {
        return;
    }
    log(LogLevel::Info,
        "duty claimed",
        {{"duty", name},
         {"term", static_cast<std::int64_t>(claim->term)},
         {"holder", static_cast<std::int64_t>(claim->holder.value())},
         {"members", static_cast<std::int64_t>(this->view->members().size())}});
    for (const Member &member : this->view->members()) {
        if (member.session != this->peers.self()) {
            this->peers.datagrams().send(member.gossip, *claim);
        }
    }
    this->takeHolder(followed, claim->holder != this->peers.self());
}

void CoordinatorElections::askForClaim(const ClaimedDuty &duty)
{
    const auto isOther = [this](const Member &member) {
        return member.session != this->peers.self();
    };
    for (std::size_t asked = 0; asked < questionsAtOnce; ++asked) {
        if (const Member *const member = randomMember(*this->view, this->random, isOther)) {
            this->peers.datagrams().send(member->gossip, duty.question());
        }
    }
}

void CoordinatorElections::tellNewcomers(const ClaimedDuty &duty, const MemberView &before)
{
    const Member *const holder = duty.holder();
    const bool isOurs = holder != nullptr && holder->session == this->peers.self();
    if (!isOurs || !duty.claim()) {
        return;
    }
    for (const Member &member : this->view->members()) {
        if (before.find(member.session) == nullptr) {
            this->peers.datagrams().send(member.gossip, *duty.claim());
        }
    }
}

bool CoordinatorElections::receive(const Datagram &datagram)
{
    if (datagram.number == DutyClaim::number) {
        if (const auto claim = decode<DutyClaim>(datagram.payload)) {
            this->receive(datagram.from, *claim);
        }
        return true;
    }
    if (datagram.number == DutySuspicion::number) {
        const auto suspicion = decode<DutySuspicion>(datagram.payload);
        const auto found = suspicion ? this->duties.find(suspicion->duty) : this->duties.end();
        if (found != this->duties.end()) {
            found->second.duty->receiveSuspicion(*suspicion);
        }
        return true;
    }
    return false;
}

void CoordinatorElections::receive(const Address &from, const DutyClaim &claim)
{
    const auto found = this->duties.find(claim.duty);
    if (found == this->duties.end()) {
        return;
    }
    Followed &followed = found->second;
    const Member *const holder = followed.duty->holder();
    // A question from its address is none of its own: it has started anew, and knows nothing of what it held.
    const bool isFromHolder = holder != nullptr && holder->gossip == from && claim.term > 0;
    if (isFromHolder) {
        followed.duty->noteHolderAlive();
    }
    switch (followed.duty->receive(claim)) {
    case ClaimedDuty::ReceiveOutcome::News:
        this->takeHolder(followed);
        return;
    case ClaimedDuty::ReceiveOutcome::Outdated:
        this->sendClaim(from, claim.duty);
        return;
    case ClaimedDuty::ReceiveOutcome::Known:
        return;
    }
}

void CoordinatorElections::tick()
{
    const SteadyTime now = this->clock.now();
    const bool isQuestionDue = now >= this->nextQuestion;
    if (isQuestionDue) {
        this->nextQuestion = now + questionInterval;
    }
    for (auto &[name, followed] : this->duties) {
        if (isQuestionDue && followed.duty->isAsking()) {
            this->askForClaim(*followed.duty);
        }
        if (const Member *const suspected = followed.duty->suspectedHolder()) {
            this->peers.datagrams().send(suspected->gossip, followed.duty->question());
        }
        this->claim(name, followed);
    }
}

} // namespace Dogwoodkeel
