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

constexpr std::size_t relaysKept = 64;
constexpr std::size_t contactsAtOnce = 8;
constexpr std::size_t farewells = 32;
constexpr std::size_t newsInDatagram = 12;
constexpr std::size_t membersInDatagram = 5;
constexpr std::size_t membersInPush = 20;
constexpr std::size_t departedInPush = 64;
constexpr std::size_t loadsInDatagram = 8;
constexpr std::size_t vmsInDatagram = 4;
/** Above this, a new configVersion is not news: it goes with the node's own probes and answers. */
constexpr std::size_t tellVersionsUpTo = 32;
constexpr std::uint32_t tellingsPerDoubling = 3;
constexpr std::uint32_t fewestTellings = 6;
constexpr std::size_t smallestTalk = 2;
/** How many times longer an unconfirmed suspicion lasts, and a node that hears nothing waits before it accuses. */
constexpr int unconfirmedFactor = 3;
constexpr int deafFactor = 5;
constexpr int pullFactor = 10;
constexpr int reconnectFactor = 25;
constexpr std::chrono::minutes lostFor{10};
constexpr std::chrono::minutes leavingKept{10};
constexpr std::chrono::minutes correctedKept{1};

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
    this->current = std::make_shared<MemberView>(std::vector<Member>{this->table.own()});
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
    this->changed = true;
    this->contacts = contacts;
    this->tick();
}

void Membership::contact(const std::vector<Address> &addresses)
{
    std::vector<Address> chosen;
    std::ranges::sample(addresses, std::back_inserter(chosen), contactsAtOnce, this->random);
    for (const Address &address : chosen) {
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
    this->table.forget(now - this->options.forgetDead);
    std::erase_if(this->leavingSince, [now](const auto &entry) {
        return now - entry.second > leavingKept;
    });
    std::erase_if(this->corrected, [now](const auto &entry) {
        return now - entry.second > correctedKept;
    });
    if (const SessionNumber target = this->nextTarget(); target.value() != 0) {
        this->probe(target);
    }
    if (this->table.otherCount() == 0) {
        // The first word to the others may have been lost.
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
    const auto stretched = this->options.probeInterval * nodes / static_cast<std::int64_t>(this->options.stretchFrom);
    const auto longest = std::max(this->options.probeInterval, this->options.longestProbeInterval);
    return std::clamp(stretched, this->options.probeInterval, longest) * this->health.factor();
}

std::chrono::milliseconds Membership::probeTimeout() const
{
    return this->options.probeTimeout * this->health.factor();
}

std::uint32_t Membership::tellings() const
{
    const std::size_t nodes = this->table.otherCount() + 1;
    return std::max(fewestTellings, tellingsPerDoubling * static_cast<std::uint32_t>(std::bit_width(nodes)));
}

bool Membership::wasPaused(SteadyTime due)
{
    // A node that was stopped for a while finds all its timers late at once, and would take the answers that lie unread
    // in its socket for missing: every member it was probing or suspecting would be accused by the one that was at fault.
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

bool Membership::isDeaf() const
{
    // Where several others are known and none is heard, the fault is more likely here. If the silence lasts, they are gone.
    const auto silence = this->clock.now() - this->lastReceived;
    const bool hasOthers = this->table.otherCount() >= smallestTalk;
    return hasOthers && silence > this->interval() * 2 && !this->isAlone();
}

bool Membership::isAlone() const
{
    return this->clock.now() - this->lastReceived >= this->options.suspicion * deafFactor;
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
        if (entry != nullptr && !isGone(entry->member) && !this->isProbing(target)) {
            return target;
        }
    }
    return {};
}

void Membership::reconnect()
{
    // Two sides of a partition hold each other dead and would never speak again; so one of the dead is tried now and then.
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
    std::vector<Address> chosen;
    std::ranges::sample(lost, std::back_inserter(chosen), 1, this->random);
    this->contact(chosen);
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
        this->probeByOthers(sequence);
    });
    this->probes[sequence] = {target, now, now + this->probeTimeout(), timeout};
    this->hooks.sendPing(this->table.find(target)->member.gossip, {this->self, sequence, this->gossipFor(target)});
}

