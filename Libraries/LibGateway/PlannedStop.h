#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

namespace Dogwoodkeel
{

/**
 * Decides what a node that stops still owes its callers: which requests it takes, until when, and what becomes of the others.
 *
 * | phase       | new connections | a request that is read, or waits for a slot  | a request at a replica         |
 * |-------------|-----------------|----------------------------------------------|--------------------------------|
 * | Serving     | accepted        | served                                       | runs                           |
 * | Withdrawn   | accepted        | served                                       | runs                           |
 * | Finishing   | closed          | served if its deadline is before the last    | runs                           |
 * |             |                 | answers, otherwise refused at once           |                                |
 * | LastAnswers | closed          | refused                                      | answered that it may have run; |
 * |             |                 |                                              | a stream goes on until the end |
 * | Over        | closed          | refused                                      | its connection is closed       |
 *
 * A refusal is true: only a request that no replica has had is refused. In all phases a connection is kept until its last answer
 * is sent.
 */
class PlannedStop
{
public:
    enum class Phase {
        Serving,
        /** Other nodes no longer name this node's address, but callers may still use it. */
        Withdrawn,
        Finishing,
        LastAnswers,
        Over,
    };

    /** Sent with a refusal: other nodes can serve the caller at once. */
    static constexpr std::chrono::milliseconds retryAfter{50};
    static constexpr std::string_view refusalReason = "this node stops before it could answer";

    using Ticket = std::uint64_t;
    using PhaseHandler = std::function<void(Phase)>;

    /**
     * @param grace time from the start of the stop until the process is killed
     * @param addressTtl how long callers may use an address that a directory has returned
     */
    PlannedStop(const Clock &clock, std::chrono::milliseconds grace, std::chrono::milliseconds addressTtl);

    /** Starts the stop. */
    void begin();

    /** Enters the phases that have been reached since the last call, and notifies the observers of each. */
    void update();

    /** @return the phase at this time; its observers may not have been notified yet. */
    Phase phase() const;

    /** @return whether a request that no replica has had can be answered by its deadline, so that it may be taken or sent on. */
    bool mayServe(SteadyTime deadline) const;

    /**
     * Adds an observer of the following phases.
     * @return the ticket by which it is removed, never 0
     */
    Ticket observe(PhaseHandler onEntered);

    /** Removes an observer. A ticket of 0 has no effect. */
    void remove(Ticket ticket);

private:
    SteadyTime startOf(Phase phase) const;
    void notify(Phase phase);

    const Clock &clock;
    std::chrono::milliseconds grace;
    std::chrono::milliseconds addressTtl;
    std::optional<SteadyTime> started;
    /** The last phase that the observers were notified of. */
    Phase entered = Phase::Serving;
    std::map<Ticket, PhaseHandler> observers;
    Ticket lastTicket = 0;
};

} // namespace Dogwoodkeel
