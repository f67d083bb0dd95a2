#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/MemberView.h>

#include <optional>

namespace Dogwoodkeel
{

/**
 * Decides whether this node currently acts as a relay, that is, follows the store's tables for the other nodes of its failure
 * domain, see shouldRelay().
 *
 * A node starts as a relay only after a delay. While a whole fleet starts, each node knows few members at first and selects
 * itself; without the delay all nodes would read all tables. A relay that is no longer selected continues for a while, because
 * nodes with an older view still send requests to it.
 */
class RelayRole
{
public:
    /** How this node is in use as a relay. */
    enum class Use : std::uint8_t {
        /** Not in use: it has not read the tables yet. */
        None,
        /** It accepts requests of other nodes. */
        Serving,
        /** It is the coordinator of a role that needs the tables. */
        Coordinating,
    };

    explicit RelayRole(const Clock &clock);

    /** Applies a new view of the members. */
    void update(const MemberView &view, SessionNumber self);

    /** Records that no known relay responds to this node, which then has to follow the tables itself. */
    void recordRelaysUnresponsive();

    /** @return whether the node is a relay now, given how it is in use. */
    bool isRelay(Use use);

private:
    const Clock &clock;
    bool isSelected = false;
    /** When isSelected last changed. */
    SteadyTime since;
    /** When it was last recorded that no relay responds. */
    std::optional<SteadyTime> relaysUnresponsiveAt;
    bool isActive = false;
};

} // namespace Dogwoodkeel
