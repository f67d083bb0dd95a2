#pragma once

#include <LibBase/Clock.h>
#include <LibBatch/Lane.h>
#include <LibFleet/ReplicaTable.h>
#include <LibHttp/HttpClient.h>
#include <LibMembership/MemberView.h>
#include <LibSettings/SettingsHandle.h>
#include <LibTask/EventLoop.h>
#include <LibWire/PeerClient.h>
#include <Services/Lane/ItemRun.h>

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Runs batch items on the replicas whose lanes this node holds: pulls items from the owners that have some, starts as
 * many as online requests leave room for, and stops them as soon as online requests need the room.
 */
class LaneService
{
public:
    LaneService(EventLoop &loop,
                const Clock &clock,
                const SettingsHandle &settings,
                SessionNumber self,
                PeerClient &peers,
                HttpClient &http);
    ~LaneService();
    LaneService(const LaneService &) = delete;
    LaneService &operator=(const LaneService &) = delete;

    void start();
    void setView(MemberViewPointer view);

    /** This node goes on as another session. */
    void setSession(SessionNumber self);

    /** The settings behind the handle were replaced. */
    void settingsChanged();

    /** The platform's VM list changed: replicas on leaving VMs get no new items. */
    void setVms(const std::vector<ListedVm> &vms);

    /** An entry told of its online requests on a replica. */
    void observe(const ReplicaLoad &notice);

    /** Start nothing more, and tell when nothing runs. Items that run are finished. */
    void drain(std::function<void()> drained);

private:
    struct HeldLane
    {
        HeldLane(std::string serves, std::uint32_t capacity, std::uint32_t headroom)
            : serves(std::move(serves)), lane(capacity, headroom)
        {
        }

        /** The model; kept here because a new configuration may take the endpoint out while items run there. */
        std::string serves;
        Lane lane;
        std::vector<std::shared_ptr<ItemRun>> runs;
    };

    void tick();
    void takeLanes();
    void yield(HeldLane &held);
    void fill(const Replica &replica, HeldLane &held);
    void pull(const std::string &model);
    void startItem(const Replica &replica, HeldLane &held, HeldItem item);
    void onRunEnded(const EndpointName &replica, const std::shared_ptr<ItemRun> &run, RunEnd end, const std::string &detail);
    const Member *ownerOf(const JobId &job) const;
    void addResult(const HeldItem &item, ItemStatus status, const std::string &body);
    void flushResults();
    void sendResults(const std::vector<ItemRecord> &results);
    void renewLeases();
    void stopJob(const JobId &job);
    bool isIdle() const;

    EventLoop &loop;
    const Clock &clock;
    const SettingsHandle &settings;
    SessionNumber self;
    PeerClient &peers;
    HttpClient &http;
    ReplicaTable replicas;
    MemberViewPointer view;
    std::map<EndpointName, HeldLane> lanes;
    /** Items that were pulled, or that had to yield, by model. */
    std::map<std::string, std::deque<HeldItem>> waiting;
    std::map<std::string, bool> pulling;
    std::size_t nextOwner = 0;
    std::vector<ItemRecord> results;
    std::size_t unsent = 0;
    SteadyTime lastRenewal{};
    bool draining = false;
    std::function<void()> drained;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
