#include <LibMembership/Membership.h>

#include <LibBase/Hash.h>
#include <LibBase/Log.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t maxForwardedProbes = 64;
constexpr std::size_t maxContactsAtOnce = 8;
constexpr std::size_t maxLeaveReceivers = 32;
constexpr std::size_t updatesInDatagram = 12;
constexpr std::size_t membersInDatagram = 5;
constexpr std::size_t membersInPush = 20;
constexpr std::size_t departedInPush = 64;
constexpr std::size_t loadsInDatagram = 8;
constexpr std::size_t vmsInDatagram = 4;
/** In a larger fleet a new configVersion is not queued as an update; the node's own probes and answers carry it. */
constexpr std::size_t maxMembersForVersionUpdates = 32;
/** Transmissions of an update per doubling of the fleet. */
constexpr std::uint32_t transmissionsPerDoubling = 3;
constexpr std::uint32_t minTransmissions = 6;
/** With fewer other members, receiving nothing at all does not indicate a fault of this node. */
constexpr std::size_t minOtherMembers = 2;
/** Timeouts as multiples of Options::suspicion: of an unconfirmed suspicion, and of a node that receives nothing at all. */
constexpr int unconfirmedFactor = 3;
constexpr int lastMemberFactor = 5;
constexpr int pullFactor = 10;
constexpr int reconnectFactor = 25;
constexpr std::chrono::minutes recentLossWindow{10};
constexpr std::chrono::minutes leavingRetention{10};
constexpr std::chrono::minutes notifiedRetention{1};

} // namespace

Membership::Membership(const Clock &clock, Scheduler &scheduler, Options options, Member self, std::uint64_t seed, Hooks hooks)
    : clock(clock)
    , scheduler(scheduler)
    , options(options)
    , self(self.session)
    , hooks(std::move(hooks))
    , random(seed)
    , table(std::move(self), clock.now())
    , lastReceived(clock.now())
{
    this->newMembers.add(this->self);
    this->currentView = std::make_shared<MemberView>(std::vector<Member>{this->table.own()});
}

Membership::~Membership()
{
    this->scheduler.cancel(this->timer);
    this->scheduler.cancel(this->publishTimer);
    for (const auto &[sequence, probe] : this->probes) {
        this->scheduler.cancel(probe.timer);
    }
    for (const auto &[session, suspected] : this->suspected) {
        this->scheduler.cancel(suspected.timer);
    }
}

void Membership::start(const std::vector<Address> &contacts)
{
    this->tickDue = this->clock.now();
    this->hasChanged = true;
    this->contacts = contacts;
    this->tick();
}

void Membership::contact(const std::vector<Address> &addresses)
{
    std::vector<Address> selected;
    std::ranges::sample(addresses, std::back_inserter(selected), maxContactsAtOnce, this->random);
    for (const Address &address : selected) {
        if (address != this->table.own().gossip && !this->hasLeft) {
            this->hooks.sendPing(address, {this->self, ++this->lastSequence, this->gossipFor(SessionNumber(0))});
        }
    }
}

void Membership::tick()
{
    if (this->wasPaused(this->tickDue)) {
        return;
    }
    const SteadyTime now = this->clock.now();
    this->table.forget(now - this->options.deadRetention);
    std::erase_if(this->leavingSince, [now](const auto &entry) {
        return now - entry.second > leavingRetention;
    });
    std::erase_if(this->notifiedAt, [now](const auto &entry) {
        return now - entry.second > notifiedRetention;
    });
    if (const SessionNumber target = this->nextTarget(); target.value() != 0) {
        this->probe(target);
    }
    if (this->table.otherCount() == 0) {
        // The first probes of the contacts may have been lost.
        this->contact(this->contacts);
    }
    this->reconnect();
    this->publish();
    this->tickDue = now + this->interval();
    this->timer = this->scheduler.schedule(this->interval(), [this] {
        this->tick();
    });
}

std::chrono::milliseconds Membership::interval() const
{
    const auto nodes = static_cast<std::int64_t>(this->table.otherCount() + 1);
    const auto scaled = this->options.probeInterval * nodes / static_cast<std::int64_t>(this->options.scalingThreshold);
    const auto maximum = std::max(this->options.probeInterval, this->options.maxProbeInterval);
    return std::clamp(scaled, this->options.probeInterval, maximum) * this->health.factor();
}

