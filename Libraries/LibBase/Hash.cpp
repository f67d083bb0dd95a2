#include <LibBase/Hash.h>

#include <xxhash.h>

#include <array>

namespace Dogwoodkeel
{

std::uint64_t stableHash(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

struct StreamingHash::State
{
    XXH3_state_t *hash = XXH3_createState();

    ~State()
    {
        XXH3_freeState(this->hash);
    }
};

StreamingHash::StreamingHash(std::uint64_t seed) : state(std::make_unique<State>())
{
    XXH3_64bits_reset_withSeed(this->state->hash, seed);
}

StreamingHash::~StreamingHash() = default;

void StreamingHash::add(std::string_view data)
{
    XXH3_64bits_update(this->state->hash, data.data(), data.size());
}

std::uint64_t StreamingHash::value() const
{
    return XXH3_64bits_digest(this->state->hash);
}

std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t candidate)
{
    const std::array<std::uint64_t, 2> pair{key, candidate};
    return XXH3_64bits(pair.data(), sizeof(pair));
}

} // namespace Dogwoodkeel
