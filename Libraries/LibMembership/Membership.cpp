#include <LibMembership/Membership.h>

#include <LibBase/Log.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t relaysKept = 64;

bool isNewer(const Member &news, const Member &old)
{
    if (news.incarnation != old.incarnation) {
        return news.incarnation > old.incarnation;
    }
    return news.state > old.state;
}

} // namespace

Membership::Membership(const Clock &clock, Scheduler &scheduler, Options options, Member self, std::uint64_t seed, Hooks hooks)
    : clock(clock), scheduler(scheduler), options(options), self(self.session), hooks(std::move(hooks)), random(seed)
{
    this->known[this->self] = {std::move(self), 0, clock.now()};
    this->current = std::make_shared<MemberView>(std::vector<Member>{this->known.begin()->second.member});
}

Membership::~Membership()
{
    this->scheduler.cancel(this->timer);
    for (const auto &[sequence, probe] : this->probes) {
        this->scheduler.cancel(probe.timer);
    }
}

void Membership::start(const std::vector<Address> &contacts)
{
    this->contact(contacts);
    this->tick();
}

void Membership::contact(const std::vector<Address> &addresses)
{
    const Address &own = this->known.at(this->self).member.gossip;
    for (const Address &address : addresses) {
        if (address != own) {
            this->hooks.sendPing(address, {this->self, ++this->lastSequence, this->news()});
        }
    }
}

void Membership::tick()
{
    this->expireSuspects();
    if (this->round.empty()) {
        for (const Member *const member : this->reachable()) {
            this->round.push_back(member->session);
        }
        std::ranges::shuffle(this->round, this->random);
    }
    if (!this->round.empty()) {
        const SessionNumber target = this->round.back();
        this->round.pop_back();
        this->probe(target);
    }
    this->publish();
    this->timer = this->scheduler.schedule(this->options.probeInterval, [this] {
        this->tick();
    });
}

void Membership::probe(SessionNumber target)
{
    const auto found = this->known.find(target);
    if (found == this->known.end() || found->second.member.state == MemberState::Dead) {
        return;
    }
    const std::uint64_t sequence = ++this->lastSequence;
    this->probes[sequence] = {target, false, this->scheduler.schedule(this->options.probeTimeout, [this, sequence] {
                                  this->probeByOthers(sequence);
                              })};
    this->hooks.sendPing(found->second.member.gossip, {this->self, sequence, this->news()});
}

void Membership::probeByOthers(std::uint64_t sequence)
{
    Probe &probe = this->probes.at(sequence);
    probe.isIndirect = true;
    const Address target = this->known.at(probe.target).member.gossip;
    std::vector<const Member *> helpers = this->reachable();
    std::erase_if(helpers, [&probe](const Member *member) {
        return member->session == probe.target;
    });
    std::ranges::shuffle(helpers, this->random);
    helpers.resize(std::min(helpers.size(), this->options.helpers));
    for (const Member *const helper : helpers) {
        this->hooks.sendPingRequest(helper->gossip, {this->self, target, sequence});
    }
    probe.timer = this->scheduler.schedule(this->options.probeTimeout * 2, [this, sequence] {
        const SessionNumber target = this->probes.at(sequence).target;
        this->probes.erase(sequence);
        this->suspect(target);
    });
}

void Membership::suspect(SessionNumber target)
{
    const auto found = this->known.find(target);
    if (found == this->known.end() || found->second.member.state >= MemberState::Suspect) {
        return;
    }
    Member suspected = found->second.member;
    suspected.state = MemberState::Suspect;
    this->mergeOne(suspected);
    this->publish();
}

void Membership::expireSuspects()
{
    const SteadyTime now = this->clock.now();
    for (auto entry = this->known.begin(); entry != this->known.end();) {
        Known &known = entry->second;
        if (known.member.state == MemberState::Suspect && now - known.since >= this->options.suspicion) {
            Member dead = known.member;
            dead.state = MemberState::Dead;
            this->mergeOne(dead);
        }
        const bool isForgotten = known.member.state == MemberState::Dead && now - known.since >= this->options.forgetDead;
        entry = isForgotten ? this->known.erase(entry) : std::next(entry);
    }
}

