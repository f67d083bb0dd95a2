#pragma once

#include <LibPlatform/ObjectStore.h>
#include <LibPlatform/TableService.h>
#include <LibPlatform/VmList.h>

namespace Dogwoodkeel
{

/** All of the platform's services, as one task reaches them. */
class Platform
{
public:
    virtual ~Platform() = default;
    virtual TableService &tables() = 0;
    virtual ObjectStore &objects() = 0;
    virtual VmList &vms() = 0;
};

} // namespace Dogwoodkeel
