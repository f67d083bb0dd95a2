#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/MemberView.h>

#include <chrono>
#include <cstddef>
#include <optional>

namespace Dogwoodkeel
{

/**
 * Decides whether this node currently acts as a relay, that is, follows the store's tables for the other nodes of its failure
 * domain, see shouldRelay().
 *
 * A node starts as a relay only after a delay, which begins again whenever the node learns of more members of its failure domain.
 * While a whole fleet starts, each node knows few members at first and selects itself; without the delay all nodes would read all
 * tables. Time in which the node did not run, and so could not learn of others, does not count.
 *
 * A relay that is no longer selected continues for a while, because nodes with an older view still send requests to it. It stops
 * sooner if all selected relays serve, and only later if it coordinates a role.
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

    /**
     * Has to be called at short intervals, such as the gateway's tick.
     * @return whether the node is a relay now, given how it is in use
     */
    bool isRelay(Use use);

private:
    void countTime();
    bool isStartDue() const;
    bool isStopDue(Use use) const;

    const Clock &clock;
    bool isSelected = false;
    /** When isSelected last changed. */
    SteadyTime since;
    /** Until when the two durations below are counted. */
    SteadyTime countedUntil;
    /** For how long the node has run while it was selected, and since it last learned of more members of its domain. */
    std::chrono::nanoseconds selectedFor{0};
    std::chrono::nanoseconds settledFor{0};
    /** The number of members of the node's failure domain, itself included. */
    std::size_t domainMembers = 0;
    /** Since when as many other relays have served as are needed. */
    std::optional<SteadyTime> replacedSince;
    /** When it was last recorded that no relay responds. */
    std::optional<SteadyTime> relaysUnresponsiveAt;
    bool isActive = false;
};

} // namespace Dogwoodkeel
