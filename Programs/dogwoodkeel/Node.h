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

/** One node of the system. Creates the control, owner, lane and entry tasks, connects them, and starts and stops them. */
class Node
{
public:
    /**
     * @param settings loaded from the VM's own files and the flags
     * @param ownFiles the contents of these sources
     */
    Node(const Clock &clock, SettingsPointer settings, std::vector<SettingsSource> ownFiles);

    /** Starts the node; returns when it accepts requests. @throws std::runtime_error if it cannot listen */
    void start();

    /**
     * Stops the node in a planned way: removes it from the answers of /v1/entries, finishes running requests and items, and
     * releases its shards and lanes. Returns when that is done, or when entry.drain has passed.
     */
    void stop();

    /**
     * Makes stop() no longer wait until the entry answers that name this node expire; requests in progress are still
     * finished. May be called from any thread.
     */
    void skipEntryWait();

    /** @return the address that callers connect to. */
    const Address &httpAddress() const;

private:
    LocalPeer localOwner();
    void openSession();
    void learnConfiguration();
    void makeTasks();
    Member makeMember();
    void publishView(const MemberViewPointer &seen);
    void putInForce(const SettingsPointer &settings, const std::function<void()> &done);
    void forwardOperatorRequest(OperatorRequest request, OperatorRespond respond);
    void serveControlCalls();
    void addStatusParts();
    template <typename Request>
    void
    forwardToControl(std::function<void(ControlTask &, const Request &, PeerServer::Respond<typename Request::Response>)> answer);
    void renewSession();
    void publishVms(const ListedVmsPointer &vms);
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
    /** Used on the control task only. */
    EntryPressure pressure;
    std::atomic<bool> isEntryWaitSkipped = false;
    std::unique_ptr<TaskHost<StartingTask>> starting;
    std::unique_ptr<TaskHost<ControlTask>> control;
    std::unique_ptr<TaskHost<OwnerTask>> owner;
    std::unique_ptr<TaskHost<LaneTask>> lane;
    std::unique_ptr<TaskHost<EntryTask>> entry;
    /** Declared last so that it is destroyed first: it posts to the tasks above. */
    std::unique_ptr<Task> watch;
};

} // namespace Dogwoodkeel
