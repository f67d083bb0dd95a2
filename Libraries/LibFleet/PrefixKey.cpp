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
    std::string_view rest = prompt.substr(0, bytes);
    while (rest.size() >= prefixBlockBytes) {
        key = extendPrefixKey(key, rest.substr(0, prefixBlockBytes));
        rest.remove_prefix(prefixBlockBytes);
    }
    return key;
}

} // namespace Dogwoodkeel
