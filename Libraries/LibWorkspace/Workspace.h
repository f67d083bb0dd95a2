#pragma once

#include <LibBase/Identifiers.h>

#include <cstdint>
#include <optional>

namespace Dogwoodkeel
{

/** Limit on the requests of a workspace, over all nodes together. */
struct RequestQuota
{
    /** Sustained requests per second; no limit if this and burst are 0. */
    double perSecond = 0;
    /** Additional requests that may arrive at once. */
    double burst = 0;

    /** @return whether there is a limit. */
    bool isLimited() const
    {
        return this->perSecond > 0 || this->burst > 0;
    }

    bool operator==(const RequestQuota &) const = default;
};

/** A tenant: its requests share API keys, a quota and a priority. */
struct Workspace
{
    WorkspaceName name;
    /** 0 is the most urgent; takes precedence over the priority of a route. */
    std::uint32_t priority = 0;
    RequestQuota quota;

    bool operator==(const Workspace &) const = default;
};

} // namespace Dogwoodkeel
