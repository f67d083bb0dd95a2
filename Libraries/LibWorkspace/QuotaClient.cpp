#include <LibWorkspace/QuotaClient.h>

#include <LibBase/Hash.h>

#include <utility>
#include <vector>

namespace Dogwoodkeel
{

namespace
{

/** Interval after which an unanswered datagram is sent again: several round trips between failure domains. */
constexpr std::chrono::milliseconds resendInterval{20};
/** Time after which a counter that has not answered is suspected. */
constexpr std::chrono::milliseconds answerTimeout{60};
/** How long a suspected counter is skipped; after that one request tries it again. */
constexpr std::chrono::milliseconds suspicionTime{400};
/** A node that has just started discovers other nodes within some tens of milliseconds; until then it has no counter to query. */
constexpr std::chrono::milliseconds discoveryTime{100};
/** Retry time of requests that no counter could decide: until then a successor has most likely taken over the role, and other
 * nodes may already reach the coordinator. */
constexpr std::chrono::milliseconds unknownRetryAfter{200};
/** A node whose counters have answered within this time is connected, so that its view of the other nodes is current. */
constexpr std::chrono::milliseconds recentAnswerTime{500};

} // namespace

std::size_t quotaPartOf(const WorkspaceName &workspace)
{
    return stableHash(workspace.value()) % quotaParts;
}

QuotaClient::QuotaClient(const Clock &clock, const QuotaBounds &bounds, Hooks hooks)
    : clock(clock), hooks(std::move(hooks)), localQuota(clock, bounds)
{
}

void QuotaClient::setNodes(std::size_t position, std::size_t count)
{
    this->localQuota.setNodes(position, count);
}

QuotaClient::Ticket
QuotaClient::query(const WorkspaceName &workspace, const RequestQuota &quota, std::uint64_t version, DecisionHandler onDecision)
{
    const Ticket ticket = ++this->lastTicket;
    PendingQuery pending;
    pending.query = {ticket, workspace, quota, version};
    pending.onDecision = std::move(onDecision);
    pending.started = this->clock.now();
    this->pendingQueries.emplace(ticket, std::move(pending));
    const bool isSuspected = this->clock.now() < this->parts[quotaPartOf(workspace)].coordinatorSuspectedUntil;
    this->sendToCounter(ticket, isSuspected ? Counter::Successor : Counter::Coordinator);
    return ticket;
}

void QuotaClient::sendToCounter(Ticket ticket, Counter counter)
{
    PendingQuery &pending = this->pendingQueries.at(ticket);
    const SteadyTime now = this->clock.now();
    const Part &part = this->parts[quotaPartOf(pending.query.workspace)];
    if (counter == Counter::Successor && now < part.successorSuspectedUntil) {
        this->decideLocally(ticket);
        return;
    }
    if (pending.lastSent == SteadyTime() || pending.counter != counter) {
        pending.firstSent = now;
    }
    pending.counter = counter;
    pending.lastSent = now;
    pending.hasNoCounter = false;
    // The answer may arrive inside the call and remove the pending query, so the query is copied.
    const CounterQuery query = pending.query;
    if (!this->hooks.sendQuery(query, counter)) {
        this->tryNextCounter(ticket);
    }
}

void QuotaClient::tryNextCounter(Ticket ticket)
{
    const auto found = this->pendingQueries.find(ticket);
    if (found == this->pendingQueries.end()) {
        return;
    }
    PendingQuery &pending = found->second;
    if (pending.counter == Counter::Coordinator) {
        this->sendToCounter(ticket, Counter::Successor);
    } else if (this->clock.now() - pending.started < discoveryTime) {
        pending.hasNoCounter = true;
    } else {
        this->decideLocally(ticket);
    }
}

void QuotaClient::decideLocally(Ticket ticket)
{
    ++this->localDecisions;
    const PendingQuery &pending = this->pendingQueries.at(ticket);
    const bool isGranted = this->localQuota.tryAcquire(pending.query.workspace, pending.query.quota);
    this->decide(ticket, isGranted ? QuotaDecision{} : QuotaDecision{QuotaDecision::Kind::Unknown, unknownRetryAfter});
}

void QuotaClient::cancel(Ticket ticket)
{
    this->pendingQueries.erase(ticket);
}

void QuotaClient::handleAnswer(Ticket ticket, const QuotaDecision &decision)
{
    const auto found = this->pendingQueries.find(ticket);
    if (found == this->pendingQueries.end()) {
        return;
    }
    Part &part = this->parts[quotaPartOf(found->second.query.workspace)];
    part.answered = this->clock.now();
    if (found->second.counter == Counter::Coordinator) {
        part.coordinatorSuspectedUntil = {};
    }
    part.successorSuspectedUntil = {};
    this->decide(ticket, decision);
}

void QuotaClient::decide(Ticket ticket, const QuotaDecision &decision)
{
    auto node = this->pendingQueries.extract(ticket);
    if (!node.empty()) {
        node.mapped().onDecision(decision);
    }
}

void QuotaClient::handleCoordinatorChange(std::size_t part)
{
    this->parts[part].coordinatorSuspectedUntil = {};
    this->parts[part].successorSuspectedUntil = {};
}

void QuotaClient::tick()
{
    const SteadyTime now = this->clock.now();
    std::vector<Ticket> due;
    for (const auto &[ticket, pending] : this->pendingQueries) {
        if (now - pending.lastSent >= resendInterval) {
            due.push_back(ticket);
        }
    }
    for (const Ticket ticket : due) {
        this->checkQuery(ticket);
    }
}

void QuotaClient::checkQuery(Ticket ticket)
{
    const auto found = this->pendingQueries.find(ticket);
    if (found == this->pendingQueries.end()) {
        return;
    }
    const PendingQuery &pending = found->second;
    if (pending.hasNoCounter) {
        this->sendToCounter(ticket, Counter::Coordinator);
    } else if (this->clock.now() - pending.firstSent < answerTimeout) {
        this->sendToCounter(ticket, pending.counter);
    } else {
        this->suspectCounter(pending);
        this->tryNextCounter(ticket);
    }
}

void QuotaClient::suspectCounter(const PendingQuery &pending)
{
    const SteadyTime now = this->clock.now();
    const std::size_t number = quotaPartOf(pending.query.workspace);
    Part &part = this->parts[number];
    if (pending.counter == Counter::Successor) {
        part.successorSuspectedUntil = now + suspicionTime;
        return;
    }
    if (now >= part.coordinatorSuspectedUntil) {
        this->hooks.suspectCoordinator(number);
    }
    part.coordinatorSuspectedUntil = now + suspicionTime;
}

std::uint64_t QuotaClient::decidedLocally() const
{
    return this->localDecisions;
}

bool QuotaClient::hasRecentAnswer(std::size_t part) const
{
    const SteadyTime answered = this->parts[part].answered;
    return answered != SteadyTime() && this->clock.now() - answered < recentAnswerTime;
}

} // namespace Dogwoodkeel
