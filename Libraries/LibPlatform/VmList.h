#pragma once

#include <LibBase/Identifiers.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Entry of the platform's VM list, which may lag behind the actual state. */
struct ListedVm
{
    VmName name;
    /** Whether the platform is about to remove the VM. */
    bool isLeaving = false;

    bool operator==(const ListedVm &) const = default;
};

/** The platform's list of live and leaving VMs, of both nodes and endpoints. */
class VmList
{
public:
    using Fetched = std::function<void(std::optional<std::vector<ListedVm>>)>;

    virtual ~VmList() = default;

    /** Reads the list. @param done receives the list, or nothing if there was no answer */
    virtual void fetch(Fetched done) = 0;
};

} // namespace Dogwoodkeel
