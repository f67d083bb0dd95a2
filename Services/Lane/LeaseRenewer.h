#pragma once

#include <LibBase/Clock.h>
#include <LibTask/EventLoop.h>
#include <LibWire/PeerClient.h>
#include <Services/Lane/JobOwners.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Dogwoodkeel
{

/** Items by job. */
using ItemsByJob = std::map<JobId, std::set<std::uint32_t>>;

/**
 * Renews the leases on all items that this node holds, and drops those that their owner no longer leases to it. An owner
 * that has just acquired a shard gets a renewal with the next tick, so that it does not hand the items out again.
 */
class LeaseRenewer
{
public:
    /** Callbacks into the lanes. */
    struct Hooks
    {
        std::function<ItemsByJob()> held;
        std::function<void(const JobId &)> stopJob;
        std::function<void(const JobId &, const std::set<std::uint32_t> &)> dropItems;
    };

    LeaseRenewer(EventLoop &loop,
                 const Clock &clock,
                 const SettingsHandle &settings,
                 const SessionNumber &self,
                 PeerClient &peers,
                 const JobOwners &owners,
                 Hooks hooks);
    ~LeaseRenewer();
    LeaseRenewer(const LeaseRenewer &) = delete;
    LeaseRenewer &operator=(const LeaseRenewer &) = delete;

    /** Renews the leases if they are due or an owner has to be notified. */
    void tick();

    /** Marks the jobs whose owner changed for an early renewal. */
    void ownersChanged();

    /** Returns items that will not run here to their owners. If the message is lost, the leases expire. */
    void returnItems(const ItemsByJob &items);

private:
    void renew(const ItemsByJob &items);
    void handleResponse(const CallResult<RenewItemsResponse> &result);
    std::map<Address, std::vector<HeldItems>> byOwner(const ItemsByJob &items) const;

    EventLoop &loop;
    const Clock &clock;
    const SettingsHandle &settings;
    /** Refers to the session number in LaneService, which changes when this node continues as another session. */
    const SessionNumber &self;
    PeerClient &peers;
    const JobOwners &owners;
    Hooks hooks;
    SteadyTime lastRenewal{};
    /** Jobs to be renewed at the next tick: the owner is new, did not own the shard yet, or did not answer. */
    std::set<JobId> unreported;
    /** The owner to which each job's items were last reported. */
    std::map<JobId, SessionNumber> reportedOwner;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