std::chrono::milliseconds Membership::probeTimeout() const
{
    return this->options.probeTimeout * this->health.factor();
}

std::uint32_t Membership::transmissions() const
{
    const std::size_t nodes = this->table.otherCount() + 1;
    return std::max(minTransmissions, transmissionsPerDoubling * static_cast<std::uint32_t>(std::bit_width(nodes)));
}

bool Membership::wasPaused(SteadyTime due)
{
    // After a pause all timers of a node are late at once, while answers are still unread in its socket. Without this check the
    // node would suspect every member that it was probing, or declare those dead that it suspects, although the fault is its own.
    const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - due);
    if (late <= this->options.probeTimeout) {
        return false;
    }
    this->health.failed();
    this->lastReceived += late;
    this->lastReceived = std::min(this->lastReceived, this->clock.now());
    for (auto &[sequence, probe] : this->probes) {
        this->scheduler.cancel(probe.timer);
    }
    this->probes.clear();
    for (auto &[session, suspected] : this->suspected) {
        suspected.suspicion.extend(late);
        this->scheduleDeath(session);
    }
    this->scheduler.cancel(this->timer);
    this->tickDue = this->clock.now() + this->interval();
    this->timer = this->scheduler.schedule(this->interval(), [this] {
        this->tick();
    });
    return true;
}

bool Membership::isLikelyCutOff() const
{
    // If several others are known and nothing is received, the fault is more likely here. If that lasts, they have departed.
    const auto quietTime = this->clock.now() - this->lastReceived;
    const bool hasOthers = this->table.otherCount() >= minOtherMembers;
    return hasOthers && quietTime > this->interval() * 2 && !this->isLikelyLastMember();
}

bool Membership::isLikelyLastMember() const
{
    return this->clock.now() - this->lastReceived >= this->options.suspicion * lastMemberFactor;
}

SessionNumber Membership::nextTarget()
{
    if (this->round.empty()) {
        for (const Member *const member : this->table.others()) {
            this->round.push_back(member->session);
        }
        std::ranges::shuffle(this->round, this->random);
    }
    while (!this->round.empty()) {
        const SessionNumber target = this->round.back();
        this->round.pop_back();
        const MemberTable::Entry *const entry = this->table.find(target);
        if (entry != nullptr && !isDeparted(entry->member) && !this->isProbing(target)) {
            return target;
        }
    }
    return {};
}

void Membership::reconnect()
{
    // The two sides of a partition declare each other dead and would not contact each other again; so one dead member is probed
    // from time to time.
    const SteadyTime now = this->clock.now();
    if (now < this->nextReconnect) {
        return;
    }
    this->nextReconnect = now + this->options.probeInterval * reconnectFactor;
    std::vector<Address> lost;
    for (const auto &[session, entry] : this->table.entries()) {
        if (entry.isDescribed && entry.member.state == MemberState::Dead) {
            lost.push_back(entry.member.gossip);
        }
    }
    std::vector<Address> selected;
    std::ranges::sample(lost, std::back_inserter(selected), 1, this->random);
    this->contact(selected);
}

bool Membership::isProbing(SessionNumber target) const
{
    return std::ranges::any_of(this->probes, [target](const auto &entry) {
        return entry.second.target == target;
    });
}

void Membership::probe(SessionNumber target)
{
    const std::uint64_t sequence = ++this->lastSequence;
    const SteadyTime now = this->clock.now();
    const TimerId timeout = this->scheduler.schedule(this->probeTimeout(), [this, sequence] {
        this->probeIndirectly(sequence);
    });
    this->probes[sequence] = {target, now, now + this->probeTimeout(), timeout};
    this->hooks.sendPing(this->table.find(target)->member.gossip, {this->self, sequence, this->gossipFor(target)});
}

