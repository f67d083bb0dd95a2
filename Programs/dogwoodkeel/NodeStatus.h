#pragma once

#include <LibFleet/Replica.h>
#include <Services/Control/StatusBoard.h>
#include <Services/Owner/OwnerService.h>

#include <cstddef>
#include <list>

namespace Dogwoodkeel
{

/** @return the part of the status on shards, batch items that wait, and the journal. */
StatusPart shardStatus(OwnerService &owner);

/**
 * @param openRequests requests of callers not yet answered
 * @return the part of the status on endpoints, as this node's entry sees them
 */
StatusPart endpointStatus(const std::list<Replica> &endpoints, std::size_t openRequests);

} // namespace Dogwoodkeel
