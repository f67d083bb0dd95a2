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

/** Members that store a stream's origin: more than one, as many nodes may be lost at once. */
constexpr std::size_t membersPerStream = 4;
/** Members that are queried: more than store the origin, as the nodes that query and publish it may know different members. */
constexpr std::size_t membersQueried = 8;
/** An unanswered datagram is sent again after this: several round trips between failure domains. */
constexpr std::chrono::milliseconds resendInterval{40};
/** A member that has not answered by then is considered unavailable. Half of the shortest objective that callers have for a first
 * event. */
constexpr std::chrono::milliseconds queryTimeout{150};

std::uint64_t keyOf(const std::string &requestId)
{
    return stableHash(requestId);
}

} // namespace

StreamOriginExchange::StreamOriginExchange(const Clock &clock, PeerNetwork &peers) : clock(clock), peers(peers), origins(clock)
{
}

void StreamOriginExchange::record(const std::string &requestId, const StreamOrigin &origin, std::chrono::milliseconds lifetime)
{
    const std::uint64_t request = keyOf(requestId);
    this->origins.record(request, origin, lifetime);
    const MemberViewPointer view = this->peers.view();
    for (const Member *const member : spreadMembers(*view, request, membersPerStream)) {
        if (member->session != this->peers.self()) {
            this->peers.datagrams().send(member->gossip,
                                         StreamStarted{request, origin.service.value(), origin.version, lifetime});
        }
    }
}

StreamOriginExchange::Ticket StreamOriginExchange::find(const std::string &requestId, FoundHandler found)
{
    const std::uint64_t request = keyOf(requestId);
    const std::optional<StreamOrigin> known = this->origins.find(request);
    const Ticket ticket = ++this->lastTicket;
    if (known || requestId.empty()) {
        found({known, 0, 0});
        return ticket;
    }
    Query query{request, std::move(found), this->clock.now(), {}, 0, {}};
    const MemberViewPointer view = this->peers.view();
    for (const Member *const member : spreadMembers(*view, request, membersQueried)) {
        if (member->session != this->peers.self()) {
            query.pendingMembers.insert(member->session);
        }
    }
    query.queried = query.pendingMembers.size();
    const auto entry = this->queries.emplace(ticket, std::move(query)).first;
    if (entry->second.pendingMembers.empty()) {
        this->finish(entry, std::nullopt);
    } else {
        this->sendQuery(ticket, entry->second);
    }
    return ticket;
}

void StreamOriginExchange::cancel(Ticket ticket)
{
    this->queries.erase(ticket);
}

void StreamOriginExchange::sendQuery(Ticket ticket, Query &query)
{
    query.sent = this->clock.now();
    const MemberViewPointer view = this->peers.view();
    for (const SessionNumber session : query.pendingMembers) {
        if (const Member *const member = view->find(session)) {
            this->peers.datagrams().send(member->gossip, StreamOriginQuery{ticket, query.request});
        }
    }
}

void StreamOriginExchange::tick()
{
    const SteadyTime now = this->clock.now();
    std::vector<Ticket> timedOut;
    for (auto &[ticket, query] : this->queries) {
        if (now - query.started >= queryTimeout) {
            timedOut.push_back(ticket);
        } else if (now - query.sent >= resendInterval) {
            this->sendQuery(ticket, query);
        }
    }
    // The handler may cancel other queries.
    for (const Ticket ticket : timedOut) {
        const auto query = this->queries.find(ticket);
        if (query != this->queries.end()) {
            this->finish(query, std::nullopt);
        }
    }
}

bool StreamOriginExchange::receive(const Datagram &datagram)
{
    if (datagram.number == StreamStarted::number) {
        if (const auto message = decode<StreamStarted>(datagram.payload)) {
            this->origins.record(message->request, {ServiceName(message->service), message->version}, message->lifetime);
        }
    } else if (datagram.number == StreamOriginQuery::number) {
        this->answerQuery(datagram);
    } else if (datagram.number == StreamOriginAnswer::number) {
        this->handleAnswer(datagram);
    } else {
        return false;
    }
    return true;
}

void StreamOriginExchange::answerQuery(const Datagram &datagram)
{
    const auto query = decode<StreamOriginQuery>(datagram.payload);
    if (!query) {
        return;
    }
    StreamOriginAnswer answer{this->peers.self(), query->ticket, false, {}, {}};
    if (const std::optional<StreamOrigin> origin = this->origins.find(query->request)) {
        answer.isKnown = true;
        answer.service = origin->service.value();
        answer.version = origin->version;
    }
    this->peers.datagrams().send(datagram.from, answer);
}

void StreamOriginExchange::handleAnswer(const Datagram &datagram)
{
    const auto answer = decode<StreamOriginAnswer>(datagram.payload);
    const auto entry = answer ? this->queries.find(answer->ticket) : this->queries.end();
    if (entry == this->queries.end()) {
        return;
    }
    if (answer->isKnown) {
        this->finish(entry, StreamOrigin{ServiceName(answer->service), answer->version});
        return;
    }
    entry->second.pendingMembers.erase(answer->from);
    if (entry->second.pendingMembers.empty()) {
        this->finish(entry, std::nullopt);
    }
}

void StreamOriginExchange::finish(std::map<Ticket, Query>::iterator query, const std::optional<StreamOrigin> &origin)
{
    const Query answered = std::move(query->second);
    this->queries.erase(query);
    answered.found({origin, answered.queried, answered.queried - answered.pendingMembers.size()});
}

std::size_t StreamOriginExchange::count() const
{
    return this->origins.count();
}

} // namespace Dogwoodkeel