void Membership::probeIndirectly(std::uint64_t sequence)
{
    const auto found = this->probes.find(sequence);
    if (found == this->probes.end() || this->wasPaused(found->second.due)) {
        return;
    }
    Probe &probe = found->second;
    const MemberTable::Entry *const entry = this->table.find(probe.target);
    if (entry == nullptr || isDeparted(entry->member)) {
        this->probes.erase(sequence);
        return;
    }
    for (const Member *const prober : this->indirectProbersFor(probe.target)) {
        this->hooks.sendPingRequest(prober->gossip, {this->self, entry->member.gossip, sequence});
    }
    probe.due = this->clock.now() + this->probeTimeout() * 2;
    probe.timer = this->scheduler.schedule(this->probeTimeout() * 2, [this, sequence] {
        this->probeFailed(sequence);
    });
}

void Membership::probeFailed(std::uint64_t sequence)
{
    const auto found = this->probes.find(sequence);
    if (found == this->probes.end() || this->wasPaused(found->second.due)) {
        return;
    }
    const Probe probe = found->second;
    this->probes.erase(found);
    this->health.failed();
    const bool hasReceivedSinceProbe = this->lastReceived >= probe.started || this->table.otherCount() < minOtherMembers;
    if (hasReceivedSinceProbe) {
        this->suspect(probe.target);
    } else if (this->isLikelyLastMember()) {
        // Each suspicion is published, and the receiver of the view may change the table; so the sessions are copied first.
        std::vector<SessionNumber> unresponsive;
        std::ranges::transform(this->table.others(), std::back_inserter(unresponsive), &Member::session);
        for (const SessionNumber session : unresponsive) {
            this->suspect(session);
        }
    }
}

std::vector<const Member *> Membership::indirectProbersFor(SessionNumber target)
{
    std::vector<const Member *> indirectProbers = this->table.others();
    std::erase_if(indirectProbers, [target](const Member *member) {
        return member->session == target;
    });
    std::ranges::shuffle(indirectProbers, this->random);
    indirectProbers.resize(std::min(indirectProbers.size(), this->options.indirectProbers));
    return indirectProbers;
}

std::vector<const Member *> Membership::confirmersOf(SessionNumber target) const
{
    // The same few for every suspecting member, so that a suspicion causes few probes however many members receive it.
    std::vector<const Member *> members = this->table.others();
    members.push_back(&this->table.own());
    std::erase_if(members, [target](const Member *member) {
        return member->session == target;
    });
    const std::size_t count = std::min(members.size(), this->options.indirectProbers + 1);
    std::ranges::partial_sort(
        members, members.begin() + static_cast<std::ptrdiff_t>(count), std::ranges::greater(), [target](const Member *member) {
            return rendezvousWeight(target.value(), member->session.value());
        });
    members.resize(count);
    return members;
}

void Membership::suspect(SessionNumber target)
{
    const MemberTable::Entry *const entry = this->table.find(target);
    if (entry == nullptr || isDeparted(entry->member)) {
        return;
    }
    MemberUpdate memberUpdate = updateOf(entry->member);
    memberUpdate.state = MemberState::Suspect;
    memberUpdate.suspectedBy = this->self;
    this->apply(memberUpdate);
    this->publish();
}

void Membership::startSuspicion(const MemberUpdate &memberUpdate)
{
    const SessionNumber target = memberUpdate.session;
    const std::vector<const Member *> confirmers = this->confirmersOf(target);
    const std::size_t expected = this->isLikelyLastMember() ? 0 : std::min(confirmers.size() - 1, this->options.indirectProbers);
    const Suspicion::Options times{this->options.suspicion, this->options.suspicion * unconfirmedFactor, expected};
    this->stopSuspicion(target);
    this->suspected.emplace(target, Suspected{Suspicion(this->clock.now(), memberUpdate.suspectedBy, times), {}, 0});
    this->lastSuspectingMember[target] = memberUpdate.suspectedBy;
    this->scheduleDeath(target);
    if (memberUpdate.suspectedBy == this->self) {
        this->notifyConfirmers(target);
        return;
    }
    const bool isConfirmer = std::ranges::find(confirmers, this->self, &Member::session) != confirmers.end();
    if (isConfirmer && !this->isProbing(target)) {
        // The probe either confirms the suspicion or lets the member learn of it and refute it.
        this->probe(target);
    }
}

