#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/MemberView.h>

#include <map>
#include <optional>

namespace Dogwoodkeel
{

/**
 * Which relay a node asks: of those that answer, one that reaches the store, of its own failure domain if there is one. The nodes
 * of a domain spread over its relays.
 */
class RelaySelector
{
public:
    explicit RelaySelector(const Clock &clock);

    /** Take the members as they are seen now. */
    void update(const MemberViewPointer &view, SessionNumber self);

    /** @return the relay to ask, or null if none is known that may answer; valid until the next update. */
    const Member *select();

    /** @return whether there are relays, and none of them answers this node: it is most likely cut off from them. */
    bool hasNoResponsiveRelay();

    /** A relay did not answer: others are asked for a while. */
    void recordUnresponsive(SessionNumber relay);

    /** A relay answered that it does not know what was asked, as it has lost the store or is none any more: others go before it.
     */
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
    /** When the choice was made; made again then, so that a silent relay is tried again. */
    std::optional<SteadyTime> selectedAt;
    /** When relays did not answer last, and when they were behind. */
    Times unresponsive;
    Times outdated;
};

} // namespace Dogwoodkeel
