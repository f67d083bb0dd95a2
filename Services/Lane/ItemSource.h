#pragma once

#include <LibBase/Clock.h>
#include <LibBatch/OwnerSelector.h>
#include <LibTask/EventLoop.h>
#include <LibWire/PeerClient.h>
#include <Services/Lane/ItemRun.h>
#include <Services/Lane/JobOwners.h>
#include <Services/Lane/LeaseRenewer.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Dogwoodkeel
{

/** Queues the items that wait on this node for a slot: those prefetched from owners, and those stopped to free capacity. */
class ItemSource
{
public:
    /** @param arrived called when items of a model were received */
    ItemSource(EventLoop &loop,
               const Clock &clock,
               const SettingsHandle &settings,
               const SessionNumber &self,
               PeerClient &peers,
               const JobOwners &owners,
               std::function<void(const std::string &model)> arrived);
    ~ItemSource();
    ItemSource(const ItemSource &) = delete;
    ItemSource &operator=(const ItemSource &) = delete;

    /**
     * Removes and returns the first item that may run. Only the first few in the queue are checked.
     * @param mayRun whether an item may run
     */
    std::optional<HeldItem> pop(const std::string &model, const std::function<bool(const HeldItem &)> &mayRun);

    /** Puts an item at the front of the queue, because it already has tokens or was next in the queue. */
    void putBack(const std::string &model, HeldItem item);

    /** Pulls more items of a model. @param wanted number of items that are to wait here */
    void refill(const std::string &model, std::size_t wanted);

    void dropJob(const JobId &job);
    void dropItems(const JobId &job, const std::set<std::uint32_t> &items);

    /** Removes an owner that has left. */
    void forgetOwner(SessionNumber owner);

    /** Stops pulling. @return the items that waited here */
    ItemsByJob close();

    /** @return models with items that wait here. */
    std::vector<std::string> models() const;

    /** Removes the items of a model. @return the removed items, which the caller returns to their owners */
    ItemsByJob popAll(const std::string &model);

    /** @return items of a model that wait here. */
    std::size_t waiting(const std::string &model) const;

    void addHeld(ItemsByJob &held) const;

private:
    void handleItems(const std::string &model, SessionNumber owner, const CallResult<PullItemsResponse> &result);

    EventLoop &loop;
    const Clock &clock;
    const SettingsHandle &settings;
    /** Refers to the session number in LaneService, which changes when this node continues as another session. */
    const SessionNumber &self;
    PeerClient &peers;
    const JobOwners &owners;
    std::function<void(const std::string &model)> arrived;
    OwnerSelector ownerSelector;
    std::map<std::string, std::deque<HeldItem>> queues;
    std::map<std::string, bool> pulling;
    /** Recently stopped jobs, with the time. A pull that is still in flight may bring items of them. */
    std::map<JobId, SteadyTime> stopped;
    bool isClosed = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