void Membership::receive(const Address &from, const Ping &ping)
{
    this->merge(ping.members);
    this->hooks.sendPong(from, {this->self, ping.sequence, this->news()});
}

void Membership::receive(const Address &, const Pong &pong)
{
    this->merge(pong.members);
    if (const auto relay = this->relays.extract(pong.sequence); !relay.empty()) {
        this->hooks.sendPong(relay.mapped().asker, {pong.from, relay.mapped().sequence, this->news()});
        return;
    }
    const auto probe = this->probes.find(pong.sequence);
    if (probe != this->probes.end() && probe->second.target == pong.from) {
        this->scheduler.cancel(probe->second.timer);
        this->probes.erase(probe);
    }
}

void Membership::receive(const Address &from, const PingRequest &request)
{
    while (this->relays.size() >= relaysKept) {
        this->relays.erase(this->relays.begin());
    }
    const std::uint64_t sequence = ++this->lastSequence;
    this->relays[sequence] = {from, request.sequence};
    this->hooks.sendPing(request.target, {this->self, sequence, this->news()});
}

void Membership::merge(const std::vector<Member> &news)
{
    for (const Member &member : news) {
        this->mergeOne(member);
    }
    this->publish();
}

void Membership::mergeOne(const Member &news)
{
    if (news.session == this->self) {
        this->refute(news);
        return;
    }
    const auto [found, isNew] = this->known.try_emplace(news.session);
    Known &known = found->second;
    if (!isNew && !isNewer(news, known.member)) {
        return;
    }
    const bool stateChanged = isNew || known.member.state != news.state;
    if (stateChanged) {
        log(LogLevel::Info,
            "member changed",
            {{"session", static_cast<std::int64_t>(news.session.value())},
             {"member_vm", news.vm.value()},
             {"state", std::string(toString(news.state))}});
        known.since = this->clock.now();
    }
    known.member = news;
    known.told = 0;
    this->changed = true;
}

void Membership::refute(const Member &news)
{
    Member &own = this->known.at(this->self).member;
    const bool isWrong = news.incarnation >= own.incarnation && news.state != own.state;
    if (isWrong) {
        this->update([&news](Member &member) {
            member.incarnation = std::max(member.incarnation, news.incarnation);
        });
    }
}

void Membership::update(const std::function<void(Member &)> &change)
{
    Known &own = this->known.at(this->self);
    change(own.member);
    ++own.member.incarnation;
    own.told = 0;
    this->changed = true;
    this->publish();
}

std::vector<Member> Membership::news()
{
    // Those told least go first, so a change spreads at once and old knowledge fills the rest.
    std::vector<Known *> candidates;
    for (auto &[session, known] : this->known) {
        candidates.push_back(&known);
    }
    const std::size_t count = std::min(candidates.size(), this->options.newsPerDatagram);
    std::ranges::shuffle(candidates, this->random);
    std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count), {}, &Known::told);
    std::vector<Member> told;
    for (std::size_t i = 0; i < count; ++i) {
        ++candidates[i]->told;
        told.push_back(candidates[i]->member);
    }
    return told;
}

std::vector<const Member *> Membership::reachable() const
{
    std::vector<const Member *> members;
    for (const auto &[session, known] : this->known) {
        if (session != this->self && known.member.state != MemberState::Dead) {
            members.push_back(&known.member);
        }
    }
    return members;
}

void Membership::publish()
{
    if (!std::exchange(this->changed, false)) {
        return;
    }
    std::vector<Member> members;
    for (const auto &[session, known] : this->known) {
        if (known.member.state != MemberState::Dead) {
            members.push_back(known.member);
        }
    }
    this->current = std::make_shared<MemberView>(std::move(members));
    this->hooks.onChange(this->current);
}

MemberViewPointer Membership::view() const
{
    return this->current;
}

std::vector<Address> Membership::lostAddresses() const
{
    std::vector<Address> addresses;
    for (const auto &[session, known] : this->known) {
        if (known.member.state == MemberState::Dead) {
            addresses.push_back(known.member.gossip);
        }
    }
    return addresses;
}

} // namespace Dogwoodkeel