void Membership::notifyConfirmers(SessionNumber target)
{
    for (const Member *const confirmer : this->confirmersOf(target)) {
        if (confirmer->session != this->self) {
            this->hooks.sendPing(confirmer->gossip, {this->self, ++this->lastSequence, this->gossipFor(target)});
        }
    }
}

void Membership::scheduleDeath(SessionNumber target)
{
    const auto found = this->suspected.find(target);
    if (found == this->suspected.end()) {
        return;
    }
    Suspected &suspected = found->second;
    this->scheduler.cancel(suspected.timer);
    suspected.due = std::max(suspected.suspicion.deadline(), this->clock.now());
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(suspected.due - this->clock.now());
    suspected.timer = this->scheduler.schedule(wait, [this, target] {
        this->expire(target);
    });
}

void Membership::expire(SessionNumber target)
{
    const auto found = this->suspected.find(target);
    const MemberTable::Entry *const entry = this->table.find(target);
    if (found == this->suspected.end() || entry == nullptr || this->wasPaused(found->second.due)) {
        return;
    }
    if (this->isLikelyCutOff()) {
        found->second.suspicion.extend(this->interval());
        this->scheduleDeath(target);
        return;
    }
    MemberUpdate memberUpdate = updateOf(entry->member);
    memberUpdate.state = MemberState::Dead;
    this->apply(memberUpdate);
    this->publish();
}

void Membership::stopSuspicion(SessionNumber target)
{
    const auto found = this->suspected.find(target);
    if (found != this->suspected.end()) {
        this->scheduler.cancel(found->second.timer);
        this->suspected.erase(found);
    }
    this->lastSuspectingMember.erase(target);
}

void Membership::receive(const Address &from, const Ping &ping)
{
    if (this->hasLeft) {
        return;
    }
    this->receiveGossip(ping.from, ping.gossip);
    this->hooks.sendPong(from, {this->self, ping.sequence, this->gossipFor(ping.from)});
    this->handleDuplicateSession(from, ping);
    this->compare(from, ping.gossip.digest);
    this->publish();
}

void Membership::handleDuplicateSession(const Address &from, const Ping &ping)
{
    // Two nodes have the same number: the sender is not the node that is known here under it.
    if (ping.from == this->self) {
        if (from != this->table.own().gossip) {
            this->loseSession("another node uses the same session number");
        }
        return;
    }
    const MemberTable::Entry *const entry = this->table.find(ping.from);
    const bool isKnownAtOtherAddress = entry != nullptr && entry->isDescribed && entry->member.gossip != from;
    if (isKnownAtOtherAddress) {
        this->hooks.sendPush(from, {this->self, {entry->member}, {}});
    }
}

void Membership::receive(const Address &from, const Pong &pong)
{
    if (this->hasLeft) {
        return;
    }
    this->receiveGossip(pong.from, pong.gossip);
    this->publish();
    if (const auto forwarded = this->forwardedProbes.extract(pong.sequence); !forwarded.empty()) {
        this->hooks.sendPong(forwarded.mapped().requester,
                             {pong.from, forwarded.mapped().sequence, this->gossipFor(SessionNumber(0))});
        return;
    }
    const auto probe = this->probes.find(pong.sequence);
    if (probe != this->probes.end() && probe->second.target == pong.from) {
        this->scheduler.cancel(probe->second.timer);
        this->probes.erase(probe);
        this->health.succeeded();
    } else if (probe != this->probes.end()) {
        this->endReplacedSession(pong.from, probe->second.target);
    }
    this->notifyIfSuspected(pong.from);
    this->compare(from, pong.gossip.digest);
}

void Membership::receive(const Address &from, const PingRequest &request)
{
    if (this->hasLeft) {
        return;
    }
    this->lastReceived = this->clock.now();
    while (this->forwardedProbes.size() >= maxForwardedProbes) {
        this->forwardedProbes.erase(this->forwardedProbes.begin());
    }
    const std::uint64_t sequence = ++this->lastSequence;
    this->forwardedProbes[sequence] = {from, request.sequence};
    this->hooks.sendPing(request.target, {this->self, sequence, this->gossipFor(SessionNumber(0))});
}

