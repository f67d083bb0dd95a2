#include <Services/Gateway/QuotaService.h>

#include <LibBase/Log.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Longer than a question is repeated, or travels. */
constexpr std::chrono::milliseconds answersRetained{2000};
constexpr std::chrono::milliseconds cleanInterval{500};
constexpr std::chrono::milliseconds handoverRetained{1000};
/** Entries of one datagram; with names of some tens of bytes it stays below what a network carries whole. */
constexpr std::size_t restsAtOnce = 24;
/** A node that has met nobody by then is the only one. */
constexpr std::chrono::milliseconds aloneAfter{3000};
/**
 * A counter that receives nothing for so long is cut off from all others: these have another one by then or soon, and two would
 * each grant the whole limit. Before that it asks others for a sign of life.
 */
constexpr std::chrono::milliseconds touchLostAfter{400};
constexpr std::chrono::milliseconds probeAfter{200};
constexpr std::chrono::milliseconds probeInterval{100};
/** A machine that stood still for longer has most likely lost its duty without knowing it. */
constexpr std::chrono::milliseconds longestPause{200};

/** After a refusal, quotas are used up, and it matters at once if another part of the fleet counts for itself. */
constexpr std::chrono::seconds pressedTime{2};

/** How often those are left out that were lost too long ago; a change of the members is taken at once. */
constexpr std::chrono::milliseconds othersInterval{1000};

/** For the log: below the one a part of the fleet is cut off, above the other none is. The estimate moves between them. */
constexpr double cutShare = 0.6;
constexpr double wholeShare = 0.9;

QuotaAnswer answerOf(QuotaClient::Ticket ticket, const QuotaDecision &decision)
{
    return {ticket, decision.kind == QuotaDecision::Kind::Granted, decision.retryAfter};
}

} // namespace

QuotaService::QuotaService(const Clock &clock, PeerNetwork &peers, CoordinatorElections &duties, const QuotaBounds &bounds)
    : clock(clock)
    , peers(peers)
    , duties(duties)
    , bounds(bounds)
    , started(clock.now())
    , view(peers.roleView())
    , suspended(clock.suspended())
    , asker(clock,
            bounds,
            {.sendQuery =
                 [this](const CounterQuery &question, QuotaClient::Counter counter) {
                     return this->askCounter(question, counter);
                 },
             .suspectCoordinator =
                 [this](std::size_t number) {
                     const std::string &duty = this->parts[number].duty;
                     log(LogLevel::Warning, "counter of quotas does not answer", {{"duty", duty}});
                     this->duties.suspectCoordinator(duty);
                 }})
    , recent(clock)
    , contact(clock, peers.self().value(), [this](const Address &other) {
        this->duties.probe(other, this->parts.front().duty);
    })
{
    for (std::size_t number = 0; number < this->parts.size(); ++number) {
        this->parts[number].duty = "quota/" + std::to_string(number);
    }
}

void QuotaService::start()
{
    for (std::size_t number = 0; number < this->parts.size(); ++number) {
        this->duties.follow(this->parts[number].duty, [this, number](const CoordinatorElections::Change &move) {
            this->handOver(number, move);
        });
    }
}

QuotaClient::Ticket QuotaService::ask(const Workspace &workspace, std::uint64_t version, QuotaClient::DecisionHandler decided)
{
    return this->asker.query(workspace.name, workspace.quota, version, std::move(decided));
}

void QuotaService::cancel(QuotaClient::Ticket ticket)
{
    this->asker.cancel(ticket);
}

bool QuotaService::askCounter(const CounterQuery &question, QuotaClient::Counter counter)
{
    const std::size_t number = quotaPartOf(question.workspace);
    const std::string &duty = this->parts[number].duty;
    const bool isToSuccessor = counter == QuotaClient::Counter::Successor;
    const Member *const member = isToSuccessor ? this->duties.successor(duty) : this->duties.coordinator(duty);
    if (member == nullptr) {
        return false;
    }
    if (member->session == this->peers.self()) {
        if (this->isOutOfTouch() || !this->mayCount(duty)) {
            return false;
        }
        this->asker.handleAnswer(question.ticket, this->count(number, {this->peers.self(), question.ticket}, question));
        return true;
    }
    QuotaAsk ask;
    ask.from = this->peers.self();
    ask.ticket = question.ticket;
    ask.workspace = question.workspace;
    ask.perSecond = question.quota.perSecond;
    ask.burst = question.quota.burst;
    ask.version = question.version;
    ask.isToSuccessor = isToSuccessor;
    this->peers.datagrams().send(member->gossip, ask);
    return true;
}

