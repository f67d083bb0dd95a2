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

/** The platform's VM list as it was last read; never changed, so tasks share it. */
using ListedVmsPointer = std::shared_ptr<const std::vector<ListedVm>>;

/**
 * Reads the platform's VM list again and again and tells of each change. While the platform does not answer, what was
 * read last stays in force: an outage must neither bring back a VM that was leaving nor take away one that serves.
 */
class VmWatch
{
public:
    using Changed = std::function<void(ListedVmsPointer)>;

    /**
     * @param vms the platform's list; outlives the watch
     * @param scheduler of the owning task
     * @param changed told of the first list that is read, and of each that differs from the one before
     */
    VmWatch(VmList &vms, Scheduler &scheduler, Changed changed);
    ~VmWatch();
    VmWatch(const VmWatch &) = delete;
    VmWatch &operator=(const VmWatch &) = delete;

    /** Read now, and then at intervals. @param interval between the end of one read and the start of the next */
    void start(std::chrono::milliseconds interval);

    /** Other nodes saw on the list that these VMs are leaving; this node's own reading may lag behind theirs. */
    void markLeaving(const std::vector<VmName> &names);

    /** Change the interval; takes effect with the next read. */
    void setInterval(std::chrono::milliseconds interval);

private:
    void read();
    void receive(std::vector<ListedVm> listed);
    void tell();

    VmList &vms;
    Scheduler &scheduler;
    Changed changed;
    std::chrono::milliseconds interval{1000};
    std::vector<ListedVm> listed;
    std::set<VmName> leaving;
    ListedVmsPointer last;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
