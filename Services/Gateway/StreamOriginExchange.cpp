#include <Services/Gateway/StreamOriginExchange.h>

#include <LibBase/Hash.h>
#include <LibMembership/SpreadMembers.h>
#include <LibWire/Codec.h>

#include <utility>
#include <vector>

namespace Dogwoodkeel
{

namespace
{

/** Members that remember a stream: more than one, as many nodes may be lost at once. */
constexpr std::size_t holdersOfStream = 4;
/** Members that are asked: more than remember it, as those that ask and those that told may see different members. */
constexpr std::size_t membersAsked = 8;
/** A datagram that was lost is sent again after this: several round trips between failure domains. */
constexpr std::chrono::milliseconds askRepeat{40};
/** Whoever has not answered by then is away. Half of the shortest objective that callers have for a first event. */
constexpr std::chrono::milliseconds askTimeout{150};

std::uint64_t keyOf(const std::string &requestId)
{
    return stableHash(requestId);
}

} // namespace

StreamOriginExchange::StreamOriginExchange(const Clock &clock, PeerNetwork &peers) : clock(clock), peers(peers), origins(clock)
{
}

void StreamOriginExchange::note(const std::string &requestId, const StreamOrigin &origin, std::chrono::milliseconds lifetime)
{
    const std::uint64_t request = keyOf(requestId);
    this->origins.record(request, origin, lifetime);
    const MemberViewPointer view = this->peers.view();
    for (const Member *const holder : spreadMembers(*view, request, holdersOfStream)) {
        if (holder->session != this->peers.self()) {
            this->peers.datagrams().send(holder->gossip, StreamBegun{request, origin.service.value(), origin.version, lifetime});
        }
    }
}

StreamOriginExchange::Ticket StreamOriginExchange::find(const std::string &requestId, Found found)
{
    const std::uint64_t request = keyOf(requestId);
    const std::optional<StreamOrigin> known = this->origins.find(request);
    const Ticket ticket = ++this->lastTicket;
    if (known || requestId.empty()) {
        found(known);
        return ticket;
    }
    Question question{request, std::move(found), this->clock.now(), {}, {}};
    const MemberViewPointer view = this->peers.view();
    for (const Member *const member : spreadMembers(*view, request, membersAsked)) {
        if (member->session != this->peers.self()) {
            question.silent.insert(member->session);
        }
    }
    const auto entry = this->questions.emplace(ticket, std::move(question)).first;
    if (entry->second.silent.empty()) {
        this->finish(entry, std::nullopt);
    } else {
        this->ask(ticket, entry->second);
    }
    return ticket;
}

void StreamOriginExchange::cancel(Ticket ticket)
{
    this->questions.erase(ticket);
}

void StreamOriginExchange::ask(Ticket ticket, Question &question)
{
    question.sent = this->clock.now();
    const MemberViewPointer view = this->peers.view();
    for (const SessionNumber session : question.silent) {
        if (const Member *const member = view->find(session)) {
            this->peers.datagrams().send(member->gossip, StreamOriginQuestion{ticket, question.request});
        }
    }
}

void StreamOriginExchange::tick()
{
    const SteadyTime now = this->clock.now();
    std::vector<Ticket> unanswered;
    for (auto &[ticket, question] : this->questions) {
        if (now - question.asked >= askTimeout) {
            unanswered.push_back(ticket);
        } else if (now - question.sent >= askRepeat) {
            this->ask(ticket, question);
        }
    }
    // Whoever is told may cancel other questions.
    for (const Ticket ticket : unanswered) {
        const auto question = this->questions.find(ticket);
        if (question != this->questions.end()) {
            this->finish(question, std::nullopt);
        }
    }
}

bool StreamOriginExchange::receive(const Datagram &datagram)
{
    if (datagram.number == StreamBegun::number) {
        if (const auto begun = decode<StreamBegun>(datagram.payload)) {
            this->origins.record(begun->request, {ServiceName(begun->service), begun->version}, begun->lifetime);
        }
    } else if (datagram.number == StreamOriginQuestion::number) {
        this->answer(datagram);
    } else if (datagram.number == StreamOriginAnswer::number) {
        this->takeAnswer(datagram);
    } else {
        return false;
    }
    return true;
}

void StreamOriginExchange::answer(const Datagram &datagram)
{
    const auto question = decode<StreamOriginQuestion>(datagram.payload);
    if (!question) {
        return;
    }
    StreamOriginAnswer answer{this->peers.self(), question->ticket, false, {}, {}};
    if (const std::optional<StreamOrigin> origin = this->origins.find(question->request)) {
        answer.isKnown = true;
        answer.service = origin->service.value();
        answer.version = origin->version;
    }
    this->peers.datagrams().send(datagram.from, answer);
}

void StreamOriginExchange::takeAnswer(const Datagram &datagram)
{
    const auto answer = decode<StreamOriginAnswer>(datagram.payload);
    const auto entry = answer ? this->questions.find(answer->ticket) : this->questions.end();
    if (entry == this->questions.end()) {
        return;
    }
    if (answer->isKnown) {
        this->finish(entry, StreamOrigin{ServiceName(answer->service), answer->version});
        return;
    }
    entry->second.silent.erase(answer->from);
    if (entry->second.silent.empty()) {
        this->finish(entry, std::nullopt);
    }
}

void StreamOriginExchange::finish(std::map<Ticket, Question>::iterator question, const std::optional<StreamOrigin> &origin)
{
    const Question answered = std::move(question->second);
    this->questions.erase(question);
    answered.found(origin);
}

std::size_t StreamOriginExchange::count() const
{
    return this->origins.count();
}

} // namespace Dogwoodkeel