void Membership::receive(const Address &from, const MembersPull &pull)
{
    if (this->hasLeft || pull.digests.size() != MemberTable::parts) {
        return;
    }
    this->lastReceived = this->clock.now();
    for (const MembersPush &push : this->answerTo(pull)) {
        this->hooks.sendPush(from, push);
    }
}

std::vector<MembersPush> Membership::answerTo(const MembersPull &pull) const
{
    const auto &digests = this->table.digests();
    std::vector<MembersPush> pushes;
    MembersPush push{this->self, {}, {}};
    for (const auto &[session, entry] : this->table.entries()) {
        const std::size_t part = session.value() % MemberTable::parts;
        if (digests[part] == pull.digests[part]) {
            continue;
        }
        if (!isDeparted(entry.member)) {
            push.members.push_back(entry.member);
        } else if (push.departed.size() < departedInPush) {
            push.departed.push_back(updateOf(entry.member));
        }
        if (push.members.size() == membersInPush) {
            pushes.push_back(std::exchange(push, MembersPush{this->self, {}, {}}));
        }
    }
    pushes.push_back(std::move(push));
    return pushes;
}

void Membership::receive(const Address &, const MembersPush &push)
{
    if (this->hasLeft) {
        return;
    }
    this->lastReceived = this->clock.now();
    for (const MemberUpdate &departed : push.departed) {
        this->apply(departed);
    }
    for (const Member &member : push.members) {
        this->apply(member);
        // A push exchanges all differences between two views at once. If its members were queued as updates as well, a starting
        // fleet would spend a minute on sending what all nodes know.
        this->newMembers.remove(member.session);
        const MemberTable::Entry *const entry = this->table.find(member.session);
        if (entry != nullptr && isDeparted(entry->member)) {
            // The sender does not know yet that this member has departed.
            this->changedMembers.add(member.session);
        }
    }
    this->publish();
}

void Membership::receiveGossip(SessionNumber session, const Gossip &gossip)
{
    this->lastReceived = this->clock.now();
    this->hasReceived = this->hasReceived || session != this->self;
    for (const Member &member : gossip.members) {
        this->apply(member);
    }
    for (const MemberUpdate &memberUpdate : gossip.updates) {
        this->apply(memberUpdate);
    }
    this->apply(gossip.load);
    for (const MemberLoad &load : gossip.loads) {
        this->apply(load);
    }
    this->applyLeaving(gossip.leavingVms);
}

void Membership::compare(const Address &with, std::uint32_t digest)
{
    const SteadyTime now = this->clock.now();
    if (digest == this->table.digest() || now < this->nextPull) {
        return;
    }
    const bool isJoining = this->table.otherCount() < minOtherMembers;
    this->nextPull = now + (isJoining ? this->options.probeTimeout : this->interval() * pullFactor);
    const auto &digests = this->table.digests();
    this->hooks.sendPull(with, {this->self, {digests.begin(), digests.end()}});
}

void Membership::notifyIfSuspected(SessionNumber session)
{
    const MemberTable::Entry *const entry = this->table.find(session);
    const bool isSuspectOrDead = entry != nullptr && entry->isDescribed
        && (entry->member.state == MemberState::Suspect || entry->member.state == MemberState::Dead);
    const SteadyTime now = this->clock.now();
    if (!isSuspectOrDead || now - this->notifiedAt[session] < this->options.probeTimeout) {
        return;
    }
    // The member answers although it is regarded as suspect or dead. Notified of that, it refutes. Without this the two sides of
    // a partition would not merge again.
    this->notifiedAt[session] = now;
    this->hooks.sendPing(entry->member.gossip, {this->self, ++this->lastSequence, this->gossipFor(session)});
}

void Membership::apply(const Member &reported)
{
    if (reported.session == this->self && reported.gossip != this->table.own().gossip) {
        this->loseSession("another node uses the same session number");
        return;
    }
    if (reported.session == this->self || !isValid(reported.state)) {
        this->apply(updateOf(reported));
        return;
    }
    const MemberTable::Entry *const before = this->table.find(reported.session);
    if (before != nullptr && before->isDescribed) {
        this->apply(updateOf(reported));
        this->apply(loadOf(reported));
        return;
    }
    if (this->table.merge(reported, this->clock.now()) != MergeResult::Changed) {
        return;
    }
    this->hasChanged = true;
    const Member &member = this->table.find(reported.session)->member;
    if (isDeparted(member)) {
        this->changedMembers.add(reported.session);
        return;
    }
    log(LogLevel::Info,
        "member found",
        {{"session", static_cast<std::int64_t>(member.session.value())},
         {"member_vm", member.vm.value()},
         {"state", std::string(toString(member.state))}});
    this->newMembers.add(reported.session);
    this->supersede(member);
    if (this->table.find(reported.session)->member.state == MemberState::Suspect) {
        this->startSuspicion(updateOf(reported));
    }
}

