#include <Services/Gateway/QuotaService.h>

#include <LibBase/Log.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Longer than a query is repeated or in transit. */
constexpr std::chrono::milliseconds answersRetained{2000};
constexpr std::chrono::milliseconds cleanInterval{500};
constexpr std::chrono::milliseconds handoverRetained{1000};
/** Max levels in one datagram; with names of some tens of bytes it is sent without fragmentation. */
constexpr std::size_t maxLevelsPerDatagram = 24;
/** A node that has found no other after this time is the only one. */
constexpr std::chrono::milliseconds aloneTimeout{3000};
/**
 * A counter that receives nothing for this long is cut off from all other nodes. These have another counter by then or soon, and
 * each of the two would grant the whole limit. Before that it probes other members.
 */
constexpr std::chrono::milliseconds isolatedAfter{400};
constexpr std::chrono::milliseconds probeAfter{200};
constexpr std::chrono::milliseconds probeInterval{100};
/** A machine that was suspended for longer has most likely lost its role without knowing it. */
constexpr std::chrono::milliseconds maxSuspension{200};

/** For this long after a refusal quotas are used up, and a partition of the fleet must be detected faster. */
constexpr std::chrono::seconds refusalPeriod{2};

/** Interval at which members lost too long ago are left out; a change of the members is applied at once. */
constexpr std::chrono::milliseconds recentMembersInterval{1000};

/** For the log: below the first share a part of the fleet is cut off, above the second none is. The estimate
 * fluctuates between them. */
constexpr double partitionedShare = 0.6;
constexpr double wholeShare = 0.9;

QuotaAnswer answerOf(QuotaClient::Ticket ticket, const QuotaDecision &decision)
{
    return {ticket, decision.kind == QuotaDecision::Kind::Granted, decision.retryAfter};
}

} // namespace

QuotaService::QuotaService(const Clock &clock, PeerNetwork &peers, CoordinatorElections &elections, const QuotaBounds &bounds)
    : clock(clock)
    , peers(peers)
    , elections(elections)
    , bounds(bounds)
    , started(clock.now())
    , view(peers.roleView())
    , suspended(clock.suspended())
    , asker(clock,
            bounds,
            {.sendQuery =
                 [this](const CounterQuery &question, QuotaClient::Counter counter) {
                     return this->queryCounter(question, counter);
                 },
             .suspectCoordinator =
                 [this](std::size_t number) {
                     const std::string &role = this->parts[number].role;
                     log(LogLevel::Warning, "counter of quotas does not answer", {{"duty", role}});
                     this->elections.suspectCoordinator(role);
                 }})
    , recent(clock)
    , reachability(clock, peers.self().value(), [this](const Address &other) {
        this->elections.probe(other, this->parts.front().role);
    })
{
    for (std::size_t number = 0; number < this->parts.size(); ++number) {
        this->parts[number].role = "quota/" + std::to_string(number);
    }
}

void QuotaService::start()
{
    for (std::size_t number = 0; number < this->parts.size(); ++number) {
        this->elections.follow(this->parts[number].role, [this, number](const CoordinatorElections::Change &change) {
            this->handOver(number, change);
        });
    }
}

QuotaClient::Ticket QuotaService::request(const Workspace &workspace, std::uint64_t version, QuotaClient::DecisionHandler decided)
{
    return this->asker.query(workspace.name, workspace.quota, version, std::move(decided));
}

void QuotaService::cancel(QuotaClient::Ticket ticket)
{
    this->asker.cancel(ticket);
}

bool QuotaService::queryCounter(const CounterQuery &question, QuotaClient::Counter counter)
{
    const std::size_t number = quotaPartOf(question.workspace);
    const std::string &role = this->parts[number].role;
    const bool isToSuccessor = counter == QuotaClient::Counter::Successor;
    const Member *const member = isToSuccessor ? this->elections.successor(role) : this->elections.coordinator(role);
    if (member == nullptr) {
        return false;
    }
    if (member->session == this->peers.self()) {
        if (this->isIsolated() || !this->mayCount(role)) {
            return false;
        }
        this->asker.handleAnswer(question.ticket, this->count(number, {this->peers.self(), question.ticket}, question));
        return true;
    }
    QuotaQuery query;
    query.from = this->peers.self();
    query.ticket = question.ticket;
    query.workspace = question.workspace;
    query.perSecond = question.quota.perSecond;
    query.burst = question.quota.burst;
    query.version = question.version;
    query.isToSuccessor = isToSuccessor;
    this->peers.datagrams().send(member->gossip, query);
    return true;
}

