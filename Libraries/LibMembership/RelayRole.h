#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/MemberView.h>

#include <optional>

namespace Dogwoodkeel
{

/**
 * Whether this node follows the store's tables for the others of its failure domain, see shouldRelay().
 *
 * Where a whole fleet starts, each node sees few members for a moment and finds itself the best of them. Were it to begin at
 * once, all would read all tables. A relay that is chosen no longer goes on for a while: those whose view is older still ask it.
 */
class RelayRole
{
public:
    /** What others have of this node as a relay. */
    enum class Use : std::uint8_t {
        /** Nothing yet: it has not read the tables. */
        None,
        /** They may ask it. */
        Serving,
        /** It has a duty for which it needs what a relay knows. */
        Coordinating,
    };

    explicit RelayRole(const Clock &clock);

    /** Take the members as they are seen now. */
    void update(const MemberView &view, SessionNumber self);

    /** No relay that this node knows answers it: it has to follow the tables itself. */
    void recordRelaysUnresponsive();

    /** @return whether the node is a relay now, seeing what others have of it. */
    bool isRelay(Use use);

private:
    const Clock &clock;
    bool isSelected = false;
    /** Since when it has been chosen, or not. */
    SteadyTime since;
    /** When no other relay answered last. */
    std::optional<SteadyTime> relaysUnresponsiveAt;
    bool isActive = false;
};

} // namespace Dogwoodkeel