void Membership::apply(const MemberUpdate &reported)
{
    if (!isValid(reported.state)) {
        return;
    }
    if (reported.session == this->self) {
        this->refute(reported);
        return;
    }
    const MemberTable::Entry *const entry = this->table.find(reported.session);
    const MemberState before = entry != nullptr ? entry->member.state : MemberState::Alive;
    const auto suspected = this->suspected.find(reported.session);
    const bool isConfirmation = reported.state == MemberState::Suspect && suspected != this->suspected.end()
        && reported.incarnation == entry->member.incarnation && reported.suspectedBy.value() != 0;
    if (isConfirmation) {
        if (suspected->second.suspicion.confirm(reported.suspectedBy)) {
            this->lastSuspectingMember[reported.session] = reported.suspectedBy;
            this->changedMembers.add(reported.session);
            this->scheduleDeath(reported.session);
            if (reported.suspectedBy == this->self) {
                this->notifyConfirmers(reported.session);
            }
        }
        return;
    }
    if (this->table.merge(reported, this->clock.now()) != MergeResult::Changed) {
        return;
    }
    this->hasChanged = true;
    this->changedMembers.add(reported.session);
    if (before != reported.state) {
        log(LogLevel::Info,
            "member changed",
            {{"session", static_cast<std::int64_t>(reported.session.value())},
             {"member_vm", this->table.find(reported.session)->member.vm.value()},
             {"accuser", static_cast<std::int64_t>(reported.suspectedBy.value())},
             {"state", std::string(toString(reported.state))}});
    }
    if (reported.state != MemberState::Suspect) {
        this->stopSuspicion(reported.session);
        return;
    }
    this->startSuspicion(reported);
}

void Membership::apply(const MemberLoad &reported)
{
    if (reported.session != this->self && this->table.merge(reported) == MergeResult::Changed) {
        this->hasChanged = true;
    }
}

void Membership::applyLeaving(const std::vector<VmName> &vms)
{
    std::vector<VmName> newVms;
    for (const VmName &vm : vms) {
        if (this->leavingSince.try_emplace(vm, this->clock.now()).second) {
            newVms.push_back(vm);
            this->leavingVms.add(vm);
        }
    }
    if (!newVms.empty()) {
        this->hooks.onLeavingVms(newVms);
    }
}

void Membership::reportLeaving(const std::vector<VmName> &vms)
{
    this->applyLeaving(vms);
}

void Membership::supersede(const Member &newcomer)
{
    // A socket belongs to one process: of two sessions with the same gossip address the earlier has ended, without any need to
    // suspect it first.
    std::vector<MemberUpdate> ended;
    std::vector<SessionNumber> uncertain;
    for (const auto &[session, entry] : this->table.entries()) {
        const bool isSame = entry.isDescribed && entry.member.gossip == newcomer.gossip && session != newcomer.session;
        if (!isSame || isDeparted(entry.member) || session == this->self) {
            continue;
        }
        if (this->options.sessionOrder == SessionOrder::Random) {
            uncertain.push_back(session);
        } else {
            const bool isOlder = session < newcomer.session;
            ended.push_back(updateOf(isOlder ? entry.member : newcomer));
        }
    }
    for (const SessionNumber session : uncertain) {
        if (!this->isProbing(session)) {
            this->probe(session);
        }
    }
    for (MemberUpdate &memberUpdate : ended) {
        memberUpdate.state = MemberState::Left;
        if (memberUpdate.session != this->self) {
            this->apply(memberUpdate);
        }
    }
}

