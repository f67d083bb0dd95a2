#include <LibBase/Shards.h>

#include <LibBase/Hash.h>

namespace Dogwoodkeel
{

ShardNumber shardOfId(std::string_view id, std::uint64_t shards)
{
    return ShardNumber(static_cast<std::uint32_t>(stableHash(id) % shards));
}

} // namespace Dogwoodkeel
