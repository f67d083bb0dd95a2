#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/EntryPressure.h>
#include <LibMetrics/NodeMetrics.h>
#include <LibPlatform/CallBudget.h>
#include <LibSettings/SettingsHandle.h>
#include <LibTask/TaskHost.h>
#include <Services/Control/ControlTask.h>
#include <Services/Entry/EntryTask.h>
#include <Services/Entry/StartingTask.h>
#include <Services/Lane/LaneTask.h>
#include <Services/Owner/OwnerTask.h>

#include <atomic>
#include <memory>
#include <vector>

namespace Dogwoodkeel
{

/** One node: its four tasks, put together. */
class Node
{
public:
    /**
     * @param settings of the VM's own files and the flags
     * @param ownFiles the texts of those
     */
    Node(const Clock &clock, SettingsPointer settings, std::vector<SettingsSource> ownFiles);

    /** Start; returns when the node takes requests. @throws std::runtime_error if it cannot listen */
    void start();

    /**
     * Stop as planned: leave the entry answers, finish what runs, give up shards and lanes. Returns when that is done, or
     * when entry.drain has passed.
     */
    void stop();

    /** Do not wait for the entry answers that name this node; requests in progress are finished. From any thread. */
    void hurry();

    /** @return where callers connect. */
    const Address &httpAddress() const;

private:
    LocalPeer localOwner();
    void openSession();
    void learnConfiguration();
    void makeTasks();
    Member makeMember();
    void spread(const MemberViewPointer &seen);
    void putInForce(const SettingsPointer &settings, const std::function<void()> &done);
    void askControl(OperatorRequest request, OperatorRespond respond);
    void serveControlCalls();
    void addStatusParts();
    template <typename Request>
    void
    forwardToControl(std::function<void(ControlTask &, const Request &, PeerServer::Respond<typename Request::Response>)> answer);
    void renewSession();
    void spreadVms(const ListedVmsPointer &vms);
    void watchBacklog();
    void watchItems();
    bool waitFor(const std::function<bool()> &isReached, SteadyTime deadline);

    const Clock &clock;
    SettingsPointer settings;
    std::vector<SettingsSource> ownFiles;
    NodeMetrics metrics;
    std::shared_ptr<CallBudget> platformBudget;
    std::function<std::unique_ptr<Platform>(EventLoop &)> makePlatform;
    PeerSecurity security;
    SessionNumber self;
    std::atomic<bool> stopping = false;
    Address http;
    /** Reckoned with on the control task. */
    EntryPressure pressure;
    std::atomic<bool> hurried = false;
    std::unique_ptr<TaskHost<StartingTask>> starting;
    std::unique_ptr<TaskHost<ControlTask>> control;
    std::unique_ptr<TaskHost<OwnerTask>> owner;
    std::unique_ptr<TaskHost<LaneTask>> lane;
    std::unique_ptr<TaskHost<EntryTask>> entry;
    /** Destroyed first: it posts to the tasks above. */
    std::unique_ptr<Task> watch;
};

} // namespace Dogwoodkeel