void Membership::endReplacedSession(SessionNumber answered, SessionNumber expected)
{
    const MemberTable::Entry *const successor = this->table.find(answered);
    const MemberTable::Entry *const predecessor = this->table.find(expected);
    const bool isKnown = successor != nullptr && successor->isDescribed && predecessor != nullptr && predecessor->isDescribed;
    // A late answer to the process that previously had this node's address may have the same sequence number.
    if (!isKnown || isDeparted(predecessor->member) || successor->member.gossip != predecessor->member.gossip) {
        return;
    }
    MemberUpdate memberUpdate = updateOf(predecessor->member);
    memberUpdate.state = MemberState::Left;
    this->apply(memberUpdate);
    this->publish();
}

void Membership::loseSession(std::string_view reason)
{
    log(LogLevel::Warning,
        "session number lost",
        {{"session", static_cast<std::int64_t>(this->self.value())}, {"reason", std::string(reason)}});
    if (this->hooks.onSessionLost) {
        this->hooks.onSessionLost();
    }
}

void Membership::renew(SessionNumber next)
{
    if (this->hasLeft) {
        return;
    }
    this->newMembers.remove(this->self);
    this->changedMembers.remove(this->self);
    this->changedLoads.remove(this->self);
    this->table.renameOwn(next);
    this->self = next;
    this->newMembers.add(next);
    this->hasChanged = true;
    this->publish();
}

void Membership::refute(const MemberUpdate &memberUpdate)
{
    if (memberUpdate.state == MemberState::Left && !this->hasLeft) {
        this->loseSession("the other members regard the session as ended");
        return;
    }
    Member &own = this->table.own();
    const bool isRefutationNeeded = memberUpdate.incarnation >= own.incarnation
        && (memberUpdate.state != own.state || memberUpdate.incarnation > own.incarnation);
    if (!isRefutationNeeded || this->hasLeft) {
        return;
    }
    own.incarnation = memberUpdate.incarnation + 1;
    this->table.ownChanged();
    this->health.failed();
    this->changedMembers.add(this->self);
    this->hasChanged = true;
}

void Membership::update(const std::function<void(Member &)> &change)
{
    Member &own = this->table.own();
    const Member before = own;
    change(own);
    if (own.state == MemberState::Leaving) {
        own.state = MemberState::Alive;
        own.isLeaving = true;
    }
    const bool isVersionNew = own.configVersion != before.configVersion;
    const bool isLoadNew
        = own.backlog != before.backlog || own.backlogModels != before.backlogModels || own.pressure != before.pressure;
    if (isLoadNew || isVersionNew) {
        ++own.loadVersion;
        this->hasChanged = true;
        if (isLoadNew || this->table.otherCount() < maxMembersForVersionUpdates) {
            this->changedLoads.add(this->self);
        }
    }
    if (updateOf(own) != updateOf(before)) {
        ++own.incarnation;
        this->table.ownChanged();
        this->changedMembers.add(this->self);
        this->hasChanged = true;
    }
    // The node's own decisions use its new description at once.
    this->publishedAt = {};
    this->publish();
}

void Membership::leave()
{
    this->update([](Member &member) {
        member.state = MemberState::Left;
    });
    std::vector<const Member *> receivers;
    std::ranges::sample(this->table.others(), std::back_inserter(receivers), maxLeaveReceivers, this->random);
    for (const Member *const receiver : receivers) {
        Gossip leaveGossip;
        leaveGossip.digest = this->table.digest();
        leaveGossip.load = loadOf(this->table.own());
        leaveGossip.updates.push_back(updateOf(this->table.own()));
        this->hooks.sendPing(receiver->gossip, {this->self, ++this->lastSequence, leaveGossip});
    }
    this->hasLeft = true;
    this->scheduler.cancel(this->timer);
    this->scheduler.cancel(this->publishTimer);
    for (const auto &[sequence, probe] : this->probes) {
        this->scheduler.cancel(probe.timer);
    }
    this->probes.clear();
}

