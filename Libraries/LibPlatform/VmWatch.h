#pragma once

#include <LibBase/Scheduler.h>
#include <LibPlatform/VmList.h>

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace Dogwoodkeel
{

/** Immutable copy of the platform's VM list, shared by tasks. */
using ListedVmsPointer = std::shared_ptr<const std::vector<ListedVm>>;

/**
 * Polls the platform's VM list and reports each change. While the platform does not answer, the last list stays in force: an
 * outage must neither restore a VM that was leaving nor remove one that is serving.
 */
class VmWatch
{
public:
    using Changed = std::function<void(ListedVmsPointer)>;

    /**
     * @param vms the platform's list; outlives the watch
     * @param scheduler of the owning task
     * @param changed called with the first list, and with each list that differs from the previous one
     */
    VmWatch(VmList &vms, Scheduler &scheduler, Changed changed);
    ~VmWatch();
    VmWatch(const VmWatch &) = delete;
    VmWatch &operator=(const VmWatch &) = delete;

    /** Reads the list now and then periodically. @param interval between the end of one read and the start of the next */
    void start(std::chrono::milliseconds interval);

    /** Marks VMs that other nodes have seen listed as leaving; this node's list may lag behind theirs. */
    void markLeaving(const std::vector<VmName> &names);

    /** Changes the interval; takes effect after the next read. */
    void setInterval(std::chrono::milliseconds interval);

private:
    void read();
    void receive(std::vector<ListedVm> listed);
    void publish();

    VmList &vms;
    Scheduler &scheduler;
    Changed changed;
    std::chrono::milliseconds interval{1000};
    std::vector<ListedVm> listed;
    std::set<VmName> leaving;
    ListedVmsPointer published;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
