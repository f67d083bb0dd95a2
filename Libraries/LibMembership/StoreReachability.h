#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/MemberView.h>

#include <chrono>
#include <map>
#include <optional>

namespace Dogwoodkeel
{

/**
 * Determines which members are not eligible for roles because they do not reach the platform's store while most others do.
 *
 * A loss counts only after it has lasted longer than an outage or a recovery takes to become known to all members, and only if
 * most members reached the store during that time.
 *
 * If the whole store fails, members detect it one after the other, learn of each other's loss even later, and recover in the
 * same way. If roles followed each report, they would move dozens of times within seconds, differently in each member's view:
 * several dispatchers would fill the same replicas, and requests would wait in the replicas' queues.
 */
class StoreReachability
{
public:
    explicit StoreReachability(const Clock &clock);

    /** Applies a new view of the members. */
    void update(const MemberViewPointer &view);

    /**
     * @return the members with hasLostStore set only on those that are not eligible for roles because of it; the same pointer as
     * before if nothing has changed
     */
    MemberViewPointer stableView();

private:
    bool isIneligible(const Member &member, SteadyTime now) const;

    const Clock &clock;
    MemberViewPointer view;
    /** Since when each member has reported that it has lost the store. */
    std::map<SessionNumber, SteadyTime> lostSince;
    /** Since when most members have reached the store. */
    std::optional<SteadyTime> majoritySince;
    MemberViewPointer lastStableView;
};

} // namespace Dogwoodkeel
