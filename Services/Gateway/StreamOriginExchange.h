#pragma once

#include <LibBase/Clock.h>
#include <LibGateway/StreamOrigins.h>
#include <Services/Gateway/PeerNetwork.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Dogwoodkeel
{

/**
 * Stores the origins of streams on several nodes, and finds the origin of a stream that a caller resumes.
 *
 * A caller that loses its node resumes its stream at any other node, which has to know the software version that started it. The
 * origin of each stream is sent to a few members in different failure domains. They are selected by the stream's id, so that any
 * node knows which members to query.
 */
class StreamOriginExchange
{
public:
    /** Result of a query. */
    struct Finding
    {
        /** Nothing if no member that answered knows it. */
        std::optional<StreamOrigin> origin;
        /** Members that were queried; 0 if this node knew the origin, or knows no other member. */
        std::size_t queried = 0;
        /** Those of them that answered that they don't know it. */
        std::size_t denied = 0;
    };

    using FoundHandler = std::function<void(const Finding &)>;
    using Ticket = std::uint64_t;

    StreamOriginExchange(const Clock &clock, PeerNetwork &peers);
    StreamOriginExchange(const StreamOriginExchange &) = delete;
    StreamOriginExchange &operator=(const StreamOriginExchange &) = delete;

    /**
     * Records a stream that was started here and sends its origin to other members. Must be called before the caller gets the
     * first event.
     * @param requestId id of the attempt that brings the first event
     * @param lifetime how long the caller may resume the stream
     */
    void record(const std::string &requestId, const StreamOrigin &origin, std::chrono::milliseconds lifetime);

    /**
     * Finds the origin of a stream. The handler may be called from inside this call.
     * @return a ticket by which the query can be cancelled until it is answered
     */
    Ticket find(const std::string &requestId, FoundHandler found);

    void cancel(Ticket ticket);

    /** Repeats queries to members that have not answered, and ends those that timed out; must be called often. */
    void tick();

    /** Handles a datagram. @return whether it was for this class */
    bool receive(const Datagram &datagram);

    /** @return how many streams this node stores the origin of. */
    std::size_t count() const;

private:
    struct Query
    {
        std::uint64_t request = 0;
        FoundHandler found;
        SteadyTime started{};
        SteadyTime sent{};
        std::size_t queried = 0;
        /** Members that have not answered. */
        std::set<SessionNumber> pendingMembers;
    };

    void sendQuery(Ticket ticket, Query &query);
    void answerQuery(const Datagram &datagram);
    void handleAnswer(const Datagram &datagram);
    void finish(std::map<Ticket, Query>::iterator query, const std::optional<StreamOrigin> &origin);

    const Clock &clock;
    PeerNetwork &peers;
    StreamOrigins origins;
    std::map<Ticket, Query> queries;
    Ticket lastTicket = 0;
};

} // namespace Dogwoodkeel