bool QuotaService::receive(const Datagram &datagram)
{
    if (datagram.number == QuotaAsk::number) {
        if (const auto ask = decode<QuotaAsk>(datagram.payload)) {
            this->receive(datagram, *ask);
        }
        return true;
    }
    if (datagram.number == QuotaAnswer::number) {
        if (const auto answer = decode<QuotaAnswer>(datagram.payload)) {
            const auto kind = answer->isGranted ? QuotaDecision::Kind::Granted : QuotaDecision::Kind::OverLimit;
            this->asker.handleAnswer(answer->ticket, {kind, answer->retryAfter});
        }
        return true;
    }
    if (datagram.number == QuotaHandover::number) {
        if (const auto handover = decode<QuotaHandover>(datagram.payload)) {
            this->receive(*handover);
        }
        return true;
    }
    return false;
}

void QuotaService::receive(const Datagram &datagram, const QuotaAsk &ask)
{
    const std::size_t number = quotaPartOf(ask.workspace);
    const std::string &duty = this->parts[number].duty;
    const bool isPassedOn = ask.replyTo != Address();
    const Member *const other = isPassedOn || ask.isToSuccessor ? nullptr : this->duties.remoteCoordinator(duty);
    if (other != nullptr) {
        // Who asks does not know the holder yet. Were it answered here, two would count the same workspace.
        QuotaAsk passed = ask;
        passed.replyTo = datagram.from;
        this->peers.datagrams().send(other->gossip, passed);
        this->duties.sendClaim(datagram.from, duty);
        return;
    }
    if (!this->mayCount(duty)) {
        return;
    }
    const CounterQuery question{ask.ticket, ask.workspace, {ask.perSecond, ask.burst}, ask.version};
    const QuotaDecision decision = this->count(number, {ask.from, ask.ticket}, question);
    this->peers.datagrams().send(isPassedOn ? ask.replyTo : datagram.from, answerOf(ask.ticket, decision));
}

QuotaDecision QuotaService::count(std::size_t number, const QuestionId &id, const CounterQuery &question)
{
    Part &part = this->parts[number];
    const auto known = part.answered.find(id);
    if (known != part.answered.end()) {
        return known->second;
    }
    const QuotaDecision decision = this->counterOf(part).tryAcquire(question.workspace, question.quota, question.version);
    if (decision.kind == QuotaDecision::Kind::OverLimit) {
        this->refused = this->clock.now();
    }
    part.answered.emplace(id, decision);
    part.answeredOrder.emplace_back(this->clock.now(), id);
    return decision;
}

QuotaCounter &QuotaService::counterOf(Part &part)
{
    if (!part.counter) {
        const auto beginning = this->duties.isClaimed(part.duty) ? QuotaCounter::StartReason::CoordinatorUnresponsive
                                                                 : QuotaCounter::StartReason::NoClaim;
        part.counter = std::make_unique<QuotaCounter>(this->clock, this->bounds, beginning);
        if (this->share) {
            part.counter->setShare(*this->share);
        }
    }
    if (this->duties.isClaimedLocally(part.duty) || this->isAlone()) {
        part.counter->confirm();
        this->takeHandover(part);
    }
    return *part.counter;
}

// While a fleet starts, each node sees a few others, and many would count for themselves.
bool QuotaService::mayCount(const std::string &duty) const
{
    return this->duties.isClaimed(duty) || this->isAlone();
}

bool QuotaService::isAlone() const
{
    const bool isSure = !this->peers.hasSeeds() || this->clock.now() - this->started > aloneAfter;
    return this->view->members().size() <= 1 && isSure;
}

void QuotaService::handOver(std::size_t number, const CoordinatorElections::Change &move)
{
    Part &part = this->parts[number];
    this->asker.handleCoordinatorChange(number);
    if (move.former != this->peers.self() || !part.counter) {
        return;
    }
    const Member *const next = this->duties.remoteCoordinator(part.duty);
    if (next != nullptr && move.isHandedOver) {
        const std::vector<QuotaLevel> levels = part.counter->levels();
        const std::size_t datagrams = std::max<std::size_t>(1, (levels.size() + restsAtOnce - 1) / restsAtOnce);
        for (std::size_t index = 0; index < datagrams; ++index) {
            QuotaHandover handover;
            handover.from = this->peers.self();
            handover.part = static_cast<std::uint32_t>(number);
            handover.index = static_cast<std::uint32_t>(index);
            handover.count = static_cast<std::uint32_t>(datagrams);
            const std::size_t end = std::min(levels.size(), (index + 1) * restsAtOnce);
            for (std::size_t place = index * restsAtOnce; place < end; ++place) {
                handover.rests.push_back({levels[place].workspace, levels[place].level});
            }
            this->peers.datagrams().send(next->gossip, handover);
        }
        log(LogLevel::Info,
            "counter of quotas handed over",
            {{"duty", part.duty}, {"to_vm", next->vm.value()}, {"workspaces", static_cast<std::int64_t>(levels.size())}});
    }
    part.counter.reset();
}

void QuotaService::receive(const QuotaHandover &handover)
{
    if (handover.part >= this->parts.size()) {
        return;
    }
    Part &part = this->parts[handover.part];
    std::erase_if(part.handover, [&handover](const auto &entry) {
        return entry.second.from != handover.from || entry.second.count != handover.count;
    });
    part.handover.insert_or_assign(handover.index, handover);
    part.handoverReceived = this->clock.now();
    if (this->duties.isClaimedLocally(part.duty)) {
        this->counterOf(part);
    }
}

