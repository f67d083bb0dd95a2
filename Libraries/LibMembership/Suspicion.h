#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>

#include <chrono>
#include <cstddef>
#include <set>

namespace Dogwoodkeel
{

/**
 * The suspicion against one member, and when that member is declared dead. With a single suspecting member the timeout is long,
 * because the fault may be its own. Each further member that receives no answer either shortens the timeout (Dadgar, Phillips,
 * Currey: Lifeguard, 2018, section IV-B).
 */
class Suspicion
{
public:
    /** How long a suspected member has to refute the suspicion. */
    struct Options
    {
        /** With all expected confirmations. */
        std::chrono::milliseconds minTimeout{1000};
        /** Without any confirmation. */
        std::chrono::milliseconds maxTimeout{3000};
        /** Number of confirmations that can be expected; 0 if there is no other member that could confirm. */
        std::size_t expectedConfirmations = 3;
    };

    Suspicion(SteadyTime since, SessionNumber suspectingMember, Options options);

    /** Adds a confirmation. @return whether the member is a new one and counts */
    bool confirm(SessionNumber suspectingMember);

    /** @return when the member is declared dead unless it has refuted the suspicion. */
    SteadyTime deadline() const;

    /** Extends the deadline by a time in which this node could not have received a refutation. */
    void extend(std::chrono::milliseconds time);

private:
    SteadyTime since;
    Options options;
    std::set<SessionNumber> suspectingMembers;
};

} // namespace Dogwoodkeel
