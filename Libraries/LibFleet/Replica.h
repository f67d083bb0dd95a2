#pragma once

#include <LibBase/Address.h>
#include <LibBase/Identifiers.h>

#include <cstdint>
#include <string>

namespace Dogwoodkeel
{

/** What is known of one endpoint. */
struct Replica
{
    EndpointName name;
    Address address;
    FailureDomain failureDomain;
    /** The model it serves, or the plain service it is a replica of. */
    std::string serves;
    std::uint32_t capacity = 0;
    /** Requests of this node that run there. */
    std::uint32_t inFlight = 0;
    /** Failures since its last success. */
    std::uint32_t failuresInARow = 0;
    /** Whether it is about to go; once seen, it stays so. */
    bool isLeaving = false;
};

} // namespace Dogwoodkeel