bool QuotaService::receive(const Datagram &datagram)
{
    if (datagram.number == QuotaQuery::number) {
        if (const auto query = decode<QuotaQuery>(datagram.payload)) {
            this->receive(datagram, *query);
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

void QuotaService::receive(const Datagram &datagram, const QuotaQuery &query)
{
    const std::size_t number = quotaPartOf(query.workspace);
    const std::string &role = this->parts[number].role;
    const bool isForwarded = query.replyTo != Address();
    const Member *const other = isForwarded || query.isToSuccessor ? nullptr : this->elections.remoteCoordinator(role);
    if (other != nullptr) {
        // The sender does not know the coordinator yet. If this node answered, two nodes would count the same workspace.
        QuotaQuery forwarded = query;
        forwarded.replyTo = datagram.from;
        this->peers.datagrams().send(other->gossip, forwarded);
        this->elections.sendClaim(datagram.from, role);
        return;
    }
    if (!this->mayCount(role)) {
        return;
    }
    const CounterQuery question{query.ticket, query.workspace, {query.perSecond, query.burst}, query.version};
    const QuotaDecision decision = this->count(number, {query.from, query.ticket}, question);
    this->peers.datagrams().send(isForwarded ? query.replyTo : datagram.from, answerOf(query.ticket, decision));
}

QuotaDecision QuotaService::count(std::size_t number, const QueryId &id, const CounterQuery &question)
{
    Part &part = this->parts[number];
    const auto known = part.answered.find(id);
    if (known != part.answered.end()) {
        return known->second;
    }
    const QuotaDecision decision = this->counterOf(part).tryAcquire(question.workspace, question.quota, question.version);
    if (decision.kind == QuotaDecision::Kind::OverLimit) {
        this->lastRefusal = this->clock.now();
    }
    part.answered.emplace(id, decision);
    part.answeredOrder.emplace_back(this->clock.now(), id);
    return decision;
}

QuotaCounter &QuotaService::counterOf(Part &part)
{
    if (!part.counter) {
        const auto beginning = this->elections.isClaimed(part.role) ? QuotaCounter::StartReason::CoordinatorUnresponsive
                                                                    : QuotaCounter::StartReason::NoClaim;
        part.counter = std::make_unique<QuotaCounter>(this->clock, this->bounds, beginning);
        if (this->share) {
            part.counter->setShare(*this->share);
        }
    }
    if (this->elections.isClaimedLocally(part.role) || this->isAlone()) {
        part.counter->confirm();
        this->applyHandover(part);
    }
    return *part.counter;
}

// While a fleet starts, each node knows only a few others. Without this check, many nodes would count for themselves.
bool QuotaService::mayCount(const std::string &role) const
{
    return this->elections.isClaimed(role) || this->isAlone();
}

bool QuotaService::isAlone() const
{
    const bool isSure = !this->peers.hasSeeds() || this->clock.now() - this->started > aloneTimeout;
    return this->view->members().size() <= 1 && isSure;
}

void QuotaService::handOver(std::size_t number, const CoordinatorElections::Change &change)
{
    Part &part = this->parts[number];
    this->asker.handleCoordinatorChange(number);
    if (change.former != this->peers.self() || !part.counter) {
        return;
    }
    const Member *const next = this->elections.remoteCoordinator(part.role);
    if (next != nullptr && change.isHandedOver) {
        const std::vector<QuotaLevel> levels = part.counter->levels();
        const std::size_t datagrams = std::max<std::size_t>(1, (levels.size() + maxLevelsPerDatagram - 1) / maxLevelsPerDatagram);
        for (std::size_t index = 0; index < datagrams; ++index) {
            QuotaHandover handover;
            handover.from = this->peers.self();
            handover.part = static_cast<std::uint32_t>(number);
            handover.index = static_cast<std::uint32_t>(index);
            handover.count = static_cast<std::uint32_t>(datagrams);
            const std::size_t end = std::min(levels.size(), (index + 1) * maxLevelsPerDatagram);
            for (std::size_t position = index * maxLevelsPerDatagram; position < end; ++position) {
                handover.balances.push_back({levels[position].workspace, levels[position].level});
            }
            this->peers.datagrams().send(next->gossip, handover);
        }
        log(LogLevel::Info,
            "counter of quotas handed over",
            {{"duty", part.role}, {"to_vm", next->vm.value()}, {"workspaces", static_cast<std::int64_t>(levels.size())}});
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
    if (this->elections.isClaimedLocally(part.role)) {
        this->counterOf(part);
    }
}

void QuotaService::applyHandover(Part &part)
{
    if (part.handover.empty() || part.handover.size() < part.handover.begin()->second.count) {
        return;
    }
    // A handover that arrived long before the claim belongs to a role that another node took over.
    const bool isCurrent = this->clock.now() - part.handoverReceived < handoverRetained;
    std::vector<QuotaLevel> levels;
    for (const auto &[index, received] : part.handover) {
        for (const QuotaBalance &rest : received.balances) {
            levels.push_back({rest.workspace, rest.level});
        }
    }
    part.handover.clear();
    if (isCurrent) {
        part.counter->restoreLevels(levels);
    }
}

bool QuotaService::isIsolated() const
{
    return this->view->members().size() > 1 && this->clock.now() - this->peers.lastReceived() > isolatedAfter;
}

void QuotaService::checkIsolation()
{
    const SteadyTime now = this->clock.now();
    const std::chrono::nanoseconds paused = this->clock.suspended() - this->suspended;
    this->suspended += paused;
    if (paused > maxSuspension) {
        this->dropCounters("the machine was suspended");
    } else if (this->isIsolated()) {
        this->dropCounters("nothing received from other nodes");
    }
    const auto inUse = std::ranges::find_if(this->parts, [](const Part &part) {
        return part.counter != nullptr;
    });
    if (inUse != this->parts.end() && now - this->peers.lastReceived() > probeAfter && now >= this->nextProbe) {
        this->nextProbe = now + probeInterval;
        this->elections.probeSomeMembers(inUse->role);
    }
}

// If a part of the fleet is cut off from this one, both may have a counter, so each grants only its share.
void QuotaService::updateReachability()
{
    const bool isCounting = std::ranges::any_of(this->parts, [](const Part &part) {
        return part.counter != nullptr;
    });
    if (!isCounting) {
        return;
    }
    const SteadyTime now = this->clock.now();
    if (now >= this->nextRecentMembers) {
        this->nextRecentMembers = now + recentMembersInterval;
        this->reachability.setOthers(this->recent.others());
    }
    const bool hasRecentRefusal = now - this->lastRefusal < refusalPeriod;
    this->reachability.tick(hasRecentRefusal ? ReachabilityEstimator::Pace::Fast : ReachabilityEstimator::Pace::Normal);
    const std::optional<double> measured = this->reachability.share();
    if (!measured || measured == this->share) {
        return;
    }
    if (this->isPartitioned ? *measured > wholeShare : *measured < partitionedShare) {
        this->isPartitioned = !this->isPartitioned;
        log(LogLevel::Info,
            this->isPartitioned ? "a part of the fleet is cut off" : "no part of the fleet is cut off",
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
            log(LogLevel::Warning, "counter of quotas dropped", {{"duty", part.role}, {"reason", std::string(reason)}});
            part.counter.reset();
        }
    }
}

void QuotaService::setView(const MemberViewPointer &view)
{
    this->view = view;
    this->recent.update(*view, this->peers.self());
    this->nextRecentMembers = {};
}

void QuotaService::recordReceived(const Address &from)
{
    this->reachability.receive(from);
}

void QuotaService::tick()
{
    this->checkIsolation();
    this->updateReachability();
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
