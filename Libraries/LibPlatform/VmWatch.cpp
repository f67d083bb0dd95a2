#include <LibPlatform/VmWatch.h>

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
    if (this->last && *this->last == listed) {
        return;
    }
    this->last = std::make_shared<const std::vector<ListedVm>>(std::move(listed));
    this->changed(this->last);
}

} // namespace Dogwoodkeel
