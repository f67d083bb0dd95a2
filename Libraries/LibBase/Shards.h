#pragma once

#include <LibBase/Identifiers.h>

#include <cstdint>
#include <string_view>

namespace Dogwoodkeel
{

/**
 * Returns the shard that a request or job id belongs to. Nodes that query an owner and
 * the owner itself must agree on it, so it is computed only here.
 * @param id of the request or job
 * @param shards number of shards (owner.shards), at least 1
 * @return the shard
 */
ShardNumber shardOfId(std::string_view id, std::uint64_t shards);

} // namespace Dogwoodkeel
