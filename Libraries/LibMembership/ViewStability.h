#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/MemberView.h>

#include <chrono>
#include <optional>
#include <set>

namespace Dogwoodkeel
{

/**
 * Whether the members that take duties have stood still for long enough to share work out among them by their view. While a fleet
 * starts, or many nodes die at once, each node sees other members for a moment, and several would take the same work for theirs.
 */
class ViewStability
{
public:
    explicit ViewStability(const Clock &clock);

    /** Take the members as they are seen now. */
    void update(const MemberView &view);

    /** @return whether they have stood still, or have moved for so long that waiting is no use. */
    bool isStable() const;

private:
    const Clock &clock;
    std::set<SessionNumber> sessions;
    SteadyTime changedAt;
    /** Since when they have not stood still. */
    SteadyTime unstableSince;
};

} // namespace Dogwoodkeel
