#pragma once

#include <LibFleet/Replica.h>
#include <Services/Control/StatusBoard.h>
#include <Services/Owner/OwnerService.h>

#include <cstddef>
#include <list>

namespace Dogwoodkeel
{

/** @return the part of the status about shards, waiting batch items and the journal. */
StatusPart shardStatus(OwnerService &owner);

/**
 * @param openRequests number of callers' requests that are not answered yet
 * @return the part of the status about the endpoints known to this node's entry task
 */
StatusPart endpointStatus(const std::list<Replica> &endpoints, std::size_t openRequests);

} // namespace Dogwoodkeel
