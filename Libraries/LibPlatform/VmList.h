#pragma once

#include <LibBase/Identifiers.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** A VM as the platform lists it. The list lags. */
struct ListedVm
{
    VmName name;
    /** Whether the platform is about to take it away. */
    bool isLeaving = false;

    bool operator==(const ListedVm &) const = default;
};

/** The platform's list of live and leaving VMs, nodes and endpoints alike. */
class VmList
{
public:
    using Fetched = std::function<void(std::optional<std::vector<ListedVm>>)>;

    virtual ~VmList() = default;

    /** @param done gets the list, or nothing if there was no answer */
    virtual void fetch(Fetched done) = 0;
};

} // namespace Dogwoodkeel
