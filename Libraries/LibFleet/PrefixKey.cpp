#include <LibFleet/PrefixKey.h>

#include <LibBase/Hash.h>

#include <algorithm>

namespace Dogwoodkeel
{

std::uint64_t extendPrefixKey(std::uint64_t key, std::string_view block)
{
    return std::max<std::uint64_t>(1, stableHash(block, key));
}

std::uint64_t prefixKey(std::string_view prompt, std::size_t bytes)
{
    std::uint64_t key = 0;
    std::string_view remainder = prompt.substr(0, bytes);
    while (remainder.size() >= prefixBlockBytes) {
        key = extendPrefixKey(key, remainder.substr(0, prefixBlockBytes));
        remainder.remove_prefix(prefixBlockBytes);
    }
    return key;
}

} // namespace Dogwoodkeel
