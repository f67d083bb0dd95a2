#pragma once

#include <LibFleet/Replica.h>
#include <LibSettings/Generated/Settings.h>

#include <vector>

namespace Dogwoodkeel
{

/**
 * Excludes repeatedly failing replicas from the selection for a limited time, which doubles with each ejection, and
 * readmits them with a slow start.
 *
 * Never ejects more than the configured share of a pool: when most replicas fail at once, the cause is more likely the
 * requests or the network, and ejecting them would direct the whole load to the few remaining replicas.
 * @param pool all replicas of a model or plain service; their ejections are updated
 */
void updateEjections(const std::vector<Replica *> &pool, SteadyTime now, const FleetSettings &settings);

} // namespace Dogwoodkeel
