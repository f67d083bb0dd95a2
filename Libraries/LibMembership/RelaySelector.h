#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/MemberView.h>

#include <map>
#include <optional>

namespace Dogwoodkeel
{

/**
 * Selects the relay to which a node sends its requests: a responsive one that reaches the store, in its own failure domain if
 * there is one. The nodes of a domain are spread over its relays.
 */
class RelaySelector
{
public:
    explicit RelaySelector(const Clock &clock);

    /** Applies a new view of the members. */
    void update(const MemberViewPointer &view, SessionNumber self);

    /** @return the selected relay, or null if no responsive one is known; valid until the next update. */
    const Member *select();

    /** @return whether there are relays but none responds to this node, which is then most likely cut off from them. */
    bool hasNoResponsiveRelay();

    /** Records that a relay did not respond. Others are selected for a while. */
    void recordUnresponsive(SessionNumber relay);

    /** Records that a relay could not answer because it has lost the store or is no longer a relay. Others are preferred. */
    void recordOutdated(SessionNumber relay);

private:
    using Times = std::map<SessionNumber, SteadyTime>;

    bool isRecent(const Times &times, SessionNumber relay) const;
    void record(Times &times, SessionNumber relay);

    const Clock &clock;
    MemberViewPointer view;
    SessionNumber self;
    FailureDomain domain;
    const Member *selected = nullptr;
    /** When the relay was selected. The selection expires, so that an unresponsive relay is tried again. */
    std::optional<SteadyTime> selectedAt;
    /** When each relay last failed to respond, and when it was last outdated. */
    Times unresponsive;
    Times outdated;
};

} // namespace Dogwoodkeel
