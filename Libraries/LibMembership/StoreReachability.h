#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/MemberView.h>

#include <chrono>
#include <map>
#include <optional>

namespace Dogwoodkeel
{

/**
 * Judges which members can't have duties because they do not reach the platform's store while most others do.
 *
 * When the whole store goes away, members notice it one after the other, hear of each other's loss later still, and come back in
 * the same disorder. If duties followed each word, they would move dozens of times within seconds, differently in each member's
 * eyes: several dispatchers would fill the same replicas, and requests wait in the replicas' queues. So a loss counts only
 * once it has stood for longer than such a disorder lasts, and most members had the store all the while.
 */
class StoreReachability
{
public:
    explicit StoreReachability(const Clock &clock);

    /** Take the members as they are seen now. */
    void update(const MemberViewPointer &view);

    /**
     * @return the members, with the loss of the store told only of those that can't have duties for it; the same pointer as
     * before if nothing has changed
     */
    MemberViewPointer stableView();

private:
    bool isCutOff(const Member &member, SteadyTime now) const;

    const Clock &clock;
    MemberViewPointer view;
    /** Since when each member that has lost the store says so. */
    std::map<SessionNumber, SteadyTime> lostSince;
    /** Since when most members have had the store. */
    std::optional<SteadyTime> majoritySince;
    MemberViewPointer lastStableView;
};

} // namespace Dogwoodkeel
