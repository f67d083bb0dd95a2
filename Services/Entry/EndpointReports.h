#pragma once

#include <LibFleet/PrefixHints.h>
#include <LibWire/Generated/Messages.h>

#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Parses an endpoint's load report (docs/operators/endpoints.md). Missing members keep their defaults.
 * @return the report without the endpoint's name; nothing if the body is not a load report, as a plain service may
 * answer any path
 */
std::optional<ReplicaReport> parseLoadReport(const std::string &body);

/** Parses an endpoint's cache events. Leaves out malformed events, as if they had been lost. */
std::vector<CacheEvent> parseCacheEvents(const std::string &body);

} // namespace Dogwoodkeel
