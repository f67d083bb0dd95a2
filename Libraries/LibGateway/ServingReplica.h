#pragma once

#include <LibBase/Address.h>
#include <LibBase/Identifiers.h>
#include <LibGateway/ServingConfiguration.h>

#include <cstdint>

namespace Dogwoodkeel
{

/** One incarnation of a replica, as it told of itself on the platform. */
struct ServingReplica
{
    /** Names this incarnation among all: after a restart it is another, also if the registered name stays. */
    EndpointName instance;
    /** The name under which it registers itself, and by which a request says whom it is meant for. */
    EndpointName registeredName;
    ServiceName service;
    Address address;
    FailureDomain failureDomain;
    /** Requests that it runs side by side. */
    std::uint32_t slots = 1;
    /** Whether it is leaving: it finishes what it has and takes nothing new. */
    bool isDraining = false;
    /** Of its software, not of a model's weights. */
    SoftwareVersion version{};

    bool operator==(const ServingReplica &) const = default;
};

} // namespace Dogwoodkeel
