#pragma once

#include <LibBase/Address.h>
#include <LibBase/Identifiers.h>
#include <LibGateway/ServingConfiguration.h>

#include <cstdint>

namespace Dogwoodkeel
{

/** One incarnation of a replica, as it registered itself on the platform. */
struct ServingReplica
{
    /** Identifies this incarnation. Changes with a restart, even if the registered name stays the same. */
    EndpointName instance;
    /** The name under which it registers itself, and by which requests state the intended replica. */
    EndpointName registeredName;
    ServiceName service;
    Address address;
    FailureDomain failureDomain;
    /** Requests that it runs concurrently. */
    std::uint32_t slots = 1;
    /** Whether it is leaving: it finishes running requests and accepts no new ones. */
    bool isDraining = false;
    /** Version of its software, not of the weights of a model. */
    SoftwareVersion version{};

    bool operator==(const ServingReplica &) const = default;
};

} // namespace Dogwoodkeel
