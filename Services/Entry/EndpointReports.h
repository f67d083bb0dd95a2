#pragma once

#include <LibFleet/PrefixHints.h>
#include <LibWire/Generated/Messages.h>

#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Read an endpoint's load report (docs/operators/endpoints.md). What it leaves out keeps its default.
 * @return the report without the endpoint's name, or nothing if the body is none: a plain service may answer any path
 */
std::optional<ReplicaReport> parseLoadReport(const std::string &body);

/** Read an endpoint's cache events. Malformed ones are left out, as if they had been lost. */
std::vector<CacheEvent> parseCacheEvents(const std::string &body);

} // namespace Dogwoodkeel
