#pragma once

#include <LibBase/Identifiers.h>

#include <cstdint>
#include <optional>

namespace Dogwoodkeel
{

/** How many requests a workspace may run, at all nodes together. */
struct RequestQuota
{
    /** Requests a second in the long run; 0: no limit. */
    double perSecond = 0;
    /** Requests beyond those that may come at once. */
    double burst = 0;

    /** @return whether there is a limit. */
    bool isLimited() const
    {
        return this->perSecond > 0 || this->burst > 0;
    }

    bool operator==(const RequestQuota &) const = default;
};

/** Whose requests share keys, a limit and a priority. */
struct Workspace
{
    WorkspaceName name;
    /** The most urgent is 0; it goes before the priority of a route. */
    std::uint32_t priority = 0;
    RequestQuota quota;

    bool operator==(const Workspace &) const = default;
};

} // namespace Dogwoodkeel
