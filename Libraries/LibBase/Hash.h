#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace Dogwoodkeel
{

/**
 * Hash that is the same on every node and in every version (XXH3, 64 bit).
 * @param data what to hash
 * @param seed gives independent hashes for different uses
 * @return the hash
 */
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

/** Computes the stableHash of data that arrives in chunks. */
class StreamingHash
{
public:
    explicit StreamingHash(std::uint64_t seed = 0);
    ~StreamingHash();
    StreamingHash(const StreamingHash &) = delete;
    StreamingHash &operator=(const StreamingHash &) = delete;

    /** @param data the next chunk */
    void add(std::string_view data);

    /** @return the hash of all chunks so far, equal to stableHash of their concatenation. */
    std::uint64_t value() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

/**
 * Weight of a candidate for a key in rendezvous hashing: the candidate with the largest weight is selected,
 * so that losing one candidate moves only the keys that were assigned to it.
 * @param key hash of the key
 * @param candidate hash or number of the candidate
 * @return the weight
 */
std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t candidate);

} // namespace Dogwoodkeel
