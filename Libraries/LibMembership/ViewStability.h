#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/MemberView.h>

#include <chrono>
#include <optional>
#include <set>

namespace Dogwoodkeel
{

/**
 * Determines whether the set of members that accept roles has been unchanged for long enough to assign work by the view. While
 * a fleet starts or many nodes die at once, the views of the nodes differ for a moment, and several nodes would start the same
 * work.
 */
class ViewStability
{
public:
    explicit ViewStability(const Clock &clock);

    /** Applies a new view of the members. */
    void update(const MemberView &view);

    /** @return whether the set is unchanged for long enough, or has kept changing for so long that waiting does not help. */
    bool isStable() const;

private:
    const Clock &clock;
    std::set<SessionNumber> sessions;
    SteadyTime changedAt;
    /** Start of the current or last sequence of changes. */
    SteadyTime unstableSince;
};

} // namespace Dogwoodkeel
