#pragma once

#include <LibPlatform/ObjectStore.h>
#include <LibPlatform/TableService.h>
#include <LibPlatform/VmList.h>

namespace Dogwoodkeel
{

/** Access of one task to all of the platform's services. */
class Platform
{
public:
    virtual ~Platform() = default;
    virtual TableService &tables() = 0;
    virtual ObjectStore &objects() = 0;
    virtual VmList &vms() = 0;
};

} // namespace Dogwoodkeel
