#include <LibBase/Hash.h>

#include <xxhash.h>

#include <array>

namespace Dogwoodkeel
{

std::uint64_t stableHash(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t candidate)
{
    const std::array<std::uint64_t, 2> pair{key, candidate};
    return XXH3_64bits(pair.data(), sizeof(pair));
}

} // namespace Dogwoodkeel
