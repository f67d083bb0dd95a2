#pragma once

#include <LibBase/Identifiers.h>

#include <cstdint>
#include <string_view>

namespace Dogwoodkeel
{

/**
 * The shard that a request or job id belongs to. Whoever asks an owner and the owner itself must agree on it, so it is
 * worked out in this one place.
 * @param id of the request or job
 * @param shards how many shards there are (owner.shards), at least 1
 * @return the shard
 */
ShardNumber shardOfId(std::string_view id, std::uint64_t shards);

} // namespace Dogwoodkeel
