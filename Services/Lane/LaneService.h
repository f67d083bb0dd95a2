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
 * Runs batch items on the replicas whose lanes this node holds. Starts as many items as online requests leave capacity
 * for, and stops items as soon as online requests need the capacity. Stopped items keep their tokens and continue on any
 * replica of their model whose lane this node holds.
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

    /** Sets the session number under which this node continues. */
    void setSession(SessionNumber self);

    /** Marks a replica as leaving, so that it gets no new items, or clears the mark after a restart of the replica. */
    void setLeaving(const EndpointName &endpoint, bool isLeaving);

    /** Applies the settings after those behind the handle were replaced. */
    void settingsChanged();

    /** Applies an entry's report of its online requests on a replica. */
    void observe(const ReplicaLoad &notice);

    /** @return the number of running items on each replica whose lane this node holds or still finishes. */
    std::map<EndpointName, std::uint32_t> itemsRunning() const;

    /** Stops the items of a job that its owner reports as stopped. */
    void observe(const JobStopped &stopped);

    /**
     * Starts no further items. Running items are finished, waiting ones are returned to their owners.
     * @param drained called once no item runs and every result is journalled
     */
    void drain(std::function<void()> drained);

private:
    struct HeldLane
    {
        HeldLane(std::string serves, const Clock &clock, const Lane::Options &options)
            : serves(std::move(serves)), lane(clock, options)
        {
        }

        /** The model. Kept here because a new configuration may remove the endpoint while items run there. */
        std::string serves;
        Lane lane;
        std::vector<std::shared_ptr<ItemRun>> runs;
        /** Whether this node holds the lane and may start items. If not, it only finishes the running ones. */
        bool isLocal = true;
        /** Whether the engine's last load report says that it is leaving. */
        bool isLeaving = false;
        bool isQuerying = false;
        SteadyTime lastQuery{};
        SteadyTime unsettledSince{};
        /** No item is started before this time, because the engine refused or lost one. */
        SteadyTime backoffUntil{};
    };

    void tick();
    void returnUnrunnable();
    void logLanes();
    void detectPause();
    void updateLanes();
    void stopStalledRuns(const EndpointName &name, HeldLane &held);
    void queryEngine(const EndpointName &name, HeldLane &held);
    void onReport(const EndpointName &name, const HttpResponse &response);
    void yield(const EndpointName &name, HeldLane &held);
    void stopItems(const EndpointName &name, HeldLane &held, std::uint32_t slots);
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
