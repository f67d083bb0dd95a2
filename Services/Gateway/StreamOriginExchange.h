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
 * Nodes remember for each other where streams began. A caller that loses its node takes its stream up at any other one, which
 * has to know the software version that began it. Each stream is told to a few members, chosen by its id and in different failure
 * domains, so that whoever takes it up knows whom to ask.
 */
class StreamOriginExchange
{
public:
    /** Told where the stream began, or nothing if nobody knows. */
    using Found = std::function<void(const std::optional<StreamOrigin> &)>;
    using Ticket = std::uint64_t;

    StreamOriginExchange(const Clock &clock, PeerNetwork &peers);
    StreamOriginExchange(const StreamOriginExchange &) = delete;
    StreamOriginExchange &operator=(const StreamOriginExchange &) = delete;

    /**
     * A stream has begun here; called before its caller gets the first event.
     * @param requestId of the attempt that brings the first event
     * @param lifetime how long the caller may come again
     */
    void note(const std::string &requestId, const StreamOrigin &origin, std::chrono::milliseconds lifetime);

    /**
     * Find out where a stream began. The answer may come from inside the call.
     * @return by which the question can be cancelled; of no use once it is answered
     */
    Ticket find(const std::string &requestId, Found found);

    void cancel(Ticket ticket);

    /** Ask again whom no answer came from, and give up what nobody answers; called often. */
    void tick();

    /** @return whether the datagram was for this class. */
    bool receive(const Datagram &datagram);

    /** @return how many streams this node remembers. */
    std::size_t count() const;

private:
    struct Question
    {
        std::uint64_t request = 0;
        Found found;
        SteadyTime asked{};
        SteadyTime sent{};
        /** Those that have not answered. */
        std::set<SessionNumber> silent;
    };

    void ask(Ticket ticket, Question &question);
    void answer(const Datagram &datagram);
    void takeAnswer(const Datagram &datagram);
    void finish(std::map<Ticket, Question>::iterator question, const std::optional<StreamOrigin> &origin);

    const Clock &clock;
    PeerNetwork &peers;
    StreamOrigins origins;
    std::map<Ticket, Question> questions;
    Ticket lastTicket = 0;
};

} // namespace Dogwoodkeel