void QuotaService::takeHandover(Part &part)
{
    if (part.handover.empty() || part.handover.size() < part.handover.begin()->second.count) {
        return;
    }
    // One that comes long before the claim tells of a duty that somebody else took.
    const bool isCurrent = this->clock.now() - part.handoverReceived < handoverRetained;
    std::vector<QuotaLevel> levels;
    for (const auto &[index, received] : part.handover) {
        for (const QuotaRest &rest : received.rests) {
            levels.push_back({rest.workspace, rest.level});
        }
    }
    part.handover.clear();
    if (isCurrent) {
        part.counter->restoreLevels(levels);
    }
}

bool QuotaService::isOutOfTouch() const
{
    return this->view->members().size() > 1 && this->clock.now() - this->peers.lastReceived() > touchLostAfter;
}

void QuotaService::watchTouch()
{
    const SteadyTime now = this->clock.now();
    const std::chrono::nanoseconds paused = this->clock.suspended() - this->suspended;
    this->suspended += paused;
    if (paused > longestPause) {
        this->dropCounters("the machine stood still");
    } else if (this->isOutOfTouch()) {
        this->dropCounters("no other node answers");
    }
    const auto inUse = std::ranges::find_if(this->parts, [](const Part &part) {
        return part.counter != nullptr;
    });
    if (inUse != this->parts.end() && now - this->peers.lastReceived() > probeAfter && now >= this->nextProbe) {
        this->nextProbe = now + probeInterval;
        this->duties.probeSomeMembers(inUse->duty);
    }
}

// Beside a part of the fleet that is cut off from this one, each grants its share: both may have a counter.
void QuotaService::watchContact()
{
    const bool isCounting = std::ranges::any_of(this->parts, [](const Part &part) {
        return part.counter != nullptr;
    });
    if (!isCounting) {
        return;
    }
    const SteadyTime now = this->clock.now();
    if (now >= this->nextOthers) {
        this->nextOthers = now + othersInterval;
        this->contact.setOthers(this->recent.others());
    }
    const bool isPressed = now - this->refused < pressedTime;
    this->contact.tick(isPressed ? ReachabilityEstimator::Pace::Fast : ReachabilityEstimator::Pace::Normal);
    const std::optional<double> measured = this->contact.share();
    if (!measured || measured == this->share) {
        return;
    }
    if (this->isCut ? *measured > wholeShare : *measured < cutShare) {
        this->isCut = !this->isCut;
        log(LogLevel::Info,
            this->isCut ? "a part of the fleet is cut off" : "no part of the fleet is cut off",
            {{"share", *measured}, {"members", static_cast<std::int64_t>(this->view->members().size())}});
    }
    this->share = measured;
    for (Part &part : this->parts) {
        if (part.counter) {
            part.counter->setShare(*measured);
        }
    }
}

void QuotaService::dropCounters(std::string_view reason)
{
    for (Part &part : this->parts) {
        if (part.counter) {
            log(LogLevel::Warning, "counter of quotas dropped", {{"duty", part.duty}, {"reason", std::string(reason)}});
            part.counter.reset();
        }
    }
}

void QuotaService::setView(const MemberViewPointer &view)
{
    this->view = view;
    this->recent.update(*view, this->peers.self());
    this->nextOthers = {};
}

void QuotaService::noteReceived(const Address &from)
{
    this->contact.receive(from);
}

void QuotaService::tick()
{
    this->watchTouch();
    this->watchContact();
    this->asker.tick();
    bool isInTouch = false;
    for (std::size_t number = 0; number < this->parts.size(); ++number) {
        this->clean(this->parts[number]);
        isInTouch = isInTouch || this->asker.hasRecentAnswer(number);
    }
    if (!isInTouch) {
        return;
    }
    const std::vector<Member> &members = this->view->members();
    const auto before = std::ranges::count_if(members, [this](const Member &member) {
        return member.session < this->peers.self();
    });
    this->asker.setNodes(static_cast<std::size_t>(before), members.size());
}

void QuotaService::clean(Part &part)
{
    const SteadyTime now = this->clock.now();
    if (now < part.nextClean) {
        return;
    }
    part.nextClean = now + cleanInterval;
    while (!part.answeredOrder.empty() && now - part.answeredOrder.front().first > answersRetained) {
        part.answered.erase(part.answeredOrder.front().second);
        part.answeredOrder.pop_front();
    }
    if (part.counter) {
        part.counter->removeUnused();
    }
}

std::uint64_t QuotaService::decidedAlone() const
{
    return this->asker.decidedLocally();
}

std::size_t QuotaService::counted() const
{
    std::size_t sum = 0;
    for (const Part &part : this->parts) {
        sum += part.counter ? part.counter->size() : 0;
    }
    return sum;
}

} // namespace Dogwoodkeel
