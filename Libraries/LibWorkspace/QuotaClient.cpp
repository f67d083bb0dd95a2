#include <LibWorkspace/QuotaClient.h>

#include <LibBase/Hash.h>

#include <utility>
#include <vector>

namespace Dogwoodkeel
{

namespace
{

/** A datagram that was lost is sent again after this: several round trips between failure domains. */
constexpr std::chrono::milliseconds askRepeat{20};
/** A counter that has not answered by then is away. */
constexpr std::chrono::milliseconds answerTimeout{60};
/** How long a counter that did not answer is not waited for; then one request tries it again. */
constexpr std::chrono::milliseconds suspicionTime{400};
/** A node that has just started meets others in some tens of milliseconds; until then there is nobody to ask. */
constexpr std::chrono::milliseconds meetingTime{100};
/** Told to who can't be counted: by then the duty has most likely been taken over, and other nodes may reach its holder now. */
constexpr std::chrono::milliseconds unknownRetryAfter{200};
/** A node whose counters have answered within this time sees the other nodes as they are. */
constexpr std::chrono::milliseconds touchTime{500};

} // namespace

std::size_t quotaPartOf(const WorkspaceName &workspace)
{
    return stableHash(workspace.value()) % quotaParts;
}

QuotaAsker::QuotaAsker(const Clock &clock, const QuotaBounds &bounds, Hooks hooks)
    : clock(clock), hooks(std::move(hooks)), own(clock, bounds)
{
}

void QuotaAsker::setNodes(std::size_t place, std::size_t count)
{
    this->own.setNodes(place, count);
}

QuotaAsker::Ticket
QuotaAsker::ask(const WorkspaceName &workspace, const RequestQuota &quota, std::uint64_t version, Decided decided)
{
    const Ticket ticket = ++this->lastTicket;
    Asked asked;
    asked.question = {ticket, workspace, quota, version};
    asked.decided = std::move(decided);
    asked.begun = this->clock.now();
    this->open.emplace(ticket, std::move(asked));
    const bool isSuspected = this->clock.now() < this->parts[quotaPartOf(workspace)].holderSuspectedUntil;
    this->askCounter(ticket, isSuspected ? Counter::Successor : Counter::Holder);
    return ticket;
}

void QuotaAsker::askCounter(Ticket ticket, Counter counter)
{
    Asked &asked = this->open.at(ticket);
    const SteadyTime now = this->clock.now();
    const Part &part = this->parts[quotaPartOf(asked.question.workspace)];
    if (counter == Counter::Successor && now < part.successorSuspectedUntil) {
        this->decideAlone(ticket);
        return;
    }
    if (asked.last == SteadyTime() || asked.counter != counter) {
        asked.first = now;
    }
    asked.counter = counter;
    asked.last = now;
    asked.isStranded = false;
    // Asking may answer at once, which ends the ticket.
    const QuotaQuestion question = asked.question;
    if (!this->hooks.ask(question, counter)) {
        this->askNext(ticket);
    }
}

void QuotaAsker::askNext(Ticket ticket)
{
    const auto found = this->open.find(ticket);
    if (found == this->open.end()) {
        return;
    }
    Asked &asked = found->second;
    if (asked.counter == Counter::Holder) {
        this->askCounter(ticket, Counter::Successor);
    } else if (this->clock.now() - asked.begun < meetingTime) {
        asked.isStranded = true;
    } else {
        this->decideAlone(ticket);
    }
}

void QuotaAsker::decideAlone(Ticket ticket)
{
    ++this->aloneCount;
    const Asked &asked = this->open.at(ticket);
    const bool isGranted = this->own.take(asked.question.workspace, asked.question.quota);
    this->decide(ticket, isGranted ? QuotaDecision{} : QuotaDecision{QuotaDecision::Kind::Unknown, unknownRetryAfter});
}

void QuotaAsker::cancel(Ticket ticket)
{
    this->open.erase(ticket);
}

void QuotaAsker::take(Ticket ticket, const QuotaDecision &decision)
{
    const auto found = this->open.find(ticket);
    if (found == this->open.end()) {
        return;
    }
    Part &part = this->parts[quotaPartOf(found->second.question.workspace)];
    part.answered = this->clock.now();
    if (found->second.counter == Counter::Holder) {
        part.holderSuspectedUntil = {};
    }
    part.successorSuspectedUntil = {};
    this->decide(ticket, decision);
}

void QuotaAsker::decide(Ticket ticket, const QuotaDecision &decision)
{
    auto node = this->open.extract(ticket);
    if (!node.empty()) {
        node.mapped().decided(decision);
    }
}

void QuotaAsker::noteHolderChanged(std::size_t part)
{
    this->parts[part].holderSuspectedUntil = {};
    this->parts[part].successorSuspectedUntil = {};
}

void QuotaAsker::tick()
{
    const SteadyTime now = this->clock.now();
    std::vector<Ticket> due;
    for (const auto &[ticket, asked] : this->open) {
        if (now - asked.last >= askRepeat) {
            due.push_back(ticket);
        }
    }
    for (const Ticket ticket : due) {
        this->tickOne(ticket);
    }
}

void QuotaAsker::tickOne(Ticket ticket)
{
    const auto found = this->open.find(ticket);
    if (found == this->open.end()) {
        return;
    }
    const Asked &asked = found->second;
    if (asked.isStranded) {
        this->askCounter(ticket, Counter::Holder);
    } else if (this->clock.now() - asked.first < answerTimeout) {
        this->askCounter(ticket, asked.counter);
    } else {
        this->suspectCounter(asked);
        this->askNext(ticket);
    }
}

void QuotaAsker::suspectCounter(const Asked &asked)
{
    const SteadyTime now = this->clock.now();
    const std::size_t number = quotaPartOf(asked.question.workspace);
    Part &part = this->parts[number];
    if (asked.counter == Counter::Successor) {
        part.successorSuspectedUntil = now + suspicionTime;
        return;
    }
    if (now >= part.holderSuspectedUntil) {
        this->hooks.suspectHolder(number);
    }
    part.holderSuspectedUntil = now + suspicionTime;
}

std::uint64_t QuotaAsker::decidedAlone() const
{
    return this->aloneCount;
}

bool QuotaAsker::isInTouch(std::size_t part) const
{
    const SteadyTime answered = this->parts[part].answered;
    return answered != SteadyTime() && this->clock.now() - answered < touchTime;
}

} // namespace Dogwoodkeel
