#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace Dogwoodkeel
{

/**
 * Hash that is the same on every node and in every version (XXH3, 64 bit).
 * @param data what to hash
 * @param seed separates uses from each other
 * @return the hash
 */
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

/** stableHash of data that comes in parts. */
class StreamingHash
{
public:
    explicit StreamingHash(std::uint64_t seed = 0);
    ~StreamingHash();
    StreamingHash(const StreamingHash &) = delete;
    StreamingHash &operator=(const StreamingHash &) = delete;

    /** @param data the next part */
    void add(std::string_view data);

    /** @return the hash of all parts so far, as stableHash gives for them in one piece. */
    std::uint64_t value() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

/**
 * Weight of a candidate for a key in rendezvous hashing: the candidate with the largest weight is chosen,
 * so that losing one candidate moves only the keys it had.
 * @param key hash of the key
 * @param candidate hash or number of the candidate
 * @return the weight
 */
std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t candidate);

} // namespace Dogwoodkeel
