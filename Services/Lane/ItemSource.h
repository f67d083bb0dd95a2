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

/** The items that wait on this node for a place: pulled from owners a little ahead, or stopped to make room. */
class ItemSource
{
public:
    /** @param arrived told when items of a model came */
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
     * Take the first item that may run, of the first few.
     * @param mayRun looks at each
     */
    std::optional<HeldItem> take(const std::string &model, const std::function<bool(const HeldItem &)> &mayRun);

    /** An item waits again, before the others: it has tokens already, or was first in line. */
    void putBack(const std::string &model, HeldItem item);

    /** Pull more of a model. @param wanted items that are to wait here */
    void refill(const std::string &model, std::size_t wanted);

    void dropJob(const JobId &job);
    void dropItems(const JobId &job, const std::set<std::uint32_t> &items);

    /** An owner is gone. */
    void forgetOwner(SessionNumber owner);

    /** Pull nothing more. @return what waited */
    ItemsByJob close();

    /** @return models with items that wait here. */
    std::vector<std::string> models() const;

    /** @return the items of a model that waited here; they are to be given back */
    ItemsByJob takeAll(const std::string &model);

    /** @return items of a model that wait here. */
    std::size_t waiting(const std::string &model) const;

    void addHeld(ItemsByJob &held) const;

private:
    void arrive(const std::string &model, SessionNumber owner, const CallResult<PullItemsResponse> &result);

    EventLoop &loop;
    const Clock &clock;
    const SettingsHandle &settings;
    /** Of the lanes; it changes when this node has to begin again as another session. */
    const SessionNumber &self;
    PeerClient &peers;
    const JobOwners &owners;
    std::function<void(const std::string &model)> arrived;
    OwnerSelector choice;
    std::map<std::string, std::deque<HeldItem>> queues;
    std::map<std::string, bool> pulling;
    /** Jobs that were stopped lately: items of them may still be on their way. */
    std::map<JobId, SteadyTime> stopped;
    bool isClosed = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
