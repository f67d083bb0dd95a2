#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>

#include <chrono>
#include <cstddef>
#include <set>

namespace Dogwoodkeel
{

/**
 * One member's suspicion, and when it ends in death. Alone, one accuser waits long, since the fault may be its own; each
 * further member that got no answer either shortens the wait (Dadgar, Phillips, Currey: Lifeguard, 2018, section IV-B).
 */
class Suspicion
{
public:
    /** How long a suspected member has to refute. */
    struct Options
    {
        /** With all the confirmations that can be expected. */
        std::chrono::milliseconds minTimeout{1000};
        /** With none. */
        std::chrono::milliseconds maxTimeout{3000};
        /** Confirmations that can be expected; 0 when nobody else is there to confirm. */
        std::size_t expectedConfirmations = 3;
    };

    Suspicion(SteadyTime since, SessionNumber suspectingMember, Options options);

    /** @return whether this accuser is a new one that counts. */
    bool confirm(SessionNumber suspectingMember);

    /** @return when the member counts as dead, unless it has refuted. */
    SteadyTime deadline() const;

    /** Move the deadline by a time in which this node could not have heard a refutation. */
    void extend(std::chrono::milliseconds time);

private:
    SteadyTime since;
    Options options;
    std::set<SessionNumber> suspectingMembers;
};

} // namespace Dogwoodkeel