void Membership::probeByOthers(std::uint64_t sequence)
{
    const auto found = this->probes.find(sequence);
    if (found == this->probes.end() || this->wasPaused(found->second.due)) {
        return;
    }
    Probe &probe = found->second;
    const MemberTable::Entry *const entry = this->table.find(probe.target);
    if (entry == nullptr || isGone(entry->member)) {
        this->probes.erase(sequence);
        return;
    }
    for (const Member *const helper : this->helpersFor(probe.target)) {
        this->hooks.sendPingRequest(helper->gossip, {this->self, entry->member.gossip, sequence});
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
    const bool hasWitness = this->lastReceived >= probe.started || this->table.otherCount() < smallestTalk;
    if (hasWitness) {
        this->accuse(probe.target);
    } else if (this->isAlone()) {
        // Each accusation is published, and who hears of it may change the table.
        std::vector<SessionNumber> silent;
        std::ranges::transform(this->table.others(), std::back_inserter(silent), &Member::session);
        for (const SessionNumber session : silent) {
            this->accuse(session);
        }
    }
}

std::vector<const Member *> Membership::helpersFor(SessionNumber target)
{
    std::vector<const Member *> helpers = this->table.others();
    std::erase_if(helpers, [target](const Member *member) {
        return member->session == target;
    });
    std::ranges::shuffle(helpers, this->random);
    helpers.resize(std::min(helpers.size(), this->options.helpers));
    return helpers;
}

std::vector<const Member *> Membership::confirmersOf(SessionNumber target) const
{
    // The same few for every accuser, so that a suspicion costs few probes however many hear of it.
    std::vector<const Member *> members = this->table.others();
    members.push_back(&this->table.own());
    std::erase_if(members, [target](const Member *member) {
        return member->session == target;
    });
    const std::size_t count = std::min(members.size(), this->options.helpers + 1);
    std::ranges::partial_sort(
        members, members.begin() + static_cast<std::ptrdiff_t>(count), std::ranges::greater(), [target](const Member *member) {
            return rendezvousWeight(target.value(), member->session.value());
        });
    members.resize(count);
    return members;
}

void Membership::accuse(SessionNumber target)
{
    const MemberTable::Entry *const entry = this->table.find(target);
    if (entry == nullptr || isGone(entry->member)) {
        return;
    }
    MemberNews news = newsOf(entry->member);
    news.state = MemberState::Suspect;
    news.accuser = this->self;
    this->take(news);
    this->publish();
}

void Membership::startSuspicion(const MemberNews &news)
{
    const SessionNumber target = news.session;
    const std::vector<const Member *> confirmers = this->confirmersOf(target);
    const std::size_t expected = this->isAlone() ? 0 : std::min(confirmers.size() - 1, this->options.helpers);
    const Suspicion::Options times{this->options.suspicion, this->options.suspicion * unconfirmedFactor, expected};
    this->stopSuspicion(target);
    this->suspected.emplace(target, Suspected{Suspicion(this->clock.now(), news.accuser, times), {}, 0});
    this->lastAccuser[target] = news.accuser;
    this->scheduleDeath(target);
    if (news.accuser == this->self) {
        this->tellConfirmers(target);
        return;
    }
    const bool isAsked = std::ranges::find(confirmers, this->self, &Member::session) != confirmers.end();
    if (isAsked && !this->isProbing(target)) {
        // A look of its own either confirms or lets the member hear of it and refute.
        this->probe(target);
    }
}

void Membership::tellConfirmers(SessionNumber target)
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
    if (this->isDeaf()) {
        found->second.suspicion.extend(this->interval());
        this->scheduleDeath(target);
        return;
    }
    MemberNews news = newsOf(entry->member);
    news.state = MemberState::Dead;
    this->take(news);
    this->publish();
}

void Membership::stopSuspicion(SessionNumber target)
{
    const auto found = this->suspected.find(target);
    if (found != this->suspected.end()) {
        this->scheduler.cancel(found->second.timer);
        this->suspected.erase(found);
    }
    this->lastAccuser.erase(target);
}

void Membership::receive(const Address &from, const Ping &ping)
{
    if (this->hasLeft) {
        return;
    }
    this->receiveGossip(ping.from, ping.gossip);
    this->hooks.sendPong(from, {this->self, ping.sequence, this->gossipFor(ping.from)});
    this->tellNamesake(from, ping);
    this->compare(from, ping.gossip.digest);
    this->publish();
}

