#pragma once

#include <LibFleet/Replica.h>
#include <LibSettings/Generated/Settings.h>

#include <vector>

namespace Dogwoodkeel
{

/**
 * Keep replicas that fail again and again out of the choice for a while, each time twice as long, and let them back in
 * by a slow start.
 *
 * Never more than the set share of a pool: when most replicas fail at once, the cause is more likely in what they are
 * sent or in what lies between, and ejecting them would send the whole load to the few that are left.
 * @param pool all replicas of a model or plain service; their ejections are renewed
 */
void renewEjections(const std::vector<Replica *> &pool, SteadyTime now, const FleetSettings &settings);

} // namespace Dogwoodkeel
