#include <LibPlatform/VmWatch.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

VmWatch::VmWatch(VmList &vms, Scheduler &scheduler, Changed changed) : vms(vms), scheduler(scheduler), changed(std::move(changed))
{
}

VmWatch::~VmWatch()
{
    *this->alive = false;
}

void VmWatch::start(std::chrono::milliseconds interval)
{
    this->interval = interval;
    this->read();
}

void VmWatch::setInterval(std::chrono::milliseconds interval)
{
    this->interval = interval;
}

void VmWatch::read()
{
    this->vms.fetch([this, alive = this->alive](std::optional<std::vector<ListedVm>> listed) {
        if (!*alive) {
            return;
        }
        if (listed) {
            this->receive(std::move(*listed));
        }
        this->scheduler.schedule(this->interval, [this, alive] {
            if (*alive) {
                this->read();
            }
        });
    });
}

void VmWatch::receive(std::vector<ListedVm> listed)
{
    this->listed = std::move(listed);
    // A mark set by other nodes applies until the VM is no longer listed.
    std::erase_if(this->leaving, [this](const VmName &name) {
        return std::ranges::find(this->listed, name, &ListedVm::name) == this->listed.end();
    });
    this->publish();
}

void VmWatch::markLeaving(const std::vector<VmName> &names)
{
    this->leaving.insert(names.begin(), names.end());
    this->publish();
}

void VmWatch::publish()
{
    std::vector<ListedVm> current = this->listed;
    for (const VmName &name : this->leaving) {
        const auto found = std::ranges::find(current, name, &ListedVm::name);
        if (found != current.end()) {
            found->isLeaving = true;
        } else {
            current.push_back({name, true});
        }
    }
    if (this->published && *this->published == current) {
        return;
    }
    this->published = std::make_shared<const std::vector<ListedVm>>(std::move(current));
    this->changed(this->published);
}

} // namespace Dogwoodkeel
