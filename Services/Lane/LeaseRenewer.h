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
 * Keeps the leases on all items a node holds, and learns which of them it is not to run any more. An owner that has just
 * taken a shard over is told at once, so that it does not hand the items out again.
 */
class LeaseRenewer
{
public:
    /** What the lanes are asked and told. */
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

    /** Renew if it is time to. */
    void tick();

    /** Jobs may have other owners now. */
    void ownersChanged();

    /** Tell the owners that items will not be run here. If it is lost, the leases run out. */
    void giveBack(const ItemsByJob &items);

private:
    void renew(const ItemsByJob &items);
    void answered(const CallResult<RenewItemsResponse> &result);
    std::map<Address, std::vector<HeldItems>> byOwner(const ItemsByJob &items) const;

    EventLoop &loop;
    const Clock &clock;
    const SettingsHandle &settings;
    /** Of the lanes; it changes when this node has to begin again as another session. */
    const SessionNumber &self;
    PeerClient &peers;
    const JobOwners &owners;
    Hooks hooks;
    SteadyTime lastRenewal{};
    /** Jobs whose owner has to be told of their items soon: it is new, or did not own the shard yet. */
    std::set<JobId> unreported;
    /** Who was told last of each job. */
    std::map<JobId, SessionNumber> reportedOwner;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