void Membership::tellNamesake(const Address &from, const Ping &ping)
{
    // Two nodes with one number: the one that is heard here is not the one that is known here.
    if (ping.from == this->self) {
        if (from != this->table.own().gossip) {
            this->loseSession("another node has the same number");
        }
        return;
    }
    const MemberTable::Entry *const entry = this->table.find(ping.from);
    const bool isKnownElsewhere = entry != nullptr && entry->isDescribed && entry->member.gossip != from;
    if (isKnownElsewhere) {
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
    if (const auto relay = this->relays.extract(pong.sequence); !relay.empty()) {
        this->hooks.sendPong(relay.mapped().asker, {pong.from, relay.mapped().sequence, this->gossipFor(SessionNumber(0))});
        return;
    }
    const auto probe = this->probes.find(pong.sequence);
    if (probe != this->probes.end() && probe->second.target == pong.from) {
        this->scheduler.cancel(probe->second.timer);
        this->probes.erase(probe);
        this->health.succeeded();
    } else if (probe != this->probes.end()) {
        this->takeHolder(pong.from, probe->second.target);
    }
    this->correct(pong.from);
    this->compare(from, pong.gossip.digest);
}

void Membership::receive(const Address &from, const PingRequest &request)
{
    if (this->hasLeft) {
        return;
    }
    this->lastReceived = this->clock.now();
    while (this->relays.size() >= relaysKept) {
        this->relays.erase(this->relays.begin());
    }
    const std::uint64_t sequence = ++this->lastSequence;
    this->relays[sequence] = {from, request.sequence};
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
        if (!isGone(entry.member)) {
            push.members.push_back(entry.member);
        } else if (push.departed.size() < departedInPush) {
            push.departed.push_back(newsOf(entry.member));
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
    for (const MemberNews &departed : push.departed) {
        this->take(departed);
    }
    for (const Member &member : push.members) {
        this->take(member);
        // All that differs between two views is exchanged at once: passed on as news as well, a fleet that forms would be
        // busy for a minute with what everybody knows.
        this->newMembers.remove(member.session);
        const MemberTable::Entry *const entry = this->table.find(member.session);
        if (entry != nullptr && isGone(entry->member)) {
            // The other side has not heard that this one is gone.
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
        this->take(member);
    }
    for (const MemberNews &news : gossip.news) {
        this->take(news);
    }
    this->take(gossip.load);
    for (const MemberLoad &load : gossip.loads) {
        this->take(load);
    }
    this->takeLeaving(gossip.leavingVms);
}

void Membership::compare(const Address &with, std::uint32_t digest)
{
    const SteadyTime now = this->clock.now();
    if (digest == this->table.digest() || now < this->nextPull) {
        return;
    }
    const bool isJoining = this->table.otherCount() < smallestTalk;
    this->nextPull = now + (isJoining ? this->options.probeTimeout : this->interval() * pullFactor);
    const auto &digests = this->table.digests();
    this->hooks.sendPull(with, {this->self, {digests.begin(), digests.end()}});
}

void Membership::correct(SessionNumber session)
{
    const MemberTable::Entry *const entry = this->table.find(session);
    const bool isWronged = entry != nullptr && entry->isDescribed
        && (entry->member.state == MemberState::Suspect || entry->member.state == MemberState::Dead);
    const SteadyTime now = this->clock.now();
    if (!isWronged || now - this->corrected[session] < this->options.probeTimeout) {
        return;
    }
    // It answers and is held dead: told so, it refutes. Without this two sides of a partition would not meet again.
    this->corrected[session] = now;
    this->hooks.sendPing(entry->member.gossip, {this->self, ++this->lastSequence, this->gossipFor(session)});
}

void Membership::take(const Member &reported)
{
    if (reported.session == this->self && reported.gossip != this->table.own().gossip) {
        this->loseSession("another node has the same number");
        return;
    }
    if (reported.session == this->self || !isValid(reported.state)) {
        this->take(newsOf(reported));
        return;
    }
    const MemberTable::Entry *const before = this->table.find(reported.session);
    if (before != nullptr && before->isDescribed) {
        this->take(newsOf(reported));
        this->take(loadOf(reported));
        return;
    }
    if (this->table.merge(reported, this->clock.now()) != MergeResult::Changed) {
        return;
    }
    this->changed = true;
    const Member &member = this->table.find(reported.session)->member;
    if (isGone(member)) {
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
        this->startSuspicion(newsOf(reported));
    }
}

void Membership::take(const MemberNews &reported)
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
        && reported.incarnation == entry->member.incarnation && reported.accuser.value() != 0;
    if (isConfirmation) {
        if (suspected->second.suspicion.confirm(reported.accuser)) {
            this->lastAccuser[reported.session] = reported.accuser;
            this->changedMembers.add(reported.session);
            this->scheduleDeath(reported.session);
            if (reported.accuser == this->self) {
                this->tellConfirmers(reported.session);
            }
        }
        return;
    }
    if (this->table.merge(reported, this->clock.now()) != MergeResult::Changed) {
        return;
    }
    this->changed = true;
    this->changedMembers.add(reported.session);
    if (before != reported.state) {
        log(LogLevel::Info,
            "member changed",
            {{"session", static_cast<std::int64_t>(reported.session.value())},
             {"member_vm", this->table.find(reported.session)->member.vm.value()},
             {"accuser", static_cast<std::int64_t>(reported.accuser.value())},
             {"state", std::string(toString(reported.state))}});
    }
    if (reported.state != MemberState::Suspect) {
        this->stopSuspicion(reported.session);
        return;
    }
    this->startSuspicion(reported);
}

void Membership::take(const MemberLoad &reported)
{
    if (reported.session != this->self && this->table.merge(reported) == MergeResult::Changed) {
        this->changed = true;
    }
}

void Membership::takeLeaving(const std::vector<VmName> &vms)
{
    std::vector<VmName> fresh;
    for (const VmName &vm : vms) {
        if (this->leavingSince.try_emplace(vm, this->clock.now()).second) {
            fresh.push_back(vm);
            this->leavingVms.add(vm);
        }
    }
    if (!fresh.empty()) {
        this->hooks.onLeavingVms(fresh);
    }
}

void Membership::reportLeaving(const std::vector<VmName> &vms)
{
    this->takeLeaving(vms);
}

void Membership::supersede(const Member &newcomer)
{
    // A socket belongs to one process: of two sessions with one gossip address the earlier is over, and need not be
    // suspected first.
    std::vector<MemberNews> over;
    std::vector<SessionNumber> doubtful;
    for (const auto &[session, entry] : this->table.entries()) {
        const bool isSame = entry.isDescribed && entry.member.gossip == newcomer.gossip && session != newcomer.session;
        if (!isSame || isGone(entry.member) || session == this->self) {
            continue;
        }
        if (this->options.sessionOrder == SessionOrder::Random) {
            doubtful.push_back(session);
        } else {
            const bool isOlder = session < newcomer.session;
            over.push_back(newsOf(isOlder ? entry.member : newcomer));
        }
    }
    for (const SessionNumber session : doubtful) {
        if (!this->isProbing(session)) {
            this->probe(session);
        }
    }
    for (MemberNews &news : over) {
        news.state = MemberState::Left;
        if (news.session != this->self) {
            this->take(news);
        }
    }
}

void Membership::takeHolder(SessionNumber answered, SessionNumber expected)
{
    const MemberTable::Entry *const holder = this->table.find(answered);
    const MemberTable::Entry *const former = this->table.find(expected);
    const bool isKnown = holder != nullptr && holder->isDescribed && former != nullptr && former->isDescribed;
    // The same sequence may also stand in a late answer to the process that had this node's address before.
    if (!isKnown || isGone(former->member) || holder->member.gossip != former->member.gossip) {
        return;
    }
    MemberNews news = newsOf(former->member);
    news.state = MemberState::Left;
    this->take(news);
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
    this->changed = true;
    this->publish();
}

void Membership::refute(const MemberNews &news)
{
    if (news.state == MemberState::Left && !this->hasLeft) {
        this->loseSession("the others hold it over");
        return;
    }
    Member &own = this->table.own();
    const bool isWrong = news.incarnation >= own.incarnation && (news.state != own.state || news.incarnation > own.incarnation);
    if (!isWrong || this->hasLeft) {
        return;
    }
    own.incarnation = news.incarnation + 1;
    this->table.ownChanged();
    this->health.failed();
    this->changedMembers.add(this->self);
    this->changed = true;
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
        this->changed = true;
        if (isLoadNew || this->table.otherCount() < tellVersionsUpTo) {
            this->changedLoads.add(this->self);
        }
    }
    if (newsOf(own) != newsOf(before)) {
        ++own.incarnation;
        this->table.ownChanged();
        this->changedMembers.add(this->self);
        this->changed = true;
    }
    // What this node says of itself counts for its own decisions at once.
    this->published = {};
    this->publish();
}

void Membership::leave()
{
    this->update([](Member &member) {
        member.state = MemberState::Left;
    });
    std::vector<const Member *> hearers;
    std::ranges::sample(this->table.others(), std::back_inserter(hearers), farewells, this->random);
    for (const Member *const hearer : hearers) {
        Gossip farewell;
        farewell.digest = this->table.digest();
        farewell.load = loadOf(this->table.own());
        farewell.news.push_back(newsOf(this->table.own()));
        this->hooks.sendPing(hearer->gossip, {this->self, ++this->lastSequence, farewell});
    }
    this->hasLeft = true;
    this->scheduler.cancel(this->timer);
    this->scheduler.cancel(this->publishTimer);
    for (const auto &[sequence, probe] : this->probes) {
        this->scheduler.cancel(probe.timer);
    }
    this->probes.clear();
}

Gossip Membership::gossipFor(SessionNumber hearer)
{
    Gossip gossip;
    gossip.digest = this->table.digest();
    gossip.load = loadOf(this->table.own());
    const MemberTable::Entry *const entry = this->table.find(hearer);
    if (entry != nullptr && (entry->member.state == MemberState::Suspect || entry->member.state == MemberState::Dead)) {
        gossip.news.push_back(this->tellable(entry->member));
    }
    const std::uint32_t tellings = this->tellings();
    for (const SessionNumber session : this->newMembers.take(membersInDatagram, tellings)) {
        if (const MemberTable::Entry *const reported = this->table.find(session); reported != nullptr && reported->isDescribed) {
            gossip.members.push_back(reported->member);
        }
    }
    for (const SessionNumber session : this->changedMembers.take(newsInDatagram, tellings)) {
        if (const MemberTable::Entry *const reported = this->table.find(session)) {
            gossip.news.push_back(this->tellable(reported->member));
        }
    }
    for (const SessionNumber session : this->changedLoads.take(loadsInDatagram, tellings / tellingsPerDoubling)) {
        if (const MemberTable::Entry *const reported = this->table.find(session)) {
            gossip.loads.push_back(loadOf(reported->member));
        }
    }
    gossip.leavingVms = this->leavingVms.take(vmsInDatagram, tellings);
    return gossip;
}

MemberNews Membership::tellable(const Member &member) const
{
    MemberNews news = newsOf(member);
    const auto accuser = this->lastAccuser.find(member.session);
    if (member.state == MemberState::Suspect && accuser != this->lastAccuser.end()) {
        news.accuser = accuser->second;
    }
    return news;
}

void Membership::publish()
{
    if (!this->changed || !this->isViewDue()) {
        return;
    }
    this->changed = false;
    this->published = this->clock.now();
    std::vector<Member> members;
    members.reserve(this->table.otherCount() + 1);
    for (const auto &[session, entry] : this->table.entries()) {
        if (isGone(entry.member)) {
            continue;
        }
        Member &member = members.emplace_back(entry.member);
        if (member.isLeaving) {
            member.state = MemberState::Leaving;
        }
    }
    this->current = std::make_shared<MemberView>(std::move(members), this->isMinority(), this->spreadTime());
    this->hooks.onChange(this->current);
}

bool Membership::isViewDue()
{
    const auto hundreds = static_cast<std::int64_t>(this->table.entries().size() / 100);
    const SteadyTime due = this->published + this->options.viewInterval * (1 + hundreds);
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
    /** Sessions that were lost, by their VMs. */
    std::map<VmName, std::size_t> lost;
    for (const auto &[session, entry] : this->table.entries()) {
        if (entry.member.state == MemberState::Dead && now - entry.since < lostFor) {
            ++lost[entry.member.vm];
        }
    }
    // Mostly nobody is lost, and each new view asks.
    if (lost.empty()) {
        return false;
    }
    for (const auto &[session, entry] : this->table.entries()) {
        if (!isGone(entry.member) && !entry.member.vm.value().empty()) {
            lost.erase(entry.member.vm);
        }
    }
    std::size_t count = 0;
    for (const auto &[vm, sessions] : lost) {
        count += sessions;
    }
    return count > this->table.otherCount() + (isGone(this->table.own()) ? 0 : 1);
}

MemberViewPointer Membership::view() const
{
    return this->current;
}

std::chrono::milliseconds Membership::spreadTime() const
{
    return this->interval() * std::bit_width(this->table.otherCount() + 1);
}

bool Membership::hasHeardOthers() const
{
    return this->hasReceived;
}

std::optional<SteadyTime> Membership::departedSince(SessionNumber session) const
{
    const MemberTable::Entry *const entry = this->table.find(session);
    return entry != nullptr && isGone(entry->member) ? std::optional(entry->since) : std::nullopt;
}

} // namespace Dogwoodkeel
