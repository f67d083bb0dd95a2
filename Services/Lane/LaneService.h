#pragma once

#include <LibBase/Clock.h>
#include <LibBatch/Lane.h>
#include <LibFleet/ReplicaTable.h>
#include <LibHttp/HttpClient.h>
#include <LibMembership/MemberView.h>
#include <LibRouting/Quarantine.h>
#include <LibSettings/SettingsHandle.h>
#include <LibTask/EventLoop.h>
#include <LibWire/PeerClient.h>
#include <Services/Lane/ItemRun.h>
#include <Services/Lane/ItemSource.h>
#include <Services/Lane/LeaseRenewer.h>
#include <Services/Lane/ResultReporter.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Runs batch items on the replicas whose lanes this node holds: starts as many as online requests leave room for, and
 * stops them as soon as online requests need the room. Stopped items keep their tokens and go on here, on any replica of
 * their model.
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

    /** A replica is about to go, and gets no new items; or another start of it is back. */
    void setLeaving(const EndpointName &endpoint, bool isLeaving);

    /** The settings behind the handle were replaced. */
    void settingsChanged();

    /** An entry told of its online requests on a replica. */
    void observe(const ReplicaLoad &notice);

    /** @return how many items run on each replica whose lane is held here. */
    std::map<EndpointName, std::uint32_t> itemsRunning() const;

    /** An owner told that a job was cancelled. */
    void observe(const JobStopped &stopped);

    /** Start nothing more, and tell when nothing runs. Items that run are finished, those that wait are given back. */
    void drain(std::function<void()> drained);

private:
    struct HeldLane
    {
        HeldLane(std::string serves, const Clock &clock, const Lane::Options &options)
            : serves(std::move(serves)), lane(clock, options)
        {
        }

        /** The model; kept here because a new configuration may take the endpoint out while items run there. */
        std::string serves;
        Lane lane;
        std::vector<std::shared_ptr<ItemRun>> runs;
        /** Whether this node starts items there; else it only sees the running ones through. */
        bool isOurs = true;
        /** The engine's own word; once seen, it stays so. */
        bool isLeaving = false;
        bool isAsking = false;
        SteadyTime lastAsked{};
        SteadyTime unsettledSince{};
        /** Nothing is started before: the engine refused. */
        SteadyTime restUntil{};
    };

    void tick();
    void logLanes();
    void noticePause();
    void takeLanes();
    void stopSilentRuns(const EndpointName &name, HeldLane &held);
    void askEngine(const EndpointName &name, HeldLane &held);
    void onReport(const EndpointName &name, const HttpResponse &response);
    void yield(const EndpointName &name, HeldLane &held);
    void yieldTo(const EndpointName &name, HeldLane &held, std::uint32_t places);
    void fill(const EndpointName &name, HeldLane &held);
    void fillAll(const std::string &model);
    std::size_t wantedItems(const std::string &model) const;
    bool mayRun(const HeldLane &held, const HeldItem &item) const;
    void startItem(const Replica &replica, HeldLane &held, HeldItem item);
    ItemRun::Hooks hooksOf(const EndpointName &name, const std::shared_ptr<ItemRun> &run);
    void onRunEnded(const EndpointName &name, const std::shared_ptr<ItemRun> &run, RunEnd end, const std::string &detail);
    void onLost(const EndpointName &name, HeldLane &held, const ItemRun &run);
    void stopRuns(const std::function<bool(const HeldItem &)> &isWanted);
    void addResult(const HeldItem &item, ItemStatus status, const std::string &body);
    ItemsByJob heldItems() const;
    Lane::Options laneOptions(std::uint32_t capacity) const;
    bool isIdle() const;

    EventLoop &loop;
    const Clock &clock;
    const SettingsHandle &settings;
    SessionNumber self;
    HttpClient &http;
    ReplicaTable replicas;
    JobOwners owners;
    ResultReporter results;
    LeaseRenewer leases;
    ItemSource items;
    Quarantine quarantine;
    std::map<EndpointName, HeldLane> lanes;
    std::uint64_t lastRun = 0;
    SteadyTime lastTick;
    SteadyTime lastLog{};
    bool draining = false;
    std::function<void()> drained;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