Gossip Membership::gossipFor(SessionNumber receiver)
{
    Gossip gossip;
    gossip.digest = this->table.digest();
    gossip.load = loadOf(this->table.own());
    const MemberTable::Entry *const entry = this->table.find(receiver);
    if (entry != nullptr && (entry->member.state == MemberState::Suspect || entry->member.state == MemberState::Dead)) {
        gossip.updates.push_back(this->updateToSend(entry->member));
    }
    const std::uint32_t transmissions = this->transmissions();
    for (const SessionNumber session : this->newMembers.selectNext(membersInDatagram, transmissions)) {
        if (const MemberTable::Entry *const reported = this->table.find(session); reported != nullptr && reported->isDescribed) {
            gossip.members.push_back(reported->member);
        }
    }
    for (const SessionNumber session : this->changedMembers.selectNext(updatesInDatagram, transmissions)) {
        if (const MemberTable::Entry *const reported = this->table.find(session)) {
            gossip.updates.push_back(this->updateToSend(reported->member));
        }
    }
    for (const SessionNumber session : this->changedLoads.selectNext(loadsInDatagram, transmissions / transmissionsPerDoubling)) {
        if (const MemberTable::Entry *const reported = this->table.find(session)) {
            gossip.loads.push_back(loadOf(reported->member));
        }
    }
    gossip.leavingVms = this->leavingVms.selectNext(vmsInDatagram, transmissions);
    return gossip;
}

MemberUpdate Membership::updateToSend(const Member &member) const
{
    MemberUpdate memberUpdate = updateOf(member);
    const auto suspectingMember = this->lastSuspectingMember.find(member.session);
    if (member.state == MemberState::Suspect && suspectingMember != this->lastSuspectingMember.end()) {
        memberUpdate.suspectedBy = suspectingMember->second;
    }
    return memberUpdate;
}

void Membership::publish()
{
    if (!this->hasChanged || !this->isViewDue()) {
        return;
    }
    this->hasChanged = false;
    this->publishedAt = this->clock.now();
    std::vector<Member> members;
    members.reserve(this->table.otherCount() + 1);
    for (const auto &[session, entry] : this->table.entries()) {
        if (isDeparted(entry.member)) {
            continue;
        }
        Member &member = members.emplace_back(entry.member);
        if (member.isLeaving) {
            member.state = MemberState::Leaving;
        }
    }
    this->currentView = std::make_shared<MemberView>(std::move(members), this->isMinority(), this->spreadTime());
    this->hooks.onChange(this->currentView);
}

bool Membership::isViewDue()
{
    const auto hundreds = static_cast<std::int64_t>(this->table.entries().size() / 100);
    const SteadyTime due = this->publishedAt + this->options.viewInterval * (1 + hundreds);
    const SteadyTime now = this->clock.now();
    if (now >= due) {
        return true;
    }
    if (this->publishTimer == 0) {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(due - now);
        this->publishTimer = this->scheduler.schedule(wait, [this] {
            this->publishTimer = 0;
            this->publish();
        });
    }
    return false;
}

bool Membership::isMinority() const
{
    const SteadyTime now = this->clock.now();
    /** Number of lost sessions by VM. */
    std::map<VmName, std::size_t> lost;
    for (const auto &[session, entry] : this->table.entries()) {
        if (entry.member.state == MemberState::Dead && now - entry.since < recentLossWindow) {
            ++lost[entry.member.vm];
        }
    }
    // Each new view is checked, and usually no member is lost.
    if (lost.empty()) {
        return false;
    }
    for (const auto &[session, entry] : this->table.entries()) {
        if (!isDeparted(entry.member) && !entry.member.vm.value().empty()) {
            lost.erase(entry.member.vm);
        }
    }
    std::size_t count = 0;
    for (const auto &[vm, sessions] : lost) {
        count += sessions;
    }
    return count > this->table.otherCount() + (isDeparted(this->table.own()) ? 0 : 1);
}

MemberViewPointer Membership::view() const
{
    return this->currentView;
}

std::chrono::milliseconds Membership::spreadTime() const
{
    return this->interval() * std::bit_width(this->table.otherCount() + 1);
}

bool Membership::hasReceivedFromOthers() const
{
    return this->hasReceived;
}

std::optional<SteadyTime> Membership::departedSince(SessionNumber session) const
{
    const MemberTable::Entry *const entry = this->table.find(session);
    return entry != nullptr && isDeparted(entry->member) ? std::optional(entry->since) : std::nullopt;
}

} // namespace Dogwoodkeel
